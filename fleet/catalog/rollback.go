package catalog

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// Merge applies an update to a copy, its changes to b, and then what the sender of the update
// keeps in force. See Apply for publisherWasAway. Merge returns the changes, and whether
// anything that the sender keeps takes effect.
func (b *Builder) Merge(now clock.Millis, r *replica.Replica, u replica.Update, kept []Kept, publisherWasAway bool) (changed []replica.Item, keptTaken bool) {
	before := r.Complete()
	changed = r.Apply(now, u)
	complete := r.Complete()
	if before > 0 && complete.Era() > before.Era() {
		b.ApplyRollback(now, changed)
	} else {
		b.Apply(now, changed, publisherWasAway)
	}
	if u.Complete.Era() < complete.Era() {
		kept = withEarlier(kept, u.Items)
	}
	return changed, b.ApplyKept(now, kept)
}

// ApplyRollback applies the changes of the update by which this VM learns that the
// publisher came back from an older copy of its items. Upstreams that are missing now
// accept new flows for renewalGrace, unless they were draining. Items of the older copy
// that are known to be outdated stay without effect.
func (b *Builder) ApplyRollback(now clock.Millis, items []replica.Item) {
	b.restartTimes(now)
	for _, item := range items {
		known := b.known[item.Key].item
		delete(b.kept, item.Key)
		_, out := b.domainsOut[item.Key]
		if item.Removed && known.Removed || out && !item.Removed && !known.Removed {
			continue // as before; the known revision tells more
		}
		if until, keep := b.keep(now, known, item); keep {
			b.kept[item.Key] = keptItem{item: known, published: item, until: until}
			continue
		}
		e := b.upstreams[item.Key]
		if e != nil && b.returned(now, e, item) {
			continue
		}
		published := e != nil && !e.Removed
		b.apply(now, item)
		if item.Removed && published {
			e.missing, e.GraceUntil = true, now-item.Age+renewalGrace
		}
	}
}

// restartTimes begins the times anew that still run since an earlier rollback. Nobody
// could write to the publisher while it was away, and an item that is as before is no change.
func (b *Builder) restartTimes(now clock.Millis) {
	for key, k := range b.kept {
		if k.until == 0 {
			continue
		}
		k.until = now + domainStaleTime
		if b.upstreams[key] != nil {
			k.until = now + b.staleTime
		}
		b.kept[key] = k
	}
	for _, e := range b.upstreams {
		if e.missing && now < e.GraceUntil {
			e.GraceUntil = now + renewalGrace
		}
	}
}

// keep reports whether a known item stays in force in place of a published one of a
// newer era, and until when, 0 if without limit.
func (b *Builder) keep(now clock.Millis, known, item replica.Item) (until clock.Millis, keep bool) {
	change, err := b.decode(item)
	if err != nil || known.Key == "" {
		return 0, false
	}
	switch {
	case change.Upstream != nil && !item.Removed:
		return b.keepUpstream(now, item, change.Upstream)
	case change.Config != nil:
		return 0, b.config != nil && (item.Removed || change.Config.Version < b.config.Version)
	case change.DomainOut != "" && item.Removed:
		return now - item.Age + domainStaleTime, !known.Removed
	case change.DomainOut != "":
		return now + domainStaleTime, known.Removed && item.Revision.Number() <= known.Revision.Number()
	}
	return 0, false
}

// keepUpstream does so for the entry of an upstream, if that was removed after the entry
// was written.
func (b *Builder) keepUpstream(now clock.Millis, item replica.Item, u *Upstream) (until clock.Millis, keep bool) {
	e := b.upstreams[item.Key]
	if e == nil || !e.Removed || e.missing || !stale(u, &e.Upstream) {
		return 0, false
	}
	e.Created = item.Created
	return now + b.staleTime, true
}

