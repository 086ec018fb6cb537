package homes

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

// Buckets is the number of buckets that flows hash into.
const Buckets = 4096

// Ranks is the number of VMs that are ranked for each bucket: the home, the
// second home that keeps copies, and one more neighbour.
const Ranks = 3

// none marks a rank that no VM fills.
const none = ^uint16(0)

// BucketOf returns the bucket of a flow.
func BucketOf(id flow.ID) int { return int(id.Hi >> 32 & (Buckets - 1)) }

// Ring ranks VMs for every bucket. It is immutable.
type Ring struct {
	vms   []config.VMID
	ranks [Buckets][Ranks]uint16
}

// Build ranks vms, given in any order and without repeats.
func Build(vms []config.VMID) *Ring {
	r := &Ring{vms: append([]config.VMID(nil), vms...)}
	sort.Slice(r.vms, func(i, j int) bool { return r.vms[i] < r.vms[j] })
	seeds := make([]uint64, len(r.vms))
	for i, vm := range r.vms {
		seeds[i] = xxhash.Sum64String(string(vm))
	}
	for b := range r.ranks {
		r.ranks[b] = rank(uint64(b), seeds)
	}
	return r
}

// rank returns the indices of the highest weights in descending order.
func rank(bucket uint64, seeds []uint64) (top [Ranks]uint16) {
	var weight [Ranks]uint64
	for k := range top {
		top[k] = none
	}
	for i, seed := range seeds {
		w, who := mix(seed^(bucket*0x9e3779b97f4a7c15)), uint16(i)
		for k := range top {
			if top[k] == none || w > weight[k] {
				w, weight[k] = weight[k], w
				who, top[k] = top[k], who
			}
			if who == none {
				break
			}
		}
	}
	return top
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Len returns the number of VMs.
func (r *Ring) Len() int { return len(r.vms) }

// At returns the VM of rank n for bucket b, or the empty identifier.
func (r *Ring) At(b, n int) config.VMID {
	i := r.ranks[b][n]
	if i == none {
		return ""
	}
	return r.vms[i]
}

// Designated returns the n VMs of vms that rank highest for key, in rank
// order. It serves choices made rarely, such as relays and probers.
func Designated(key string, vms []config.VMID, n int) []config.VMID {
	type ranked struct {
		vm     config.VMID
		weight uint64
	}
	all := make([]ranked, len(vms))
	seed := xxhash.Sum64String(key)
	for i, vm := range vms {
		all[i] = ranked{vm: vm, weight: mix(seed ^ xxhash.Sum64String(string(vm)))}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].weight != all[j].weight {
			return all[i].weight > all[j].weight
		}
		return all[i].vm < all[j].vm
	})
	chosen := make([]config.VMID, 0, n)
	for i := 0; i < n && i < len(all); i++ {
		chosen = append(chosen, all[i].vm)
	}
	return chosen
}

// IsDesignated reports whether self is among the n VMs of vms that rank
// highest for key, in time linear in the number of VMs.
func IsDesignated(key string, vms []config.VMID, n int, self config.VMID) bool {
	seed := xxhash.Sum64String(key)
	own := mix(seed ^ xxhash.Sum64String(string(self)))
	above, listed := 0, false
	for _, vm := range vms {
		w := mix(seed ^ xxhash.Sum64String(string(vm)))
		switch {
		case vm == self:
			listed = true
		case w > own || (w == own && vm < self):
			above++
		}
	}
	return listed && above < n
}

// VMs returns the VMs of the ring in ascending order. The caller must not
// change the result.
func (r *Ring) VMs() []config.VMID { return r.vms }
