package catalog

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// Entry is an upstream with its state in a Catalog.
type Entry struct {
	Upstream
	// Token is written into the packets of new flows. It is 0 if all candidate
	// tokens of the upstream belong to older ones, in which case it gets no new
	// flows.
	Token Token
	// Created is the revision at which the upstream was first published.
	Created replica.Revision
	// Removed is set if the upstream is no longer published. Open flows to it
	// are still forwarded.
	Removed bool
	// RemovedAt is when this VM learned of the removal.
	RemovedAt clock.Millis
	// GraceUntil is the time up to which a removed upstream still gets new
	// flows, since it may only have been unable to renew its registration.
	GraceUntil clock.Millis
	// ColdUntil is the end of the slow start of the upstream, by the clock of
	// this VM.
	ColdUntil clock.Millis
	// DomainOut is set while the failure domain of the upstream is out of
	// service.
	DomainOut bool
	// missing is set if the upstream was removed because the publisher came back from
	// an older copy without it. It then need not have left.
	missing bool
}

// AcceptsNewFlows reports whether new flows may go to the upstream at now,
// whether or not it is cold.
func (e *Entry) AcceptsNewFlows(now clock.Millis) bool {
	return (!e.Removed || now < e.GraceUntil) && !e.Draining && !e.DomainOut && e.Token != 0
}

// Catalog is the published state at one revision. It is immutable.
type Catalog struct {
	Config   Config
	Revision replica.Revision

	routes     map[netip.AddrPort]*Route
	services   map[ident.ServiceName]*Service
	tokens     map[Token]*Entry
	serving    map[ident.ServiceName][]*Entry
	domainsOut []ident.DomainName
}

// Route returns the route of an address.
func (c *Catalog) Route(address netip.AddrPort) (*Route, bool) {
	r, ok := c.routes[address]
	return r, ok
}

// Service returns the named service.
func (c *Catalog) Service(name ident.ServiceName) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// ByToken returns the upstream that a token refers to.
func (c *Catalog) ByToken(t Token) (*Entry, bool) {
	e, ok := c.tokens[t]
	return e, ok
}

// Serving returns the upstreams of a service that are published or were removed
// recently, ordered by identifier. The caller must not modify the result.
func (c *Catalog) Serving(name ident.ServiceName) []*Entry { return c.serving[name] }

// UpstreamCount returns the number of published upstreams.
func (c *Catalog) UpstreamCount() (n int) {
	for _, list := range c.serving {
		for _, e := range list {
			if !e.Removed {
				n++
			}
		}
	}
	return n
}

// DomainsOut returns the failure domains that are out of service.
func (c *Catalog) DomainsOut() []ident.DomainName { return c.domainsOut }

// assignTokens assigns each token to the upstream that has it as a candidate and
// started first, so that all VMs with the same entries agree, and sets the token
// of each upstream to the first candidate that it owns. The revision at which an
// upstream was first published decides only between equal start times, since it
// changes when an expired registration is renewed.
func (c *Catalog) assignTokens(entries []*Entry) {
	slices.SortFunc(entries, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Created, b.Created), cmp.Compare(a.ID, b.ID))
	})
	for _, e := range entries {
		for _, t := range tokensOf(e.ID) {
			if c.tokens[t] == nil {
				c.tokens[t] = e
			}
		}
	}
	for _, e := range entries {
		e.Token = c.firstOwned(e)
	}
}

func (c *Catalog) firstOwned(e *Entry) Token {
	for _, t := range tokensOf(e.ID) {
		if c.tokens[t] == e {
			return t
		}
	}
	return 0
}

// EachToken calls f for every token with the upstream that it refers to.
func (c *Catalog) EachToken(f func(t Token, e *Entry)) {
	for t, e := range c.tokens {
		f(t, e)
	}
}
