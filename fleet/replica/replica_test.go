package replica

import (
	"fmt"
	"maps"
	"slices"
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
		{"present in an older copy", []Update{{Full: true, Complete: 6}, {Complete: 5, Items: []Item{put(3, "a", "x")}}}, map[Key]string{}, 6},
		{"missed by a watch", []Update{{Full: true, Complete: 6}, {Full: true, Complete: 6, Items: []Item{put(3, "a", "x")}}}, map[Key]string{"a": "x"}, 6},
		{"newer than this copy in an older one", []Update{{Full: true, Complete: 6}, {Complete: 5, Items: []Item{put(7, "a", "x")}}}, map[Key]string{"a": "x"}, 6},
		{"a new era replaces all", []Update{{Full: true, Complete: 9, Items: []Item{put(9, "a", "new"), put(8, "b", "y")}}, {Full: true, Complete: RevisionOf(1, 5), Items: []Item{put(RevisionOf(1, 3), "a", "old")}}}, map[Key]string{"a": "old"}, RevisionOf(1, 5)},
		{"late answer of an earlier era", []Update{{Full: true, Complete: RevisionOf(1, 5), Items: []Item{put(RevisionOf(1, 3), "a", "x")}}, {Full: true, Complete: 9, Items: []Item{put(9, "a", "late"), put(8, "b", "y")}}, {After: 9, Complete: 11, Items: []Item{put(11, "a", "late")}}}, map[Key]string{"a": "x"}, RevisionOf(1, 5)},
		{"changes of another era do not complete", []Update{{Full: true, Complete: 9, Items: []Item{put(9, "a", "x")}}, {After: 9, Complete: RevisionOf(1, 12)}}, map[Key]string{"a": "x"}, 9},
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

// TestOnlyTheRevisionChanged guards against a slow start that begins again, and a new
// catalog, for each item that came back unchanged with a new era.
func TestOnlyTheRevisionChanged(t *testing.T) {
	r := New()
	r.Apply(0, Update{Full: true, Complete: 9, Items: []Item{put(7, "a", "x"), put(8, "b", "y")}})
	back := []Item{{Key: "a", Value: []byte("x"), Revision: RevisionOf(1, 7), Created: 7}, {Key: "b", Value: []byte("y"), Revision: RevisionOf(1, 7), Created: 7}}
	changed := r.Apply(5, Update{Full: true, Complete: RevisionOf(1, 7), Items: back})
	assert.Equal(t, len(changed), 1, "b was created at another number, which decides on its token")
	assert.Equal(t, r.Since(RevisionOf(1, 6)).Items[0].Revision, RevisionOf(1, 7))
	assert.Equal(t, fmt.Sprint(Revision(12), RevisionOf(2, 12)), "12 2.12")
}

// TestRecentRemovals passes a tombstone from copy to copy. Its age must go on.
func TestRecentRemovals(t *testing.T) {
	a, b := New(), New()
	a.Apply(1000, Update{Complete: 2, Items: []Item{put(1, "a", "x"), put(2, "b", "y")}})
	a.Apply(3000, Update{After: 2, Complete: 3, Items: []Item{{Key: "a", Revision: 3, Removed: true}}})
	assert.DeepEqual(t, a.RecentRemovals(3400, 500), map[Key]clock.Millis{"a": 400})
	assert.DeepEqual(t, a.RecentRemovals(3600, 500), map[Key]clock.Millis{})
	u := a.Since(0)
	u.Items[0].Age = 400
	b.Apply(90_000, u)
	assert.DeepEqual(t, b.RecentRemovals(90_050, 500), map[Key]clock.Millis{"a": 450})
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

// publisher is a stand-in for the publisher with the items at each of its revisions.
type publisher struct {
	changes Replica
	history []map[Key]string
}

func newPublisher() *publisher {
	return &publisher{changes: *New(), history: []map[Key]string{{}}}
}

func (p *publisher) revision() Revision { return Revision(len(p.history) - 1) }

func (p *publisher) change(item Item) {
	item.Revision = p.revision() + 1
	item.Created = item.Revision
	item.Value = fmt.Append(nil, item.Revision)
	p.changes.Apply(0, Update{After: p.revision(), Complete: item.Revision, Items: []Item{item}})
	p.history = append(p.history, values(&p.changes))
}

// read returns all items, and no tombstones.
func (p *publisher) read() Update {
	u := p.changes.Since(0)
	u.Full = true
	u.Items = slices.DeleteFunc(u.Items, func(i Item) bool { return i.Removed })
	return u
}

// TestCopiesAgree updates copies by reads and watches of the publisher and by pulls
// from each other, in any order and repeatedly. Some copies start again or drop their
// tombstones meanwhile. The revision of an item must never decrease in a copy. After
// each step a copy must hold the items that were published at its revision.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPublisher()
		copies := []*Replica{New(), New(), New()}
		seen := []map[Key]Revision{{}, {}, {}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "change") {
				p.change(Item{Key: Key(fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))), Removed: rapid.Bool().Draw(t, "removed")})
			}
			to := rapid.IntRange(0, len(copies)-1).Draw(t, "to")
			from := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "from")]
			c := copies[to]
			switch rapid.SampledFrom([]string{"read", "watch", "pull", "pull all", "restart", "forget"}).Draw(t, "step") {
			case "read":
				c.Apply(0, p.read())
			case "watch":
				c.Apply(0, p.changes.Since(c.Complete()))
			case "pull":
				c.Apply(0, from.Since(c.Complete()))
			case "pull all":
				c.Apply(0, from.Since(0))
			case "restart":
				copies[to], seen[to] = New(), map[Key]Revision{}
			case "forget":
				c.Forget(tombstoneTTL + 1)
				maps.DeleteFunc(seen[to], func(key Key, _ Revision) bool { return c.entries[key].item.Revision == 0 })
			}
			c = copies[to]
			assert.DeepEqual(t, values(c), p.history[c.Complete()])
			c.Each(func(i Item, _ clock.Millis) {
				assert.Assert(t, i.Revision >= seen[to][i.Key])
				seen[to][i.Key] = i.Revision
			})
		}
		for _, c := range copies {
			c.Apply(0, p.changes.Since(c.Complete()))
			assert.DeepEqual(t, values(c), values(&p.changes))
			assert.Equal(t, c.Complete(), p.revision())
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
