package daemon

import (
	"context"
	"log/slog"
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/vm"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/tally"
)

// setVMList applies a new list of VMs from the platform. The caller holds mu.
func (c *Controller) setVMList(now clock.Millis, vms []membership.VM) {
	c.vmList = vms
	c.members.SetListedVMs(now, vms)
	c.engine.SetGateways(now, gatewayUpstreams(vms))
	for _, f := range c.OnVMList {
		f(now, vms)
	}
	// The platform drains this VM: it stops being the home of flows. A VM that is
	// already stopping has announced its departure in leave.
	for _, listed := range vms {
		if listed.ID == c.set.VM && listed.Leaving && !c.leaving {
			c.members.SetHome(false)
		}
	}
}

// gatewayUpstreams returns the listed VMs that have a gateway tunnel as upstreams
// for the flows of services of kind request.
func gatewayUpstreams(vms []membership.VM) (list []config.Upstream) {
	for _, listed := range vms {
		if !listed.GatewayTunnel.IsValid() {
			continue
		}
		u := config.Upstream{Name: config.UpstreamName(listed.ID), Domain: listed.Domain, Address: listed.GatewayTunnel.String(), State: config.UpstreamActive}
		if listed.Leaving {
			u.State = config.UpstreamDrain
		}
		list = append(list, u)
	}
	return list
}

// membersChangeDue reports whether membership changes are due to be applied.
// Changes within GatherMillis are applied together, since each one moves homes.
// The caller holds mu.
func (c *Controller) membersChangeDue(now clock.Millis) bool {
	if c.members.Changed() && c.membersChangedAt == 0 {
		c.membersChangedAt = now
	}
	return c.membersChangedAt != 0 && now-c.membersChangedAt >= c.set.Timers.GatherMillis
}

// applyMembers passes the current membership to the socket, the engine, the
// flow counts and the OnMembers hooks. The caller holds mu.
func (c *Controller) applyMembers(ctx context.Context, now clock.Millis) {
	c.membersChangedAt = 0
	peers := c.members.Snapshot()
	before := *c.peers.Load()
	c.peers.Store(&peers)
	dir := make(vm.Directory)
	var m steering.Membership
	var active []tally.Peer
	known := make(map[config.VMID]bool)
	for _, p := range peers {
		dir[p.ID] = p.VM
		if p.State == membership.Dead || p.State == membership.Unknown {
			continue
		}
		known[p.ID] = true
		m.Live = append(m.Live, p.ID)
		m.PlacerCandidates = append(m.PlacerCandidates, p.ID)
		if !p.Reachable {
			m.Unreachable = append(m.Unreachable, p.ID)
		}
		if p.Home {
			m.Homes = append(m.Homes, homes.VM{ID: p.ID, Domain: p.Domain})
		}
		if p.Reachable && p.State != membership.Leaving {
			active = append(active, tally.Peer{ID: p.ID, Domain: p.Domain})
		}
	}
	for _, listed := range c.vmList {
		if !known[listed.ID] {
			m.PlacerCandidates = append(m.PlacerCandidates, listed.ID)
		}
	}
	c.socket.SetDirectory(dir)
	c.engine.SetMembers(now, m)
	c.flowCounts.SetPeers(active)
	for _, f := range c.OnMembers {
		f(now, peers)
	}
	c.logMembers(ctx, before, peers)
}

func (c *Controller) logMembers(ctx context.Context, before, after []membership.Peer) {
	was := make(map[config.VMID]membership.State, len(before))
	for _, p := range before {
		was[p.ID] = p.State
	}
	for _, p := range after {
		if was[p.ID] != p.State {
			event.Log(ctx, c.log, event.VMChanged, slog.String("vm", string(p.ID)),
				slog.String("from", was[p.ID].String()), slog.String("to", p.State.String()))
		}
	}
}

// rpcAddress returns the address at which a VM serves RPCs, and whether the VM
// is in the directory.
func (c *Controller) rpcAddress(id config.VMID) (netip.AddrPort, bool) {
	member, ok := c.socket.Directory()[id]
	return member.RPC, ok
}
