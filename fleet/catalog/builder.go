package catalog

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// Builder keeps what each item says and builds catalogs from it. It is not
// safe for concurrent use.
type Builder struct {
	decode Decode
	// reject takes note of an item that cannot be read.
	reject func(item replica.Item, err error)
	// returnColdMillis is how long the upstreams of a failure domain that
	// comes back count as cold, until they publish what they are.
	returnColdMillis clock.Millis

	upstreams map[replica.Key]*Entry
	outs      map[replica.Key]ident.DomainName
	returned  map[ident.DomainName]clock.Millis
	config    *Config
}

// NewBuilder returns a builder without items. Items that decode cannot read
// are handed to reject and left out. The upstreams of a failure domain that
// comes back into service count as cold for returnColdMillis.
func NewBuilder(decode Decode, reject func(item replica.Item, err error), returnColdMillis clock.Millis) *Builder {
	return &Builder{
		decode:           decode,
		reject:           reject,
		returnColdMillis: returnColdMillis,
		upstreams:        make(map[replica.Key]*Entry),
		outs:             make(map[replica.Key]ident.DomainName),
		returned:         make(map[ident.DomainName]clock.Millis),
	}
}

// lapseMillis is the time within which upstreams renew what lapsed while the
// publisher was away.
const lapseMillis = 2 * clock.Second

// Apply takes changed items in the order of their revisions. If the publisher
// was away, upstreams that ceased to be published may only have failed to renew
// that: those that were not draining go on getting flows for lapseMillis.
func (b *Builder) Apply(now clock.Millis, items []replica.Item, wasAway bool) {
	for i := range items {
		b.take(now, items[i])
		if e := b.upstreams[items[i].Key]; wasAway && items[i].Removed && e != nil && e.RemovedAt == now {
			e.GraceUntil = now + lapseMillis
		}
	}
}

func (b *Builder) take(now clock.Millis, item replica.Item) {
	if item.Removed {
		b.remove(now, item)
		return
	}
	change, err := b.decode(item)
	if err != nil {
		b.reject(item, err)
		b.leaveOut(now, item)
		return
	}
	switch {
	case change.Upstream != nil:
		b.takeUpstream(now, item, *change.Upstream)
	case change.Config != nil:
		if b.config == nil || change.Config.Version >= b.config.Version {
			b.config = change.Config
		}
	case change.DomainOut != "":
		b.outs[item.Key] = change.DomainOut
	}
}

// leaveOut stops new flows to an upstream whose item became unreadable.
func (b *Builder) leaveOut(now clock.Millis, item replica.Item) {
	if e := b.upstreams[item.Key]; e != nil && !e.Removed {
		e.Removed, e.RemovedAt = true, now
	}
}

func (b *Builder) takeUpstream(now clock.Millis, item replica.Item, u Upstream) {
	e := &Entry{Upstream: u, Created: item.Created}
	if u.ColdMillis > 0 {
		e.ColdUntil = now + u.ColdMillis
	}
	b.upstreams[item.Key] = e
}

func (b *Builder) remove(now clock.Millis, item replica.Item) {
	if domain, ok := b.outs[item.Key]; ok {
		delete(b.outs, item.Key)
		b.returned[domain] = now
		return
	}
	e := b.upstreams[item.Key]
	if e == nil && len(item.Value) > 0 {
		b.learnRemoved(now, item)
		return
	}
	if e != nil && !e.Removed {
		e.Removed, e.RemovedAt = true, now
	}
}

// learnRemoved takes an upstream that was removed before this VM heard of it:
// open flows may still lead there.
func (b *Builder) learnRemoved(now clock.Millis, item replica.Item) {
	change, err := b.decode(item)
	if err != nil || change.Upstream == nil {
		return
	}
	b.upstreams[item.Key] = &Entry{Upstream: *change.Upstream, Created: item.Created, Removed: true, RemovedAt: now}
}

// Forget drops removed upstreams that the replica no longer remembers.
func (b *Builder) Forget(now clock.Millis) {
	for key, e := range b.upstreams {
		if e.Removed && now-e.RemovedAt > forgetRemoved {
			delete(b.upstreams, key)
		}
	}
}

// forgetRemoved is how long open flows to a removed upstream are forwarded.
const forgetRemoved = 120 * clock.Second

// Build returns the catalog at the given revision, or nil while there is no
// configuration.
func (b *Builder) Build(at replica.Revision) *Catalog {
	if b.config == nil {
		return nil
	}
	c := &Catalog{
		Config:   *b.config,
		Revision: at,
		routes:   make(map[netip.AddrPort]*Route, len(b.config.Routes)),
		services: make(map[ident.ServiceName]*Service, len(b.config.Services)),
		tokens:   make(map[Token]*Entry, tokensEach*len(b.upstreams)),
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
	for _, domain := range b.outs {
		c.domains = append(c.domains, domain)
	}
	slices.Sort(c.domains)
	c.domains = slices.Compact(c.domains)
}

func (b *Builder) addUpstreams(c *Catalog) {
	entries := make([]*Entry, 0, len(b.upstreams))
	for _, e := range b.upstreams {
		added := *e
		added.DomainOut = slices.Contains(c.domains, e.Domain)
		if at, ok := b.returned[e.Domain]; ok {
			added.ColdUntil = max(added.ColdUntil, at+b.returnColdMillis)
		}
		entries = append(entries, &added)
	}
	c.assignTokens(entries)
	slices.SortFunc(entries, func(x, y *Entry) int { return strings.Compare(string(x.ID), string(y.ID)) })
	for _, e := range entries {
		c.serving[e.Service] = append(c.serving[e.Service], e)
	}
}
