package gossip

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/vmload"
)

// SetOverload sets the load state of this VM, which its messages report.
func (g *Group) SetOverload(s vmload.State) { g.overload = s }

// OverloadPeers summarizes the load states of the living VMs of the local failure domain,
// ordered by identifier. In a large failure domain it covers those heard lately. Stranded
// VMs are left out: they report not ready already, so they cannot take over the load.
func (g *Group) OverloadPeers(now clock.Millis) vmload.Peers {
	peers := vmload.Peers{Living: 1}
	for _, m := range g.aliveNear(now) {
		if !m.stranded {
			peers.Add(m.overload, m.peer.ID < g.self.ID)
		}
	}
	return peers
}
