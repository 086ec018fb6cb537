package catalog

import (
	"slices"
	"strings"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

const (
	// defaultStaleTime is the default of Builder.SetHeartbeat, that of heartbeats of 1 s.
	defaultStaleTime = staleHeartbeats * clock.Second
	// staleHeartbeats is the number of heartbeats after which a published entry counts
	// as alive although it may be stale. The publisher drops the entry of a dead
	// upstream after three.
	staleHeartbeats = 4
	// domainStaleTime is the time for which the state of a failure domain outlasts the
	// loss or the return of its entry, in which the operator can write it again.
	domainStaleTime = 3 * clock.Second
)

// Kept is an item that a VM keeps in force although the publisher came back from a copy
// that does not have it.
type Kept struct {
	// Item is the item, or its tombstone, as it was before.
	Item replica.Item
	// Left is the time for which it stays in force, 0 if it is unknown or unlimited.
	Left clock.Millis
}

// withEarlier adds to what another VM keeps in force its other items, if its copy belongs to
// an earlier era than the one here. It may know what the publisher lost.
func withEarlier(kept []Kept, items []replica.Item) []Kept {
	keys := make(map[replica.Key]bool, len(kept))
	for i := range kept {
		keys[kept[i].Item.Key] = true
	}
	for _, item := range items {
		if !keys[item.Key] {
			kept = append(kept, Kept{Item: item})
		}
	}
	return kept
}

// knownItem is an item in force with the time at which it changed.
type knownItem struct {
	item replica.Item
	at   clock.Millis
	// settled is set if this VM saw the change happen. What others keep from an earlier
	// era then does not replace it.
	settled bool
}

// keptItem is an item in force in place of a published one, which takes effect at the
// time until, or never if that is 0.
type keptItem struct {
	item, published replica.Item
	until           clock.Millis
}

// SetHeartbeat sets the period at which upstreams publish their entries.
func (b *Builder) SetHeartbeat(heartbeat clock.Millis) { b.staleTime = staleHeartbeats * heartbeat }

// Kept returns the items that this VM keeps in force, ordered by key, for VMs that do
// not know them.
func (b *Builder) Kept(now clock.Millis) (list []Kept) {
	for _, k := range b.kept {
		switch {
		case k.until == 0:
			list = append(list, Kept{Item: k.item})
		case k.until > now:
			list = append(list, Kept{Item: k.item, Left: k.until - now})
		}
	}
	slices.SortFunc(list, func(x, y Kept) int { return strings.Compare(string(x.Item.Key), string(y.Item.Key)) })
	return list
}

// Expire ends the items that were kept long enough and reports whether there were any,
// in which case the catalog must be built again.
func (b *Builder) Expire(now clock.Millis) (changed bool) {
	for key, k := range b.kept {
		if k.until == 0 || now < k.until {
			continue
		}
		delete(b.kept, key)
		k.published.Age = 0 // it takes effect now
		b.apply(now, k.published)
		b.settle(key)
		changed = true
	}
	return changed
}

// settle marks an item in force as settled.
func (b *Builder) settle(key replica.Key) {
	k := b.known[key]
	k.settled = true
	b.known[key] = k
}

// endKept reports whether a published item takes effect, although another one may be
// kept in its place. It then ends that.
func (b *Builder) endKept(item replica.Item) bool {
	k, ok := b.kept[item.Key]
	if !ok {
		return true
	}
	change, err := b.decode(item)
	old, _ := b.decode(k.item)
	takesEffect := true
	switch {
	case err != nil:
	case old.Upstream != nil && item.Removed:
		takesEffect = !k.item.Removed
	case change.Upstream != nil && old.Upstream != nil:
		takesEffect = !stale(change.Upstream, old.Upstream) || !k.item.Removed && change.Upstream.Draining
	case change.Config != nil && old.Config != nil:
		takesEffect = change.Config.Version >= old.Config.Version
	case old.DomainOut != "" && item.Removed:
		takesEffect = false
		if k.item.Removed { // the entry that was without effect is gone
			delete(b.kept, item.Key)
			return false
		}
	}
	switch {
	case takesEffect, old.Upstream != nil && item.Removed:
		delete(b.kept, item.Key)
	default:
		k.published = item
		b.kept[item.Key] = k
	}
	return takesEffect
}

// stale reports whether a published entry of an upstream is none later than the one that
// is known, by the start and the sequence of the upstream.
func stale(published, known *Upstream) bool {
	if published.StartedAt != known.StartedAt {
		return published.StartedAt < known.StartedAt
	}
	return published.Sequence <= known.Sequence
}
