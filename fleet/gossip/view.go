package gossip

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// VMs returns the VMs that are or lately were members, self included.
func (g *Group) VMs() []ident.VMID {
	ids := make([]ident.VMID, 0, len(g.order)+1)
	for _, m := range g.order {
		ids = append(ids, m.peer.ID)
	}
	at, _ := slices.BinarySearch(ids, g.self.ID)
	return slices.Insert(ids, at, g.self.ID)
}

// Alive returns the VMs that spoke to this one lately.
func (g *Group) Alive(now clock.Millis) (peers []Peer) {
	for _, m := range g.order {
		if m.alive(now) {
			peers = append(peers, m.peer)
		}
	}
	return peers
}

// PeerAhead returns a living VM that holds a higher revision than complete, one
// of the own failure domain if there is any.
func (g *Group) PeerAhead(now clock.Millis, complete replica.Revision) (p Peer, ok bool) {
	var near, far []Peer
	for _, m := range g.order {
		switch {
		case m.copy.Complete <= complete || !m.alive(now):
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

// ConfirmedAt returns when a copy that is complete up to the given revision was
// last confirmed to be so, as far as other VMs tell.
func (g *Group) ConfirmedAt(complete replica.Revision) (at clock.Millis) {
	for _, m := range g.members {
		if m.heard != 0 && m.copy.Complete != 0 && m.copy.Complete <= complete {
			at = max(at, m.copy.ConfirmedAt)
		}
	}
	return at
}

// SharesLoads reports whether the VMs are few enough to tell each other their
// loads.
func (g *Group) SharesLoads(now clock.Millis) bool {
	alive := 1
	for _, m := range g.order {
		if m.alive(now) {
			alive++
		}
	}
	return alive <= loadsUpTo
}

// RemoteLoads returns the load that the other VMs reported lately.
func (g *Group) RemoteLoads(now clock.Millis) map[catalog.Token]Load {
	sums := make(map[catalog.Token]Load)
	for _, m := range g.members {
		if m.heard == 0 || now-m.heard > loadLife {
			continue
		}
		for _, l := range m.loads {
			s := sums[l.Token]
			s.Steady += l.Steady
			s.InFlight += l.InFlight
			sums[l.Token] = s
		}
	}
	return sums
}

// DomainPeersStranded reports whether all living VMs of the own failure domain, of
// which there is one at least, say that they are stranded.
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