// returned reports whether item is an entry of an upstream that is older than the one in
// force. The upstream is published again, if it was missing, and otherwise unchanged.
func (b *Builder) returned(now clock.Millis, e *Entry, item replica.Item) bool {
	if item.Removed {
		return false
	}
	change, err := b.decode(item)
	if err != nil || change.Upstream == nil || !stale(change.Upstream, &e.Upstream) {
		return false
	}
	e.Removed, e.missing, e.GraceUntil, e.Created = false, false, 0, item.Created
	known := b.known[item.Key].item // with the later value, which a tombstone has, too
	known.Removed, known.Revision, known.Created = false, item.Revision, item.Created
	b.known[item.Key] = knownItem{item: known}
	if e.Draining && !change.Upstream.Draining {
		b.kept[item.Key] = keptItem{item: known, published: item, until: b.drainingUntil(now, change.Upstream, &e.Upstream)}
	}
	return true
}

// drainingUntil returns how long an upstream stays draining although an older entry says
// that it is ready: without limit, unless the clock of the upstream may have gone back.
func (b *Builder) drainingUntil(now clock.Millis, published, known *Upstream) clock.Millis {
	if published.StartedAt == known.StartedAt {
		return 0
	}
	return now + b.staleTime
}

// ApplyKept applies items that another VM keeps in force, or that it knows from before
// the publisher came back. It reports whether any takes effect.
func (b *Builder) ApplyKept(now clock.Millis, list []Kept) (changed bool) {
	for i := range list {
		if old, ok := b.kept[list[i].Item.Key]; ok && old.item.Revision >= list[i].Item.Revision {
			continue
		}
		known := b.known[list[i].Item.Key]
		later := known.item.Revision > list[i].Item.Revision
		settled := later && (known.settled || known.item.Revision.Era() == list[i].Item.Revision.Era())
		change, err := b.decode(list[i].Item)
		if err != nil {
			continue
		}
		switch {
		case change.Config != nil:
			changed = b.applyKeptConfig(list[i], change.Config) || changed
		case settled && (list[i].Item.Removed || change.Upstream == nil):
		case change.Upstream != nil:
			changed = b.applyKeptUpstream(now, list[i], change.Upstream) || changed
		case change.DomainOut != "":
			changed = b.applyKeptDomain(now, list[i], change) || changed
		}
	}
	return changed
}

func (b *Builder) applyKeptConfig(k Kept, c *Config) bool {
	if b.config != nil && c.Version <= b.config.Version {
		return false
	}
	b.keepFor(k, 0)
	b.config = c
	return true
}

func (b *Builder) applyKeptUpstream(now clock.Millis, k Kept, u *Upstream) bool {
	e := b.upstreams[k.Item.Key]
	if e == nil || e.Removed || !stale(&e.Upstream, u) {
		return false
	}
	switch {
	case k.Item.Removed:
		b.keepFor(k, now+orDefault(k.Left, b.staleTime))
		e.Removed, e.RemovedAt = true, now
	case u.Draining && !e.Draining:
		b.keepFor(k, b.drainingUntil(now, &e.Upstream, u))
		e.Draining = true
	default:
		return false
	}
	e.StartedAt, e.Sequence = u.StartedAt, u.Sequence
	return true
}

func (b *Builder) applyKeptDomain(now clock.Millis, k Kept, change Change) bool {
	_, out := b.domainsOut[k.Item.Key]
	published := b.known[k.Item.Key].item
	if out != k.Item.Removed || out && published.Revision.Number() > k.Item.Revision.Number() {
		return false
	}
	b.keepFor(k, now+orDefault(k.Left, domainStaleTime))
	if out {
		delete(b.domainsOut, k.Item.Key)
	} else {
		b.domainsOut[k.Item.Key] = change.DomainOut
	}
	return true
}

// keepFor keeps an item of another VM in force in place of the one known here.
func (b *Builder) keepFor(k Kept, until clock.Millis) {
	published := b.known[k.Item.Key].item
	old, again := b.kept[k.Item.Key]
	switch {
	case again:
		published = old.published
	case published.Key == "":
		published = replica.Item{Key: k.Item.Key, Removed: true}
	}
	b.kept[k.Item.Key] = keptItem{item: k.Item, published: published, until: until}
	b.known[k.Item.Key] = knownItem{item: k.Item}
}

func orDefault(left, standard clock.Millis) clock.Millis {
	if left > 0 {
		return min(left, standard)
	}
	return standard
}
