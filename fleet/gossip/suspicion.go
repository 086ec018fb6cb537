package gossip

import (
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// Suspicion is evidence from the sender's failure domain about an upstream that may
// have stopped answering.
type Suspicion struct {
	_     struct{} `cbor:",toarray"`
	Token catalog.Token
	// Answered is set if the upstream is known to have answered data that was sent
	// AnsweredAge ago.
	Answered    bool
	AnsweredAge clock.Millis
	Stalls      []Stall
	// Broadcast is set if all VMs of the failure domain need this suspicion. Other
	// suspicions go only to the upstream's aggregators.
	Broadcast bool
}

// Stall is a flow without an answer to a packet that it sent Age ago. Flow identifies
// the flow and tells whether it is open, in a tag of 32 bits.
type Stall struct {
	_    struct{} `cbor:",toarray"`
	Flow FlowTag
	Age  clock.Millis
}

// FlowTag is a hash of 31 bits that identifies a flow, followed by a bit that is set if
// the flow is open.
type FlowTag uint32

// MakeFlowTag returns the tag of a flow with the given hash of 31 bits.
func MakeFlowTag(hash uint32, open bool) FlowTag {
	t := FlowTag(hash) << 1
	if open {
		t |= 1
	}
	return t
}

// Hash returns the hash of the flow.
func (t FlowTag) Hash() uint32 { return uint32(t >> 1) }

// Open reports whether the flow is open.
func (t FlowTag) Open() bool { return t&1 != 0 }

// Aggregators picks the VMs among near that collect the failure evidence about an
// upstream on behalf of all of them.
type Aggregators func(upstream catalog.Token, near []ident.VMID) []ident.VMID

// DisseminateSuspicions returns messages that carry the suspicions in list to VMs of
// the local failure domain. Broadcast suspicions go to a few random VMs, which
// forward those that are new to them. The others go to the upstream's aggregators.
func (g *Group) DisseminateSuspicions(now clock.Millis, state ReplicaState, list []Suspicion, aggregators Aggregators) (out []Envelope) {
	near := g.aliveNear(now)
	ids := g.AliveInDomain(now)
	byVM := make(map[ident.VMID][]Suspicion)
	var broadcast []Suspicion
	for i := range list {
		if list[i].Broadcast {
			broadcast = append(broadcast, list[i])
			continue
		}
		for _, id := range aggregators(list[i].Token, ids) {
			byVM[id] = append(byVM[id], list[i])
		}
	}
	var broadcastTo []netip.AddrPort
	if len(broadcast) > 0 {
		broadcastTo = g.pick(g.aliveByDomain(now)[g.self.Domain], localFanout)
	}
	for _, m := range near {
		toSend := byVM[m.peer.ID]
		if slices.Contains(broadcastTo, m.peer.Address) {
			toSend = slices.Concat(toSend, broadcast)
		}
		if len(toSend) > 0 {
			msg := g.message(now, state)
			msg.Suspicions = toSend
			out = append(out, Envelope{To: m.peer.Address, Message: msg})
		}
	}
	return out
}

// aliveNear returns the other living VMs of the local failure domain.
func (g *Group) aliveNear(now clock.Millis) (list []*member) {
	for _, m := range g.order {
		if m.peer.Domain == g.self.Domain && m.alive(now) {
			list = append(list, m)
		}
	}
	return list
}

// AliveInDomain returns the living VMs of the local failure domain, including this
// one, which comes last.
func (g *Group) AliveInDomain(now clock.Millis) (ids []ident.VMID) {
	for _, m := range g.aliveNear(now) {
		ids = append(ids, m.peer.ID)
	}
	return append(ids, g.self.ID)
}
