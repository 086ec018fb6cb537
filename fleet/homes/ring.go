package homes

import (
	"slices"
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

// MaxCopies bounds the VMs that keep copies for a home.
const MaxCopies = 3

// VM is a VM that may be home of flows.
type VM struct {
	ID     config.VMID
	Domain config.DomainName
}

// Ranking ranks VMs for every bucket. It is immutable.
type Ranking struct {
	vms    []config.VMID
	ranks  [Buckets][Ranks]uint16
	copies [Buckets][MaxCopies]uint16
}

// NewRanking ranks vms, given in any order and without repeats.
func NewRanking(vms []VM) *Ranking {
	vms = append([]VM(nil), vms...)
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	r := &Ranking{vms: make([]config.VMID, len(vms))}
	k := &ranker{seeds: make([]uint64, len(vms)), domains: make([]int, len(vms))}
	names := make(map[config.DomainName]int)
	for i, vm := range vms {
		if _, known := names[vm.Domain]; !known {
			names[vm.Domain] = len(names)
		}
		r.vms[i], k.seeds[i], k.domains[i] = vm.ID, xxhash.Sum64String(string(vm.ID)), names[vm.Domain]
	}
	k.tops = make([]ranked, len(names))
	for b := range r.ranks {
		r.ranks[b], r.copies[b] = k.rank(uint64(b))
	}
	return r
}

// ranked is a VM, by its index, with its weight for a bucket.
type ranked struct {
	who    uint16
	weight uint64
}

// ranker ranks VMs by rendezvous hashing.
type ranker struct {
	seeds   []uint64
	domains []int
	tops    []ranked // the highest of each failure domain
}

// rank returns the indices of the highest weights in descending order, and
// the VMs that keep copies: the second in rank, which becomes home if the
// home fails, and the highest of other failure domains, of which one becomes
// home if whole failure domains are lost.
func (k *ranker) rank(bucket uint64) (top [Ranks]uint16, copies [MaxCopies]uint16) {
	var best [Ranks]ranked
	for i := range best {
		best[i].who = none
	}
	for i := range k.tops {
		k.tops[i].who = none
	}
	for i, seed := range k.seeds {
		r := ranked{who: uint16(i), weight: mix(seed ^ (bucket * 0x9e3779b97f4a7c15))}
		if d := k.domains[i]; k.tops[d].who == none || r.weight > k.tops[d].weight {
			k.tops[d] = r
		}
		for j := range best {
			if best[j].who == none || r.weight > best[j].weight {
				r, best[j] = best[j], r
			}
			if r.who == none {
				break
			}
		}
	}
	for i := range best {
		top[i] = best[i].who
	}
	return top, k.copies(best[0].who, best[1].who)
}

func (k *ranker) copies(home, second uint16) (list [MaxCopies]uint16) {
	list = [MaxCopies]uint16{second, none, none}
	if home == none {
		return list
	}
	sort.Slice(k.tops, func(i, j int) bool { return k.tops[i].weight > k.tops[j].weight })
	n := 1
	for _, t := range k.tops {
		if n < MaxCopies && t.who != none && t.who != home && t.who != second {
			list[n] = t.who
			n++
		}
	}
	return list
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
func (r *Ranking) Len() int { return len(r.vms) }

// VMAt returns the VM of rank n for bucket b, or the empty identifier.
func (r *Ranking) VMAt(b, n int) config.VMID {
	return r.name(r.ranks[b][n])
}

// CopyVMAt returns the n-th VM that keeps copies for bucket b, or the empty
// identifier.
func (r *Ranking) CopyVMAt(b, n int) config.VMID { return r.name(r.copies[b][n]) }

func (r *Ranking) name(i uint16) config.VMID {
	if i == none {
		return ""
	}
	return r.vms[i]
}

// Designated returns the n VMs of vms that rank highest for key, in rank
// order. It serves choices made rarely, such as relays and probers.
func Designated(key string, vms []config.VMID, n int) []config.VMID {
	type candidate struct {
		vm     config.VMID
		weight uint64
	}
	all := make([]candidate, len(vms))
	seed := xxhash.Sum64String(key)
	for i, vm := range vms {
		all[i] = candidate{vm: vm, weight: mix(seed ^ xxhash.Sum64String(string(vm)))}
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
func (r *Ranking) VMs() []config.VMID { return r.vms }

// SameVMs reports whether vms, given without repeats, are the VMs of the ring.
func (r *Ranking) SameVMs(vms []VM) bool {
	if len(r.vms) != len(vms) {
		return false
	}
	for _, vm := range vms {
		if _, found := slices.BinarySearch(r.vms, vm.ID); !found {
			return false
		}
	}
	return true
}
