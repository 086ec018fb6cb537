package entry

import (
	"context"
	"log/slog"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// otherDomains returns the failure domains of the fleet but the own one.
func otherDomains(set *Settings) (far []ident.DomainName) {
	for _, d := range set.Domains {
		if d != set.Domain {
			far = append(far, d)
		}
	}
	return far
}

// cutDomains returns the failure domains to which there is no path. The caller
// holds mu.
func (p *peers) cutDomains(now clock.Millis) map[ident.DomainName]bool {
	cut := make(map[ident.DomainName]bool)
	for _, domain := range p.far {
		cut[domain] = p.group.Partitioned(now, domain)
	}
	return cut
}

// takePaths passes on which failure domains there is no path to.
func (p *peers) takePaths(ctx context.Context, now clock.Millis, cuts map[ident.DomainName]bool) {
	for _, domain := range p.far {
		cut := cuts[domain]
		if cut == p.cut[domain] {
			continue
		}
		p.cut[domain] = cut
		p.engine.SetPartitioned(domain, cut)
		if !cut {
			p.engine.ResetDomainHealth(now, domain)
		}
		event.Log(ctx, p.log, event.DomainHeard, slog.String("domain", string(domain)), slog.Bool("heard", !cut))
	}
}

// checkStranded decides whether this VM leaves the packets to VMs elsewhere:
// it hears no other failure domain, and no upstream of its own answers it, or so
// say all its neighbours, which may have seen more.
func (p *peers) checkStranded(now clock.Millis) {
	p.mu.Lock()
	isolated := p.group.Isolated(now, p.far)
	p.mu.Unlock()
	reaches := !isolated || !p.engine.Stranded(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stranded.Store(isolated && (!reaches || p.group.DomainPeersStranded(now)))
	p.group.SetStranded(!reaches)
}

// logChanges logs which VMs began or ceased to be heard.
func (p *peers) logChanges(ctx context.Context, alive []gossip.Peer) {
	heard := make(map[ident.VMID]bool, len(alive))
	for _, peer := range alive {
		heard[peer.ID] = true
		if !p.alive[peer.ID] {
			event.Log(ctx, p.log, event.VMChanged, slog.String("peer", string(peer.ID)), slog.String("state", "alive"))
		}
	}
	for id := range p.alive {
		if !heard[id] {
			event.Log(ctx, p.log, event.VMChanged, slog.String("peer", string(id)), slog.String("state", "silent"))
		}
	}
	p.alive = heard
}
