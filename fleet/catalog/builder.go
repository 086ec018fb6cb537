package catalog

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// Builder holds the content of the published items and builds catalogs from it.
// It is not safe for concurrent use.
type Builder struct {
	decode Decode
	// reject is called with each malformed item.
	reject func(item replica.Item, err error)
	// returnColdMillis is how long the upstreams of a failure domain that returns to
	// service count as cold while the copy is kept up to date: two heartbeats.
	returnColdMillis clock.Millis

	upstreams map[replica.Key]*Entry
	// duplicates are the upstreams that the last catalog lacks, since their EncapID
	// belongs to another one.
	duplicates map[replica.Key]bool
	domainsOut map[replica.Key]ident.DomainName
	restored   map[ident.DomainName]*restoration
	// assumed applies to all failure domains, nil if this VM knows which ones returned.
	assumed *restoration
	config  *Config

	// staleTime is how long an entry that may be stale stays without effect.
	staleTime clock.Millis
	// known holds the items in force, and kept those of them that replace what is
	// published.
	known map[replica.Key]knownItem
	kept  map[replica.Key]keptItem
}

// NewBuilder returns a builder without items. Items that decode cannot read are
// passed to reject and ignored. The upstreams of a failure domain that returns
// to service count as cold for returnColdMillis.
func NewBuilder(decode Decode, reject func(item replica.Item, err error), returnColdMillis clock.Millis) *Builder {
	return &Builder{
		decode:           decode,
		reject:           reject,
		returnColdMillis: returnColdMillis,
		upstreams:        make(map[replica.Key]*Entry),
		domainsOut:       make(map[replica.Key]ident.DomainName),
		restored:         make(map[ident.DomainName]*restoration),
		staleTime:        defaultStaleTime,
		known:            make(map[replica.Key]knownItem),
		kept:             make(map[replica.Key]keptItem),
	}
}

// renewalGrace is the time that upstreams have to renew registrations that
// expired while the publisher was away.
const renewalGrace = 2 * clock.Second

// Apply applies changed items in the order of their revisions. If
// publisherWasAway is set, an upstream that is removed now may only have been
// unable to renew its registration, so it accepts new flows for renewalGrace,
// unless it was draining. One that was never published here does not.
func (b *Builder) Apply(now clock.Millis, items []replica.Item, publisherWasAway bool) {
	first := len(b.known) == 0
	for i := range items {
		e := b.upstreams[items[i].Key]
		_, known := b.known[items[i].Key]
		published := e != nil && !e.Removed
		if !b.endKept(items[i]) {
			continue
		}
		b.apply(now, items[i])
		if known || !first && !items[i].Removed {
			b.settle(items[i].Key)
		}
		if publisherWasAway && items[i].Removed && published {
			e.GraceUntil = now + renewalGrace
		}
	}
}

func (b *Builder) apply(now clock.Millis, item replica.Item) {
	if old := b.known[item.Key].item; item.Removed && old.Key != "" {
		item.Value = old.Value // that of the publisher may be stale
	}
	b.known[item.Key] = knownItem{item: item, at: now - item.Age}
	if item.Removed {
		b.remove(now, item)
		return
	}
	change, err := b.decode(item)
	if err != nil {
		b.reject(item, err)
		b.invalidate(now, item)
		return
	}
	switch {
	case change.Upstream != nil:
		b.setUpstream(now, item, *change.Upstream)
	case change.Config != nil:
		if b.config == nil || change.Config.Version >= b.config.Version {
			b.config = change.Config
		}
	case change.DomainOut != "":
		b.domainsOut[item.Key] = change.DomainOut
	}
}

// invalidate marks an upstream as removed after its item became malformed.
func (b *Builder) invalidate(now clock.Millis, item replica.Item) {
	if e := b.upstreams[item.Key]; e != nil && !e.Removed {
		e.Removed, e.RemovedAt = true, now
	}
}

