package entry

import (
	"context"
	"log/slog"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
)

// logDecisions returns seams that log what an engine concludes.
func logDecisions(log *slog.Logger) forward.Hooks {
	ctx := context.Background()
	return forward.Hooks{
		Health: func(b forward.HealthChange) {
			attrs := []slog.Attr{
				slog.String("domain", string(b.Upstream.Domain)), slog.String("from", b.From), slog.String("to", b.To),
				slog.Int("flows", b.Flows), slog.Int64("provedAgeMillis", int64(b.AckedAge)),
			}
			if b.WholeDomain {
				event.Log(ctx, log, event.DomainHealth, attrs...)
				return
			}
			event.Log(ctx, log, event.UpstreamHealth, append(attrs, slog.String("upstream", string(b.Upstream.ID)), slog.Bool("told", b.FromPeers))...)
		},
		Placed: func(p *forward.Packet, d forward.Decision, u *catalog.Entry) {
			if d.Action == forward.Refuse {
				event.Log(ctx, log, event.FlowRefused, append(flowOf(p), slog.String("reason", d.Reason.String()))...)
				return
			}
			event.Log(ctx, log, event.FlowPlaced, append(flowOf(p), slog.Int("copies", p.Retransmits),
				slog.String("upstream", string(u.ID)), slog.String("domain", string(u.Domain)))...)
		},
		Lost: func(p *forward.Packet, u *catalog.Entry) {
			event.Log(ctx, log, event.FlowLost, append(flowOf(p), slog.String("upstream", string(u.ID)), slog.String("domain", string(u.Domain)))...)
		},
	}
}

// flowOf names a packet's flow by its two ends.
func flowOf(p *forward.Packet) []slog.Attr {
	return []slog.Attr{slog.String("caller", p.Caller.String()), slog.String("service", p.Service.String())}
}

// requestLog logs what was decided about packets that show a request's
// identifier.
type requestLog struct {
	log  *slog.Logger
	held func() gossip.ReplicaState
	clk  clock.Clock
}

// decided logs the decision with what it rested on.
func (l *requestLog) decided(request string, p *forward.Packet, d *forward.Decision, u *catalog.Entry) {
	id := event.RequestForwarded
	if d.Action != forward.Forward {
		id = event.RequestStopped
	}
	held := l.held()
	attrs := append(flowOf(p), slog.String("request", request), slog.String("reason", d.Reason.String()),
		slog.Uint64("revision", uint64(held.Complete)))
	if held.ConfirmedAt != 0 {
		attrs = append(attrs, slog.Int64("ageMillis", int64(l.clk.Now()-held.ConfirmedAt)))
	}
	if u != nil {
		attrs = append(attrs, slog.String("upstream", string(u.ID)), slog.Bool("published", !u.Removed))
	}
	event.Log(context.Background(), l.log, id, attrs...)
}
