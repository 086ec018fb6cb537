package replica

import (
	"slices"
	"strings"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// Revision numbers the changes of everything published. It starts above 0.
type Revision uint64

// Key names an item.
type Key string

// Item is a published value, or the tombstone of one.
type Item struct {
	_     struct{} `cbor:",toarray"`
	Key   Key
	Value []byte
	// Revision is that of the last change, of the removal for a tombstone.
	Revision Revision
	// Created is the revision of the first change since the key was absent.
	Created Revision
	// Removed marks a tombstone. Its Value is the last known one, if any.
	Removed bool
}

// Update is a set of changes. With them a copy that is complete up to After
// becomes complete up to Complete.
type Update struct {
	_        struct{} `cbor:",toarray"`
	After    Revision
	Complete Revision
	// Full tells that Items hold everything that exists at Complete, so that
	// what is missing was removed.
	Full  bool
	Items []Item
}

// tombstoneLife is how long a removed item is remembered. It exceeds the life
// of the longest flow that may still lead to a removed upstream.
const tombstoneLife = 120 * clock.Second

// entry is an item with the time at which this copy learned it.
type entry struct {
	item    Item
	learned clock.Millis
}

// Replica is a copy of everything published. It is not safe for concurrent use.
type Replica struct {
	entries  map[Key]entry
	complete Revision
	// horizon is the highest revision of a forgotten tombstone. An update
	// from an older revision must be a full one.
	horizon Revision
}

// New returns an empty copy.
func New() *Replica { return &Replica{entries: make(map[Key]entry)} }

// Complete returns the revision up to which the copy holds every change, or 0
// if it never was complete.
func (r *Replica) Complete() Revision { return r.complete }

// Apply merges u and returns the items that changed, in the order of their
// revisions.
func (r *Replica) Apply(now clock.Millis, u Update) (changed []Item) {
	for _, item := range u.Items {
		if merged, ok := r.merge(now, item); ok {
			changed = append(changed, merged)
		}
	}
	if u.Full {
		changed = append(changed, r.removeMissing(now, u)...)
	}
	if u.Full || u.After <= r.complete {
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

// merge takes item if it is newer than what is held of its key. A removal of
// something unknown changes nothing, unless it tells the last value.
func (r *Replica) merge(now clock.Millis, item Item) (merged Item, changed bool) {
	old, known := r.entries[item.Key]
	if known && old.item.Revision >= item.Revision {
		return item, false
	}
	if item.Removed && len(item.Value) == 0 {
		item.Value, item.Created = old.item.Value, old.item.Created
	}
	r.entries[item.Key] = entry{item: item, learned: now}
	return item, known || !item.Removed || len(item.Value) > 0
}

// removeMissing buries the items that a full update does not hold. Items
// newer than the update may have been created after it was read.
func (r *Replica) removeMissing(now clock.Millis, u Update) (changed []Item) {
	present := make(map[Key]bool, len(u.Items))
	for i := range u.Items {
		present[u.Items[i].Key] = true
	}
	for key, e := range r.entries {
		if present[key] || e.item.Removed || e.item.Revision > u.Complete {
			continue
		}
		e.item.Removed, e.item.Revision = true, u.Complete
		r.entries[key] = entry{item: e.item, learned: now}
		changed = append(changed, e.item)
	}
	return changed
}

// Since returns what changed after the given revision, as a full update if the
// copy no longer knows what was removed since.
func (r *Replica) Since(after Revision) (u Update) {
	u = Update{After: after, Complete: r.complete, Full: after < r.horizon}
	for _, e := range r.entries {
		if e.item.Revision > after || u.Full && !e.item.Removed {
			u.Items = append(u.Items, e.item)
		}
	}
	slices.SortFunc(u.Items, func(a, b Item) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return u
}

// Forget drops tombstones whose time is over.
func (r *Replica) Forget(now clock.Millis) {
	for key, e := range r.entries {
		if e.item.Removed && now-e.learned > tombstoneLife {
			r.horizon = max(r.horizon, e.item.Revision)
			delete(r.entries, key)
		}
	}
}

// Each calls f for every item, tombstones included, with the time at which
// this copy learned its last change.
func (r *Replica) Each(f func(item Item, learned clock.Millis)) {
	for _, e := range r.entries {
		f(e.item, e.learned)
	}
}
