package gossip

import (
	"maps"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	// cutAfter is the silence of another failure domain that means that there is
	// no path between it and the own one.
	cutAfter clock.Millis = 1200
	// isolatedAfter is such a silence of all other failure domains that means
	// that the own one is alone. It exceeds two rounds of messages.
	isolatedAfter clock.Millis = 600
	// hopAge is what an age grows by when it is passed on, so that old word does
	// not stay young by going around.
	hopAge clock.Millis = 5
)

// DomainContact tells how long ago the sender's failure domain heard another one.
type DomainContact struct {
	_      struct{} `cbor:",toarray"`
	Domain ident.DomainName
	Age    clock.Millis
}

// hearOfDomains takes what a message tells of the paths between failure domains.
// In a large fleet a VM seldom hears each domain itself, so what its neighbours
// heard counts as much.
func (g *Group) hearOfDomains(now clock.Millis, msg *Message) {
	if msg.From.Domain != g.self.Domain {
		g.heard[msg.From.Domain] = now
		return
	}
	for _, d := range msg.DomainContacts {
		if d.Domain != g.self.Domain {
			g.heard[d.Domain] = max(g.heard[d.Domain], now-max(0, d.Age)-hopAge)
		}
	}
}

// heardNow returns what this VM tells its neighbours of other failure domains.
func (g *Group) heardNow(now clock.Millis) []DomainContact {
	list := make([]DomainContact, 0, len(g.heard))
	for _, domain := range slices.Sorted(maps.Keys(g.heard)) {
		if age := now - g.heard[domain]; age < cutAfter {
			list = append(list, DomainContact{Domain: domain, Age: age})
		}
	}
	return list
}

// silence returns how long no VM of the own failure domain has heard another.
func (g *Group) silence(now clock.Millis, domain ident.DomainName) clock.Millis {
	return now - max(g.started, g.heard[domain])
}

// Partitioned reports whether there is no path between the own failure domain and
// another one.
func (g *Group) Partitioned(now clock.Millis, domain ident.DomainName) bool {
	return g.silence(now, domain) >= cutAfter
}

// Isolated reports whether none of the other failure domains is heard, of which
// there is one at least.
func (g *Group) Isolated(now clock.Millis, others []ident.DomainName) bool {
	for _, domain := range others {
		if g.silence(now, domain) < isolatedAfter {
			return false
		}
	}
	return len(others) > 0
}
