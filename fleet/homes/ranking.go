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

// Ranks is the number of VMs that are ranked for each bucket: the home, its
// successor, which keeps copies, and one more fallback.
const Ranks = 3

// noVM marks an unused rank or copy.
const noVM = ^uint16(0)

// BucketOf returns the bucket of a flow, 0 to Buckets-1.
func BucketOf(id flow.ID) int { return int(id.Hi >> 32 & (Buckets - 1)) }

// MaxCopies is the maximum number of VMs that keep copies for a home.
const MaxCopies = 3

// VM is a candidate for the home of flows.
type VM struct {
	ID     config.VMID
	Domain config.DomainName
}

// Ranking is the rank order of the VMs for every bucket. It is immutable.
type Ranking struct {
	vms    []config.VMID
	ranks  [Buckets][Ranks]uint16
	copies [Buckets][MaxCopies]uint16
}

// NewRanking ranks vms, which may be in any order but must be distinct.
func NewRanking(vms []VM) *Ranking {
	vms = append([]VM(nil), vms...)
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	r := &Ranking{vms: make([]config.VMID, len(vms))}
	k := &ranker{vmHashes: make([]uint64, len(vms)), domains: make([]int, len(vms))}
	names := make(map[config.DomainName]int)
	for i, vm := range vms {
		if _, known := names[vm.Domain]; !known {
			names[vm.Domain] = len(names)
		}
		r.vms[i], k.vmHashes[i], k.domains[i] = vm.ID, xxhash.Sum64String(string(vm.ID)), names[vm.Domain]
	}
	k.topByDomain = make([]weightedVM, len(names))
	for b := range r.ranks {
		r.ranks[b], r.copies[b] = k.rank(uint64(b))
	}
	return r
}

// weightedVM is the index of a VM with its weight for a bucket.
type weightedVM struct {
	index  uint16
	weight uint64
}

// ranker ranks VMs by rendezvous hashing. Its slices are reused across buckets.
type ranker struct {
	vmHashes    []uint64
	domains     []int
	topByDomain []weightedVM // the VM with the highest weight in each failure domain
}

// rank returns the indices of the VMs with the highest weights in descending
// order, and of the VMs that keep copies. These are the second in rank, which
// becomes home if the home fails, and the VMs with the highest weight of other
// failure domains, one of which becomes home if whole failure domains fail.
func (k *ranker) rank(bucket uint64) (top [Ranks]uint16, copies [MaxCopies]uint16) {
	var best [Ranks]weightedVM
	for i := range best {
		best[i].index = noVM
	}
	for i := range k.topByDomain {
		k.topByDomain[i].index = noVM
	}
	for i, seed := range k.vmHashes {
		r := weightedVM{index: uint16(i), weight: splitMix64(seed ^ (bucket * 0x9e3779b97f4a7c15))}
		if d := k.domains[i]; k.topByDomain[d].index == noVM || r.weight > k.topByDomain[d].weight {
			k.topByDomain[d] = r
		}
		for j := range best {
			if best[j].index == noVM || r.weight > best[j].weight {
				r, best[j] = best[j], r
			}
			if r.index == noVM {
				break
			}
		}
	}
	for i := range best {
		top[i] = best[i].index
	}
	return top, k.copies(best[0].index, best[1].index)
}

func (k *ranker) copies(home, second uint16) (list [MaxCopies]uint16) {
	list = [MaxCopies]uint16{second, noVM, noVM}
	if home == noVM {
		return list
	}
	sort.Slice(k.topByDomain, func(i, j int) bool { return k.topByDomain[i].weight > k.topByDomain[j].weight })
	n := 1
	for _, t := range k.topByDomain {
		if n < MaxCopies && t.index != noVM && t.index != home && t.index != second {
			list[n] = t.index
			n++
		}
	}
	return list
}

// splitMix64 is the finalizer of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Len returns the number of VMs.
func (r *Ranking) Len() int { return len(r.vms) }

// VMAt returns the VM of rank n, 0 to Ranks-1, for bucket b, or the empty
// identifier if there are too few VMs.
func (r *Ranking) VMAt(b, n int) config.VMID {
	return r.vm(r.ranks[b][n])
}

// CopyVMAt returns the n-th VM, 0 to MaxCopies-1, that keeps copies for bucket
// b, or the empty identifier if there are too few VMs.
func (r *Ranking) CopyVMAt(b, n int) config.VMID { return r.vm(r.copies[b][n]) }

func (r *Ranking) vm(i uint16) config.VMID {
	if i == noVM {
		return ""
	}
	return r.vms[i]
}

// Designated returns the n VMs of vms that rank highest for key, in rank
// order, or all of them if there are fewer. It sorts vms on each call and is
// meant for infrequent choices, such as those of relays and probers.
func Designated(key string, vms []config.VMID, n int) []config.VMID {
	type candidate struct {
		vm     config.VMID
		weight uint64
	}
	all := make([]candidate, len(vms))
	seed := xxhash.Sum64String(key)
	for i, vm := range vms {
		all[i] = candidate{vm: vm, weight: splitMix64(seed ^ xxhash.Sum64String(string(vm)))}
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
	own := splitMix64(seed ^ xxhash.Sum64String(string(self)))
	above, listed := 0, false
	for _, vm := range vms {
		w := splitMix64(seed ^ xxhash.Sum64String(string(vm)))
		switch {
		case vm == self:
			listed = true
		case w > own || (w == own && vm < self):
			above++
		}
	}
	return listed && above < n
}

// VMs returns the ranked VMs in ascending order. The caller must not modify
// the result.
func (r *Ranking) VMs() []config.VMID { return r.vms }

// SameVMs reports whether vms, which must be distinct, are the ranked VMs.
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
