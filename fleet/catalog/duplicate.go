package catalog

import (
	"cmp"
	"fmt"

	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// keyedEntry is an entry with the key of the item that published it.
type keyedEntry struct {
	*Entry
	key replica.Key
}

// precedes reports whether an EncapID that both have belongs to e: to the one that tells its
// start, then to the one that started first, and at last to the one that was published first.
// The revision at which an upstream was first published changes when an expired registration
// is renewed.
func (e keyedEntry) precedes(other keyedEntry) bool {
	if known, otherKnown := e.StartedAt != 0, other.StartedAt != 0; known != otherKnown {
		return known
	}
	return cmp.Or(cmp.Compare(e.StartedAt, other.StartedAt), cmp.Compare(e.Created, other.Created), cmp.Compare(e.key, other.key)) < 0
}

// dropDuplicates returns the entries without those whose EncapID belongs to another one, for
// as long as that is known, also after its removal. Two upstreams with one EncapID accept each
// other's packets, so it would not stop a flow to the address of the wrong one.
func (b *Builder) dropDuplicates(entries []keyedEntry) (unique []*Entry) {
	owners := make(map[EncapID]keyedEntry, len(entries))
	for _, e := range entries {
		if owner, taken := owners[e.EncapID]; !taken || e.precedes(owner) {
			owners[e.EncapID] = e
		}
	}
	duplicates := make(map[replica.Key]bool)
	for _, e := range entries {
		owner := owners[e.EncapID]
		if e.EncapID == 0 || owner.key == e.key {
			unique = append(unique, e.Entry)
			continue
		}
		duplicates[e.key] = true
		if !b.duplicates[e.key] {
			b.reject(b.known[e.key].item, fmt.Errorf("catalog: upstream %q has the encapsulation identifier %x, which belongs to %q", e.ID, e.EncapID, owner.ID))
		}
	}
	b.duplicates = duplicates
	return unique
}
