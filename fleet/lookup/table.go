package lookup

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

// tableSizes maps numbers of upstreams to numbers of slots. The latter are prime,
// so that every skip visits all slots.
var tableSizes = [...]struct{ maxMembers, slots int }{
	{32, 4093},
	{128, 16381},
	{1 << 30, 65521},
}

// Table assigns an upstream to each slot. It is immutable.
type Table struct {
	members []config.UpstreamID
	slots   []uint16
}

// SizeFor returns the number of slots for a service that publishes n upstreams.
// Upstreams in every state count, so that a change of state keeps the size.
func SizeFor(n int) int {
	for _, s := range tableSizes {
		if n <= s.maxMembers {
			return s.slots
		}
	}
	return tableSizes[len(tableSizes)-1].slots
}

// Build returns a table of size slots for members, which may be in any order.
// The size must be a prime. A table without members has no slots.
func Build(size int, members []config.UpstreamID) *Table {
	t := &Table{members: append([]config.UpstreamID(nil), members...)}
	sort.Slice(t.members, func(i, j int) bool { return t.members[i] < t.members[j] })
	if len(t.members) == 0 {
		return t
	}
	t.slots = fill(size, t.members)
	return t
}

// freeSlot marks a slot without a member.
const freeSlot = ^uint16(0)

// fill assigns the slots round-robin: each member in turn takes the first free
// slot in its own permutation of the slots, given by an offset and a skip.
func fill(size int, members []config.UpstreamID) []uint16 {
	slots := make([]uint16, size)
	for i := range slots {
		slots[i] = freeSlot
	}
	next := make([]uint64, len(members))
	skip := make([]uint64, len(members))
	for i, m := range members {
		next[i] = hashMember(m, 'o') % uint64(size)
		skip[i] = hashMember(m, 's')%uint64(size-1) + 1
	}
	for taken := 0; ; {
		for i := range members {
			for slots[next[i]] != freeSlot {
				next[i] = (next[i] + skip[i]) % uint64(size)
			}
			slots[next[i]] = uint16(i)
			if taken++; taken == size {
				return slots
			}
		}
	}
}

// hashMember hashes a member with a salt that keeps its offset and its skip
// independent.
func hashMember(m config.UpstreamID, salt byte) uint64 {
	var b [9]byte
	binary.BigEndian.PutUint64(b[:], uint64(m))
	b[8] = salt
	return xxhash.Sum64(b[:])
}

// Len returns the number of slots, zero for a table without members.
func (t *Table) Len() int { return len(t.slots) }

// Members returns the upstreams of the table in ascending order. The caller
// must not modify the result.
func (t *Table) Members() []config.UpstreamID { return t.members }

// Pick returns the upstream that the table assigns to the flow, or zero if the
// table has no members.
func (t *Table) Pick(id flow.ID) config.UpstreamID { return t.Candidate(id, 0) }

// Candidate returns the n-th choice for the flow, counted from zero, or zero if
// the table has no members. Different n may give the same upstream.
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

// Equal reports whether both tables assign the same upstream to every flow.
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
