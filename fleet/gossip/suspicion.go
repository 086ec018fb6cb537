package gossip

import (
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// Suspicion is what VMs of the sender's failure domain saw of an upstream that may
// be silent.
type Suspicion struct {
	_     struct{} `cbor:",toarray"`
	Token catalog.Token
	// Answered tells that the upstream answered something that was sent ProvedAge
	// ago.
	Answered    bool
	AnsweredAge clock.Millis
	Stalls      []Stall
	// DomainWide tells that it concerns all VMs of the failure domain. Others go to the
	// upstream's judges.
	DomainWide bool
}

// Stall is a flow that waits in vain for an answer to what it sent Age ago.
type Stall struct {
	_    struct{} `cbor:",toarray"`
	Flow uint32
	Age  clock.Millis
}

// Aggregators picks the VMs among near that judge an upstream for all of them.
type Aggregators func(upstream catalog.Token, near []ident.VMID) []ident.VMID

// DisseminateSuspicions returns the messages that tell VMs of the own failure domain of
// suspicions. Those that concern all go to some VMs at random, which pass on what
// is news to them.
func (g *Group) DisseminateSuspicions(now clock.Millis, held ReplicaState, list []Suspicion, judges Aggregators) (out []Envelope) {
	near := g.near(now)
	ids := g.AliveInDomain(now)
	narrow := make(map[ident.VMID][]Suspicion)
	var wide []Suspicion
	for i := range list {
		if list[i].DomainWide {
			wide = append(wide, list[i])
			continue
		}
		for _, id := range judges(list[i].Token, ids) {
			narrow[id] = append(narrow[id], list[i])
		}
	}
	var all []netip.AddrPort
	if len(wide) > 0 {
		all = g.pick(g.living(now)[g.self.Domain], nearEach)
	}
	for _, m := range near {
		told := narrow[m.peer.ID]
		if slices.Contains(all, m.peer.Address) {
			told = slices.Concat(told, wide)
		}
		if len(told) > 0 {
			msg := g.message(now, held)
			msg.Suspicions = told
			out = append(out, Envelope{To: m.peer.Address, Message: msg})
		}
	}
	return out
}

// near returns the living VMs of the own failure domain.
func (g *Group) near(now clock.Millis) (list []*member) {
	for _, m := range g.order {
		if m.peer.Domain == g.self.Domain && m.alive(now) {
			list = append(list, m)
		}
	}
	return list
}

// AliveInDomain returns the living VMs of the own failure domain, self included.
func (g *Group) AliveInDomain(now clock.Millis) (ids []ident.VMID) {
	for _, m := range g.near(now) {
		ids = append(ids, m.peer.ID)
	}
	return append(ids, g.self.ID)
}
