package gossip

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// VMs returns all members, alive or not, and this VM, sorted by identifier.
func (g *Group) VMs() []ident.VMID {
	ids := make([]ident.VMID, 0, len(g.order)+1)
	for _, m := range g.order {
		ids = append(ids, m.peer.ID)
	}
	at, _ := slices.BinarySearch(ids, g.self.ID)
	return slices.Insert(ids, at, g.self.ID)
}

// JoinedAt returns when this VM began to discover the others: when the first message
// from one of them arrived, or at its start if its seeds name no other VM. ok is false
// if it has not begun, as when all seeds are down. It may then be one of many VMs.
func (g *Group) JoinedAt() (at clock.Millis, ok bool) {
	if g.contactAt != 0 {
		return g.contactAt, true
	}
	for _, seed := range g.seeds {
		if seed != g.self.Address {
			return 0, false
		}
	}
	return g.started, true
}

// Alive returns the other VMs from which a message arrived within aliveTimeout and
// that are not leaving.
func (g *Group) Alive(now clock.Millis) (peers []Peer) {
	for _, m := range g.order {
		if m.alive(now) {
			peers = append(peers, m.peer)
		}
	}
	return peers
}

// PeerAhead returns a random living VM that holds a higher revision than complete,
// preferably one of the local failure domain. ok is false if there is none.
func (g *Group) PeerAhead(now clock.Millis, complete replica.Revision) (p Peer, ok bool) {
	var near, far []Peer
	for _, m := range g.order {
		switch {
		case m.replica.Complete <= complete || !m.alive(now):
		case m.peer.Domain == g.self.Domain:
			near = append(near, m.peer)
		default:
			far = append(far, m.peer)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return p, false
	}
	return near[g.rng.IntN(len(near))], true
}

// ConfirmedAt returns the latest time at which another VM's replica of at most the
// given revision was confirmed to be current. A replica of the given revision was
// current then, too. It is 0 if the other VMs report none.
func (g *Group) ConfirmedAt(complete replica.Revision) (at clock.Millis) {
	for _, m := range g.members {
		if m.lastHeard != 0 && m.replica.Complete != 0 && m.replica.Complete <= complete {
			at = max(at, m.replica.ConfirmedAt)
		}
	}
	return at
}

// SharesLoads reports whether the fleet is small enough for VMs to report their
// loads to each other.
func (g *Group) SharesLoads(now clock.Millis) bool {
	alive := 1
	for _, m := range g.order {
		if m.alive(now) {
			alive++
		}
	}
	return alive <= maxVMsSharingLoads
}

// RemoteLoads returns the load on each upstream, summed over the reports of other
// VMs that are not older than loadTimeout.
func (g *Group) RemoteLoads(now clock.Millis) map[catalog.Token]Load {
	sums := make(map[catalog.Token]Load)
	for _, m := range g.members {
		if m.lastHeard == 0 || now-m.lastHeard > loadTimeout {
			continue
		}
		for _, l := range m.loads {
			s := sums[l.Token]
			s.Expected += l.Expected
			s.InFlight += l.InFlight
			sums[l.Token] = s
		}
	}
	return sums
}

// DomainPeersStranded reports whether all other living VMs of the local failure
// domain report that they are stranded. It is false if there are none.
func (g *Group) DomainPeersStranded(now clock.Millis) bool {
	heard := false
	for _, m := range g.order {
		if m.peer.Domain != g.self.Domain || !m.alive(now) {
			continue
		}
		if !m.stranded {
			return false
		}
		heard = true
	}
	return heard
}
