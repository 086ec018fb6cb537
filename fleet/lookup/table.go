package lookup

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

// tableSizes are the slot counts a table may have; all are primes.
var tableSizes = [...]struct{ maxMembers, slots int }{
	{32, 4093},
	{128, 16381},
	{1 << 30, 65521},
}

// Table assigns each slot to one upstream. It is immutable.
type Table struct {
	members []config.UpstreamID
	slots   []uint16
}

// SizeFor returns the number of slots of a service that publishes n upstreams
// in whatever state, so that a state change keeps the size.
func SizeFor(n int) int {
	for _, s := range tableSizes {
		if n <= s.maxMembers {
			return s.slots
		}
	}
	return tableSizes[len(tableSizes)-1].slots
}

// Build fills a table of size slots, a prime, with members in any order. A
// table without members picks nothing.
func Build(size int, members []config.UpstreamID) *Table {
	t := &Table{members: append([]config.UpstreamID(nil), members...)}
	sort.Slice(t.members, func(i, j int) bool { return t.members[i] < t.members[j] })
	if len(t.members) == 0 {
		return t
	}
	t.slots = fill(size, t.members)
	return t
}

const freeSlot = ^uint16(0)

// fill lets the members take turns in choosing their next preferred free slot.
func fill(size int, members []config.UpstreamID) []uint16 {
	slots := make([]uint16, size)
	for i := range slots {
		slots[i] = freeSlot
	}
	at := make([]uint64, len(members))
	step := make([]uint64, len(members))
	for i, m := range members {
		at[i] = permute(m, 'o') % uint64(size)
		step[i] = permute(m, 's')%uint64(size-1) + 1
	}
	for taken := 0; ; {
		for i := range members {
			for slots[at[i]] != freeSlot {
				at[i] = (at[i] + step[i]) % uint64(size)
			}
			slots[at[i]] = uint16(i)
			if taken++; taken == size {
				return slots
			}
		}
	}
}

func permute(m config.UpstreamID, salt byte) uint64 {
	var b [9]byte
	binary.BigEndian.PutUint64(b[:], uint64(m))
	b[8] = salt
	return xxhash.Sum64(b[:])
}

// Len returns the number of slots, zero for a table without members.
func (t *Table) Len() int { return len(t.slots) }

// Members returns the upstreams of the table in ascending order. The caller
// must not change the result.
func (t *Table) Members() []config.UpstreamID { return t.members }

// Pick returns the upstream of the flow's slot, or zero if there is none.
func (t *Table) Pick(id flow.ID) config.UpstreamID { return t.Candidate(id, 0) }

// Candidate returns the n-th choice for the flow, counted from zero. Different
// n may give the same upstream.
func (t *Table) Candidate(id flow.ID, n int) config.UpstreamID {
	size := uint64(len(t.slots))
	if size == 0 {
		return 0
	}
	slot := id.Lo % size
	if n > 0 {
		step := id.Hi%(size-1) + 1
		slot = (slot + uint64(n)*step) % size
	}
	return t.members[t.slots[slot]]
}

// Equal reports whether both tables pick alike for every flow.
func (t *Table) Equal(other *Table) bool {
	if len(t.slots) != len(other.slots) {
		return false
	}
	for i, s := range t.slots {
		if t.members[s] != other.members[other.slots[i]] {
			return false
		}
	}
	return true
}
