package catalog

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// TestDuplicateEncapID guards against an entry that attracts flows to an upstream of another
// service, since its identifier is another spelling of that upstream's. The entry that was
// there first stays in force, whichever of the two a VM learns first.
func TestDuplicateEncapID(t *testing.T) {
	first, second := item(2, "u", "web a encap=7"), item(3, "copy", "api a encap=7")
	other, unnumbered := item(4, "v", "web a encap=8"), item(5, "w", "web a")
	changed := item(6, "u", "web a encap=7 seq=1")
	changed.Created = first.Created
	tests := []struct {
		name     string
		items    []replica.Item
		web, api int // serving upstreams
		rejected int
	}{
		{"the first one is known first", []replica.Item{first, second, other}, 2, 0, 1},
		{"the second one is known first", []replica.Item{second, changed, other}, 2, 0, 1},
		{"the first one is removed", []replica.Item{first, second, other, removedItem(7, "u", "")}, 2, 0, 1},
		{"only the second one tells its start", []replica.Item{item(2, "copy", "api a encap=7"), item(3, "u", "web a encap=7 born=5"), other}, 2, 0, 1},
		{"the first one is published again", []replica.Item{item(2, "u", "web a encap=7 born=5"), item(3, "copy", "api a encap=7 born=9"), removedItem(4, "u", ""), item(5, "u", "web a encap=7 born=5"), other}, 2, 0, 1},
		{"the first one is malformed", []replica.Item{item(2, "u", "?"), second, other}, 1, 1, 0},
		{"without a number", []replica.Item{unnumbered, item(6, "x", "api a")}, 1, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rejected := 0
			b := NewBuilder(decodeWords, func(item replica.Item, _ error) {
				if item.Key == "copy" {
					rejected++
				}
			}, 1000)
			b.Apply(1000, []replica.Item{item(1, "config", "1")}, false)
			for _, i := range test.items { // one at a time, as another VM may learn them
				b.Apply(1000, []replica.Item{i}, false)
				b.Build(99)
			}
			c := b.Build(99)
			assert.Equal(t, len(c.Serving("web")), test.web)
			assert.Equal(t, len(c.Serving("api")), test.api)
			assert.Equal(t, rejected, test.rejected, "each duplicate is reported once")
		})
	}
}

// TestDuplicateEndsWithItsOwner checks that an EncapID is free again once its owner is
// forgotten.
func TestDuplicateEndsWithItsOwner(t *testing.T) {
	b := NewBuilder(decodeWords, func(replica.Item, error) {}, 1000)
	b.Apply(1000, []replica.Item{
		item(1, "config", "1"), item(2, "u", "web a encap=7"), item(3, "copy", "api a encap=7"), removedItem(4, "u", ""),
	}, false)
	assert.Equal(t, len(b.Build(99).Serving("api")), 0)
	b.Forget(1001 + removedTTL)
	assert.Equal(t, len(b.Build(99).Serving("api")), 1)
}
