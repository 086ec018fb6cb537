package catalog

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// Entry is an upstream with what a Catalog says of it.
type Entry struct {
	Upstream
	// Token is what new flows are marked with. It is 0 if all tokens of the
	// upstream belong to older ones, so that no new flow may go there.
	Token Token
	// Created is the revision at which the upstream was first published.
	Created replica.Revision
	// Removed is set if the upstream is no longer published. Open flows may
	// still lead there.
	Removed bool
	// RemovedAt is when this VM learned of the removal.
	RemovedAt clock.Millis
	// GraceUntil is how long the removal may only mean that the upstream
	// could not renew what it published, so that it goes on getting flows.
	GraceUntil clock.Millis
	// ColdUntil is when the upstream has warmed up, seen from this VM.
	ColdUntil clock.Millis
	// DomainOut is set while the upstream's failure domain is out of service.
	DomainOut bool
}

// AcceptsNewFlows reports whether new flows may go to the upstream at now, cold or
// not.
func (e *Entry) AcceptsNewFlows(now clock.Millis) bool {
	return (!e.Removed || now < e.GraceUntil) && !e.Draining && !e.DomainOut && e.Token != 0
}

// Catalog is everything published at one time. It is immutable.
type Catalog struct {
	Config   Config
	Revision replica.Revision

	routes   map[netip.AddrPort]*Route
	services map[ident.ServiceName]*Service
	tokens   map[Token]*Entry
	serving  map[ident.ServiceName][]*Entry
	domains  []ident.DomainName
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

// ByToken returns the upstream that a token names.
func (c *Catalog) ByToken(t Token) (*Entry, bool) {
	e, ok := c.tokens[t]
	return e, ok
}

// Serving returns the upstreams of a service that are or lately were
// published, in the order of their identifiers. The caller must not change it.
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

// DomainsOut returns the failure domains out of service.
func (c *Catalog) DomainsOut() []ident.DomainName { return c.domains }

// assignTokens gives each token to the oldest upstream that goes by it, so
// that all VMs with the same entries agree, and marks each upstream with the
// first token it owns.
func (c *Catalog) assignTokens(entries []*Entry) {
	slices.SortFunc(entries, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.ID, b.ID))
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

// EachToken calls f for every token with the upstream that it names.
func (c *Catalog) EachToken(f func(t Token, e *Entry)) {
	for t, e := range c.tokens {
		f(t, e)
	}
}
