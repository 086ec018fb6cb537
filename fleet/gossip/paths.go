package gossip

import (
	"maps"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	// partitionTimeout is the silence of another failure domain after which the path
	// between it and the local one counts as down.
	partitionTimeout clock.Millis = 1200
	// isolationTimeout is the silence of all other failure domains after which the
	// local one counts as isolated. It exceeds two gossip rounds.
	isolationTimeout clock.Millis = 600
	// relayAgePenalty is added to an age each time it is relayed, so that old
	// information cannot appear recent by circulating among VMs.
	relayAgePenalty clock.Millis = 5
)

// DomainContact reports the time since the sender's failure domain last heard
// another one.
type DomainContact struct {
	_      struct{} `cbor:",toarray"`
	Domain ident.DomainName
	Age    clock.Millis
}

// mergeDomainContacts updates the last contact with other failure domains from a
// message. In a large fleet a VM seldom hears each failure domain directly, so the
// contacts of other VMs of the local failure domain count as its own.
func (g *Group) mergeDomainContacts(now clock.Millis, msg *Message) {
	if msg.From.Domain != g.self.Domain {
		g.domainHeard[msg.From.Domain] = now
		return
	}
	for _, d := range msg.DomainContacts {
		if d.Domain != g.self.Domain {
			g.domainHeard[d.Domain] = max(g.domainHeard[d.Domain], now-max(0, d.Age)-relayAgePenalty)
		}
	}
}

// domainContacts returns the recent contacts with other failure domains, which
// messages within the local failure domain carry.
func (g *Group) domainContacts(now clock.Millis) []DomainContact {
	list := make([]DomainContact, 0, len(g.domainHeard))
	for _, domain := range slices.Sorted(maps.Keys(g.domainHeard)) {
		if age := now - g.domainHeard[domain]; age < partitionTimeout {
			list = append(list, DomainContact{Domain: domain, Age: age})
		}
	}
	return list
}

// silence returns the time since any VM of the local failure domain heard domain.
func (g *Group) silence(now clock.Millis, domain ident.DomainName) clock.Millis {
	return now - max(g.started, g.domainHeard[domain])
}

// Partitioned reports whether the path between the local failure domain and domain
// counts as down.
func (g *Group) Partitioned(now clock.Millis, domain ident.DomainName) bool {
	return g.silence(now, domain) >= partitionTimeout
}

// Isolated reports whether the local failure domain has heard none of others
// lately. It is false if others is empty.
func (g *Group) Isolated(now clock.Millis, others []ident.DomainName) bool {
	for _, domain := range others {
		if g.silence(now, domain) < isolationTimeout {
			return false
		}
	}
	return len(others) > 0
}
