package entry

import (
	"context"
	"log/slog"
	"math"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
)

// decisionLogger returns callbacks that log the health changes, flow placements and
// admitted shares of an engine.
func decisionLogger(log *slog.Logger) forward.Hooks {
	ctx := context.Background()
	return forward.Hooks{
		Health: func(b forward.HealthChange) {
			attrs := []slog.Attr{
				slog.String("domain", string(b.Upstream.Domain)), slog.String("from", b.From), slog.String("to", b.To),
				slog.Bool("openLost", b.OpenLost),
				slog.Int("flows", b.Flows), slog.Int64("provedAgeMillis", int64(b.AckedAge)),
			}
			if b.WholeDomain {
				event.Log(ctx, log, event.DomainHealth, attrs...)
				return
			}
			event.Log(ctx, log, event.UpstreamHealth, append(attrs, slog.String("upstream", string(b.Upstream.ID)), slog.Bool("told", b.Indirect), slog.Bool("slowStart", b.SlowStart))...)
		},
		Placed: func(p *forward.Packet, d forward.Decision, u *catalog.Entry) {
			if d.Action == forward.Refuse {
				event.Log(ctx, log, event.FlowRefused, append(flowAttrs(p), slog.String("reason", d.Reason.String()))...)
				return
			}
			event.Log(ctx, log, event.FlowPlaced, append(flowAttrs(p), slog.Int("copies", p.Retransmits),
				slog.String("upstream", string(u.ID)), slog.String("domain", string(u.Domain)))...)
		},
		Lost: func(p *forward.Packet, u *catalog.Entry) {
			event.Log(ctx, log, event.FlowLost, append(flowAttrs(p), slog.String("upstream", string(u.ID)), slog.String("domain", string(u.Domain)))...)
		},
		Distrusted: func(c forward.DistrustCause) {
			event.Log(ctx, log, event.EvidenceDistrusted, slog.Int64("lateMillis", int64(c.Late)),
				slog.Bool("fullLink", c.FullLink), slog.Int64("linkDelayMillis", int64(c.LinkDelay)))
		},
		Admission: func(c forward.AdmissionChange) {
			event.Log(ctx, log, event.AdmissionChanged, slog.String("service", string(c.Service)), slog.Int("priority", int(c.Priority)),
				slog.Float64("share", roundShare(c.Share)), slog.Float64("pressure", roundShare(c.Pressure)))
		},
	}
}

// roundShare rounds a share to three digits for the log.
func roundShare(share float64) float64 { return math.Round(share*1000) / 1000 }

// flowAttrs returns the log attributes that identify the flow of a packet.
func flowAttrs(p *forward.Packet) []slog.Attr {
	return []slog.Attr{slog.String("caller", p.Caller.String()), slog.String("service", p.Destination.String())}
}

// requestLog logs the forwarding decision for each packet that shows the
// identifier of a request.
type requestLog struct {
	log       *slog.Logger
	localCopy func() gossip.ReplicaState
	clk       clock.Clock
}

// logDecision logs a decision with the revision and the age of the catalog that it
// was based on. u is the upstream that the token of the packet names, or nil.
func (l *requestLog) logDecision(request string, p *forward.Packet, d *forward.Decision, u *catalog.Entry) {
	id := event.RequestForwarded
	if d.Action != forward.Forward {
		id = event.RequestStopped
	}
	local := l.localCopy()
	attrs := append(flowAttrs(p), slog.String("request", request), slog.String("reason", d.Reason.String()),
		slog.Attr{Key: "revision", Value: local.Complete.LogValue()})
	if local.ConfirmedAt != 0 {
		attrs = append(attrs, slog.Int64("ageMillis", int64(l.clk.Now()-local.ConfirmedAt)))
	}
	if u != nil {
		attrs = append(attrs, slog.String("upstream", string(u.ID)), slog.Bool("published", !u.Removed))
	}
	event.Log(context.Background(), l.log, id, attrs...)
}
