package entry

import (
	"context"
	"log/slog"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/vmload"
)

// otherDomains returns the failure domains of the fleet except the VM's own.
func otherDomains(settings *Settings) (others []ident.DomainName) {
	for _, d := range settings.Domains {
		if d != settings.Domain {
			others = append(others, d)
		}
	}
	return others
}

// partitionedDomains returns, for each other failure domain, whether it is
// unreachable. The caller holds mu.
func (p *peers) partitionedDomains(now clock.Millis) map[ident.DomainName]bool {
	partitioned := make(map[ident.DomainName]bool)
	for _, domain := range p.otherDomains {
		partitioned[domain] = p.group.Partitioned(now, domain)
	}
	return partitioned
}

// applyPartitions passes changes of the reachability of failure domains to the
// engine and logs them.
func (p *peers) applyPartitions(ctx context.Context, now clock.Millis, current map[ident.DomainName]bool) {
	for _, domain := range p.otherDomains {
		isPartitioned := current[domain]
		if isPartitioned == p.partitioned[domain] {
			continue
		}
		p.partitioned[domain] = isPartitioned
		p.engine.SetPartitioned(domain, isPartitioned)
		if !isPartitioned {
			p.engine.ResetDomainHealth(now, domain)
		}
		event.Log(ctx, p.log, event.DomainHeard, slog.String("domain", string(domain)), slog.Bool("heard", !isPartitioned))
	}
}

// updateReadiness decides whether this VM reports not ready, so that the fabric
// sends packets to VMs elsewhere. It does so if no other failure domain is
// reachable and, in addition, either no upstream answers this VM or all other
// living VMs of its failure domain report that they are stranded. These may have
// seen more traffic than this VM.
func (p *peers) updateReadiness(now clock.Millis) {
	p.mu.Lock()
	isolated := p.group.Isolated(now, p.otherDomains)
	p.mu.Unlock()
	reaches := !isolated || !p.engine.Stranded(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportNotReady.Store(isolated && (!reaches || p.group.DomainPeersStranded(now)))
	p.group.SetStranded(!reaches)
}

// overloads summarizes the load states of the VMs of the own failure domain.
func (p *peers) overloads(now clock.Millis) vmload.Peers {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.OverloadPeers(now)
}

// setOverload sets the load state that messages to other VMs report.
func (p *peers) setOverload(s vmload.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.SetOverload(s)
}

// logMembership logs which VMs became alive or silent since the last call.
func (p *peers) logMembership(ctx context.Context, alive []gossip.Peer) {
	aliveNow := make(map[ident.VMID]bool, len(alive))
	for _, peer := range alive {
		aliveNow[peer.ID] = true
		if !p.alive[peer.ID] {
			event.Log(ctx, p.log, event.VMChanged, slog.String("peer", string(peer.ID)), slog.String("state", "alive"))
		}
	}
	for id := range p.alive {
		if !aliveNow[id] {
			event.Log(ctx, p.log, event.VMChanged, slog.String("peer", string(id)), slog.String("state", "silent"))
		}
	}
	p.alive = aliveNow
}
