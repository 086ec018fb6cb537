package replica

import (
	"bytes"
	"slices"
	"strings"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// Key is the key of an item.
type Key string

// Item is a published value or its tombstone.
type Item struct {
	_     struct{} `cbor:",toarray"`
	Key   Key
	Value []byte
	// Revision is the revision of the last change, or of the removal for a
	// tombstone.
	Revision Revision
	// Created is the publisher's number of the first change since the key was last
	// absent. It holds no era, so that it does not change with the era.
	Created Revision
	// Removed is set for a tombstone. Its Value is the last known one, if any.
	Removed bool
	// Age is the time since the removal of a tombstone, 0 if it was removed just now.
	// It is not encoded.
	Age clock.Millis `cbor:"-"`
}

// Update is a set of changes. It makes a copy that is complete up to After
// complete up to Complete.
type Update struct {
	_        struct{} `cbor:",toarray"`
	After    Revision
	Complete Revision
	// Full is set if Items holds all items that exist at Complete, so that any
	// other item was removed.
	Full  bool
	Items []Item
}

// tombstoneTTL is how long a tombstone is kept. It exceeds the longest time
// that a flow to a removed upstream may last.
const tombstoneTTL = 120 * clock.Second

// entry is an item with the time at which this copy received it.
type entry struct {
	item      Item
	learnedAt clock.Millis
}

// Replica is a copy of all published items. It is not safe for concurrent use.
type Replica struct {
	entries  map[Key]entry
	complete Revision
	// horizon is the revision from which on this copy has all tombstones. Older ones
	// were dropped, or a full update has skipped them. An update for an older copy
	// must be a full one.
	horizon Revision
}

// New returns an empty copy.
func New() *Replica { return &Replica{entries: make(map[Key]entry)} }

// Complete returns the revision up to which the copy holds every change, or 0
// if it has never been complete.
func (r *Replica) Complete() Revision { return r.complete }

// Apply merges u and returns the items that changed, ordered by revision.
func (r *Replica) Apply(now clock.Millis, u Update) (changed []Item) {
	for _, item := range u.Items {
		if merged, ok := r.merge(now, r.markRemoved(item, u.Complete)); ok {
			changed = append(changed, merged)
		}
	}
	if u.Full {
		changed = append(changed, r.removeMissing(now, u)...)
		if u.Complete > r.complete {
			r.horizon = max(r.horizon, u.Complete)
		}
	}
	if u.Full || u.After <= r.complete && u.After.Era() == u.Complete.Era() {
		r.complete = max(r.complete, u.Complete)
	}
	slices.SortFunc(changed, func(a, b Item) int {
		if a.Revision == b.Revision {
			return strings.Compare(string(a.Key), string(b.Key))
		}
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	})
	return changed
}

// markRemoved returns item as a tombstone if it comes from an older copy and does not
// exist here, although it was published before the revision of this copy. It was then
// removed since, and its tombstone was dropped or, as full reads of the publisher have
// none, never received. copyComplete is the revision of the copy that sent item.
func (r *Replica) markRemoved(item Item, copyComplete Revision) Item {
	old, known := r.entries[item.Key]
	exists := known && !old.item.Removed
	if exists || item.Removed || copyComplete >= r.complete || item.Revision > r.complete || item.Revision <= old.item.Revision {
		return item
	}
	item.Removed, item.Revision = true, r.complete
	return item
}

// merge stores item if it is newer than the stored item of its key, and reports
// whether that is a change. An item that differs only in its revision is stored but is
// no change.
func (r *Replica) merge(now clock.Millis, item Item) (merged Item, changed bool) {
	old, known := r.entries[item.Key]
	if known && old.item.Revision >= item.Revision {
		return item, false
	}
	if item.Removed && len(item.Value) == 0 {
		item.Value, item.Created = old.item.Value, old.item.Created
	}
	if known && !old.item.Removed && !item.Removed && old.item.Created == item.Created && bytes.Equal(old.item.Value, item.Value) {
		r.entries[item.Key] = entry{item: item, learnedAt: old.learnedAt}
		return item, false
	}
	r.entries[item.Key] = entry{item: item, learnedAt: now - item.Age}
	return item, true
}

// removeMissing replaces the items that a full update does not hold by
// tombstones. It keeps items newer than the update, which may have been created
// after the update was read.
func (r *Replica) removeMissing(now clock.Millis, u Update) (changed []Item) {
	present := make(map[Key]bool, len(u.Items))
	for i := range u.Items {
		present[u.Items[i].Key] = !u.Items[i].Removed
	}
	for key, e := range r.entries {
		if present[key] || e.item.Removed || e.item.Revision > u.Complete {
			continue
		}
		e.item.Removed, e.item.Revision = true, u.Complete
		r.entries[key] = entry{item: e.item, learnedAt: now}
		changed = append(changed, e.item)
	}
	return changed
}

// Since returns the changes after the given revision. The update is a full one
// if the copy no longer has all tombstones since then, or if the revision is of another
// era: items that the publisher lost have none.
func (r *Replica) Since(after Revision) (u Update) {
	u = Update{After: after, Complete: r.complete, Full: after < r.horizon || after.Era() != r.complete.Era()}
	for _, e := range r.entries {
		if e.item.Revision > after || u.Full && !e.item.Removed {
			u.Items = append(u.Items, e.item)
		}
	}
	slices.SortFunc(u.Items, func(a, b Item) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return u
}

// RecentRemovals returns the ages of the tombstones that are at most maxAge old.
func (r *Replica) RecentRemovals(now, maxAge clock.Millis) map[Key]clock.Millis {
	ages := make(map[Key]clock.Millis)
	for key, e := range r.entries {
		if age := now - e.learnedAt; e.item.Removed && age <= maxAge {
			ages[key] = age
		}
	}
	return ages
}

// Forget drops the tombstones older than tombstoneTTL.
func (r *Replica) Forget(now clock.Millis) {
	for key, e := range r.entries {
		if e.item.Removed && now-e.learnedAt > tombstoneTTL {
			r.horizon = max(r.horizon, e.item.Revision)
			delete(r.entries, key)
		}
	}
}

// Each calls f for every item, tombstones included, with the time at which this
// copy received its last change.
func (r *Replica) Each(f func(item Item, learnedAt clock.Millis)) {
	for _, e := range r.entries {
		f(e.item, e.learnedAt)
	}
}