func (b *Builder) setUpstream(now clock.Millis, item replica.Item, u Upstream) {
	e := &Entry{Upstream: u, Created: item.Created}
	old := b.upstreams[item.Key]
	switch {
	case old != nil && !old.Removed && old.Upstream == u:
		e.ColdUntil = old.ColdUntil
	case u.RemainingColdMillis > 0:
		e.ColdUntil = now + u.RemainingColdMillis
	}
	b.upstreams[item.Key] = e
}

func (b *Builder) remove(now clock.Millis, item replica.Item) {
	if domain, ok := b.domainsOut[item.Key]; ok {
		delete(b.domainsOut, item.Key)
		b.restore(domain, now-item.Age)
		return
	}
	e := b.upstreams[item.Key]
	if e == nil {
		b.addRemoved(now, item)
		return
	}
	if !e.Removed {
		e.Removed, e.RemovedAt = true, now-item.Age
	}
}

// addRemoved applies the tombstone of an item that this VM never had. Open flows may
// still use a removed upstream, and a failure domain may have returned to service a
// moment ago, which its key alone tells. It ignores a tombstone that cannot be decoded, since
// the last value is not known.
func (b *Builder) addRemoved(now clock.Millis, item replica.Item) {
	change, err := b.decode(item)
	switch {
	case err != nil:
	case change.Upstream != nil:
		b.upstreams[item.Key] = &Entry{Upstream: *change.Upstream, Created: item.Created, Removed: true, RemovedAt: now - item.Age}
	case change.DomainOut != "":
		b.restore(change.DomainOut, now-item.Age)
	}
}

// Forget drops upstreams that were removed more than removedTTL ago. The
// replica drops their tombstones after the same time.
func (b *Builder) Forget(now clock.Millis) {
	for key, e := range b.upstreams {
		if e.Removed && now-e.RemovedAt > removedTTL {
			delete(b.upstreams, key)
		}
	}
	for key, k := range b.known {
		if _, kept := b.kept[key]; !kept && k.item.Removed && now-k.at > removedTTL {
			delete(b.known, key)
		}
	}
}

// removedTTL is how long open flows to a removed upstream are forwarded.
const removedTTL = 120 * clock.Second

// Build returns the catalog at the given revision, or nil if there is no
// configuration yet.
func (b *Builder) Build(at replica.Revision) *Catalog {
	if b.config == nil {
		return nil
	}
	c := &Catalog{
		Config:   *b.config,
		Revision: at,
		routes:   make(map[netip.AddrPort]*Route, len(b.config.Routes)),
		services: make(map[ident.ServiceName]*Service, len(b.config.Services)),
		tokens:   make(map[Token]*Entry, tokensPerUpstream*len(b.upstreams)),
		serving:  make(map[ident.ServiceName][]*Entry, len(b.config.Services)),
	}
	for i := range c.Config.Routes {
		c.routes[c.Config.Routes[i].Address] = &c.Config.Routes[i]
	}
	for i := range c.Config.Services {
		c.services[c.Config.Services[i].Name] = &c.Config.Services[i]
	}
	b.addDomains(c)
	b.addUpstreams(c)
	return c
}

func (b *Builder) addDomains(c *Catalog) {
	for _, domain := range b.domainsOut {
		c.domainsOut = append(c.domainsOut, domain)
	}
	slices.Sort(c.domainsOut)
	c.domainsOut = slices.Compact(c.domainsOut)
}

func (b *Builder) addUpstreams(c *Catalog) {
	published := make([]keyedEntry, 0, len(b.upstreams))
	for key, e := range b.upstreams {
		added := *e
		added.DomainOut = slices.Contains(c.domainsOut, e.Domain)
		slowStart := clock.Millis(0)
		if s := c.services[e.Service]; s != nil {
			slowStart = s.SlowStartMillis
		}
		added.ColdUntil = max(added.ColdUntil, b.restoredColdUntil(e.Domain, slowStart))
		published = append(published, keyedEntry{Entry: &added, key: key})
	}
	entries := b.dropDuplicates(published)
	c.assignTokens(entries)
	slices.SortFunc(entries, func(x, y *Entry) int { return strings.Compare(string(x.ID), string(y.ID)) })
	for _, e := range entries {
		c.serving[e.Service] = append(c.serving[e.Service], e)
	}
}
