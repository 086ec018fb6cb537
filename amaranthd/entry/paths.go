package entry

import (
	"context"
	"log/slog"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	// cutAfter is the silence of all VMs of a failure domain that means that
	// there is no path to it.
	cutAfter clock.Millis = 1200
	// isolatedAfter is such a silence of all other failure domains that, with
	// no upstream that answers, makes this VM leave the packets to others.
	isolatedAfter clock.Millis = 400
)

// inDomain counts the VMs of a failure domain.
func inDomain(list []gossip.Peer, domain ident.DomainName) (n int) {
	for _, peer := range list {
		if peer.Domain == domain {
			n++
		}
	}
	return n
}

// otherDomains returns the failure domains of the fleet but the own one.
func otherDomains(set *Settings) (far []ident.DomainName) {
	for _, d := range set.Domains {
		if d != set.Domain {
			far = append(far, d)
		}
	}
	return far
}

// watchPaths notices partitions by the silence of whole failure domains.
func (p *peers) watchPaths(ctx context.Context, now clock.Millis, heard map[ident.DomainName]clock.Millis) {
	p.isolated = len(p.far) > 0
	for _, domain := range p.far {
		silence := now - max(p.started, heard[domain])
		p.isolated = p.isolated && silence >= isolatedAfter
		cut := silence >= cutAfter
		if cut == p.cut[domain] {
			continue
		}
		p.cut[domain] = cut
		p.engine.SetUnheard(domain, cut)
		if !cut {
			p.engine.PathBack(now, domain)
		}
		event.Log(ctx, p.log, event.DomainHeard, slog.String("domain", string(domain)), slog.Bool("heard", !cut))
	}
}

// checkStranded decides whether this VM leaves the packets to VMs elsewhere:
// it hears no other failure domain, and no upstream answers it, or so say all
// its neighbours, which may have seen more.
func (p *peers) checkStranded(now clock.Millis) {
	reaches := !p.engine.Stranded(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	stranded := p.isolated && (!reaches || p.group.NearStranded(now))
	p.stranded.Store(stranded)
	p.group.SetStranded(p.isolated && !reaches)
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
