package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

func put(rev Revision, key, value string) Item {
	return Item{Key: Key(key), Value: []byte(value), Revision: rev, Created: rev}
}

func values(r *Replica) map[Key]string {
	m := make(map[Key]string)
	r.Each(func(i Item, _ clock.Millis) {
		if !i.Removed {
			m[i.Key] = string(i.Value)
		}
	})
	return m
}

func TestApply(t *testing.T) {
	tests := []struct {
		name     string
		updates  []Update
		want     map[Key]string
		complete Revision
	}{
		{"full", []Update{{Full: true, Complete: 5, Items: []Item{put(3, "a", "x")}}}, map[Key]string{"a": "x"}, 5},
		{"older value ignored", []Update{{Complete: 9, Items: []Item{put(9, "a", "new"), put(3, "a", "old")}}}, map[Key]string{"a": "new"}, 9},
		{"removal", []Update{{Complete: 3, Items: []Item{put(3, "a", "x")}}, {After: 3, Complete: 4, Items: []Item{{Key: "a", Revision: 4, Removed: true}}}}, map[Key]string{}, 4},
		{"missing from a full update", []Update{{Complete: 3, Items: []Item{put(3, "a", "x")}}, {Full: true, Complete: 8}}, map[Key]string{}, 8},
		{"newer than a full update", []Update{{Complete: 9, Items: []Item{put(9, "a", "x")}}, {Full: true, Complete: 8}}, map[Key]string{"a": "x"}, 9},
		{"gap leaves the copy incomplete", []Update{{Complete: 3, Items: []Item{put(3, "a", "x")}}, {After: 7, Complete: 9, Items: []Item{put(9, "b", "y")}}}, map[Key]string{"a": "x", "b": "y"}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := New()
			for _, u := range test.updates {
				r.Apply(0, u)
			}
			assert.DeepEqual(t, values(r), test.want)
			assert.Equal(t, r.Complete(), test.complete)
		})
	}
}

func TestTombstoneKeepsTheLastValue(t *testing.T) {
	r := New()
	r.Apply(0, Update{Complete: 1, Items: []Item{put(1, "a", "x")}})
	changed := r.Apply(0, Update{After: 1, Complete: 2, Items: []Item{{Key: "a", Revision: 2, Removed: true}}})
	assert.Equal(t, string(changed[0].Value), "x")
	assert.Equal(t, string(r.Since(1).Items[0].Value), "x")
}

// TestEmptyCopyLearnsTombstones applies a full update from the publisher to an
// empty copy, and then an update from another copy that has a tombstone. The
// tombstone must be added with its last value.
func TestEmptyCopyLearnsTombstones(t *testing.T) {
	old := New()
	old.Apply(0, Update{Complete: 1, Items: []Item{put(1, "a", "x")}})
	old.Apply(0, Update{After: 1, Complete: 2, Items: []Item{{Key: "a", Revision: 2, Removed: true}}})
	empty := New()
	empty.Apply(0, Update{Full: true, Complete: 2})
	changed := empty.Apply(0, old.Since(0))
	assert.Equal(t, len(changed), 1)
	assert.Assert(t, changed[0].Removed && string(changed[0].Value) == "x")
	assert.Equal(t, len(empty.Apply(0, old.Since(0))), 0)
}

func TestForget(t *testing.T) {
	r := New()
	r.Apply(0, Update{Complete: 1, Items: []Item{put(1, "a", "x"), put(1, "b", "y")}})
	r.Apply(0, Update{After: 1, Complete: 2, Items: []Item{{Key: "a", Revision: 2, Removed: true}}})
	assert.Assert(t, !r.Since(1).Full)
	r.Forget(tombstoneTTL + 1)
	u := r.Since(1)
	assert.Assert(t, u.Full)
	other := New()
	other.Apply(0, Update{Complete: 1, Items: []Item{put(1, "a", "x"), put(1, "b", "y")}})
	other.Apply(0, u)
	assert.DeepEqual(t, values(other), map[Key]string{"b": "y"})
}

// TestCopiesAgree updates copies from the publisher and from each other, in any
// order and repeatedly. The revision of an item must never decrease in a copy,
// and all copies must finally hold the published items.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published := New()
		copies := []*Replica{New(), New(), New()}
		seen := make([]map[Key]Revision, len(copies))
		for i := range seen {
			seen[i] = make(map[Key]Revision)
		}
		rev := Revision(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			rev++
			key := fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
			change := put(rev, key, fmt.Sprint(rev))
			change.Removed = rapid.Bool().Draw(t, "removed")
			published.Apply(0, Update{After: rev - 1, Complete: rev, Items: []Item{change}})
			from := rapid.IntRange(-1, len(copies)-1).Draw(t, "from")
			to := rapid.IntRange(0, len(copies)-1).Draw(t, "to")
			source := published
			if from >= 0 {
				source = copies[from]
			}
			copies[to].Apply(0, source.Since(copies[to].Complete()))
			copies[to].Each(func(i Item, _ clock.Millis) {
				assert.Assert(t, i.Revision >= seen[to][i.Key])
				seen[to][i.Key] = i.Revision
			})
		}
		for _, c := range copies {
			c.Apply(0, published.Since(c.Complete()))
			assert.DeepEqual(t, values(c), values(published))
			assert.Equal(t, c.Complete(), published.Complete())
		}
	})
}

func ExampleReplica() {
	r := New()
	r.Apply(0, Update{Full: true, Complete: 7, Items: []Item{put(4, "colour", "red")}})
	r.Apply(0, Update{After: 7, Complete: 8, Items: []Item{put(8, "colour", "blue")}})
	r.Each(func(i Item, _ clock.Millis) { fmt.Println(i.Key, string(i.Value)) })
	fmt.Println(r.Complete())
	// Output:
	// colour blue
	// 8
}
