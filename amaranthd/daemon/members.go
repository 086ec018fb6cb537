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

// setListed takes the platform's list.
func (c *Control) setListed(now clock.Millis, vms []membership.VM) {
	c.listed = vms
	c.list.SetListedVMs(now, vms)
	c.engine.SetGateways(now, gateways(vms))
	for _, f := range c.OnListed {
		f(now, vms)
	}
	for _, line := range vms {
		if line.ID == c.set.VM && line.Leaving && !c.leaving {
			c.list.SetHome(false)
		}
	}
}

// gateways lists the VMs that take flows of services of kind request.
func gateways(vms []membership.VM) (list []config.Upstream) {
	for _, line := range vms {
		if !line.GatewayTunnel.IsValid() {
			continue
		}
		u := config.Upstream{Name: config.UpstreamName(line.ID), Domain: line.Domain, Address: line.GatewayTunnel.String(), State: config.UpstreamActive}
		if line.Leaving {
			u.State = config.UpstreamDrain
		}
		list = append(list, u)
	}
	return list
}

// changeDue reports whether it is time to act on changes of the membership.
// Changes that follow each other closely are taken together, since each moves
// homes. The caller holds mu.
func (c *Control) changeDue(now clock.Millis) bool {
	if c.list.Changed() && c.changedAt == 0 {
		c.changedAt = now
	}
	return c.changedAt != 0 && now-c.changedAt >= c.set.Timers.GatherMillis
}

// membersChanged tells all parts which VMs there are.
func (c *Control) membersChanged(ctx context.Context, now clock.Millis) {
	c.changedAt = 0
	peers := c.list.Snapshot()
	before := *c.snapshot.Load()
	c.snapshot.Store(&peers)
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
	for _, line := range c.listed {
		if !known[line.ID] {
			m.PlacerCandidates = append(m.PlacerCandidates, line.ID)
		}
	}
	c.socket.SetDirectory(dir)
	c.engine.SetMembers(now, m)
	c.board.SetPeers(active)
	for _, f := range c.OnMembers {
		f(now, peers)
	}
	c.logMembers(ctx, before, peers)
}

func (c *Control) logMembers(ctx context.Context, before, after []membership.Peer) {
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

// address returns where a VM serves calls.
func (c *Control) address(id config.VMID) (netip.AddrPort, bool) {
	line, ok := c.socket.Directory()[id]
	return line.RPC, ok
}
