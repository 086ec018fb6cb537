package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/caller"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/holder"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/operator"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/settings"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/teardown"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/tracing"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/upstream"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// A starting daemon asks the other VMs of its failure domain for the claims of its
// previous process, up to maxRecoverAttempts times until at least one replies.
const (
	maxRecoverAttempts   = 30
	recoverRetryInterval = 100 * time.Millisecond
)

func provideHolder(set *settings.Settings, clk clock.Clock, log *slog.Logger, pool *rpc.Pool, server *rpc.Server, control *Controller, engine *steering.Engine) *holder.Holder {
	timers := holder.Timeouts{CallMillis: set.Timers.ClaimMillis, LeaseMillis: set.Timers.SlotLeaseMillis}
	h := holder.New(set.VM, set.Domain, clk, log, pool, server, timers, holder.Hooks{
		UsableSlots: func(now clock.Millis, id config.UpstreamID, full int) (int, bool) {
			return engine.Ramp(id).Slots(now, full), engine.Verdict(id) != warmup.Unhealthy
		},
		Paused: control.paused,
	})
	control.OnConfig = append(control.OnConfig, h.SetConfig)
	control.OnMembers = append(control.OnMembers, h.SetMembers)
	control.OnVMList = append(control.OnVMList, h.SetVMList)
	return h
}

func provideProber(set *settings.Settings, clk clock.Clock, control *Controller, clean *teardown.List) *upstream.Prober {
	p, cleanup := upstream.NewProber(set.VM, set.Domain, clk, set.Timers.HealthMillis, control.verdictChanged)
	clean.Add(cleanup)
	control.OnConfig = append(control.OnConfig, func(_ clock.Millis, f *config.File) { p.SetConfig(f) })
	control.OnMembers = append(control.OnMembers, func(_ clock.Millis, peers []membership.Peer) {
		p.SetDomainVMs(aliveInDomain(peers, set.Domain))
	})
	control.onColdRefusal = p.RecordColdRefusal
	return p
}

// aliveInDomain returns the VMs of a failure domain that are alive and reachable.
func aliveInDomain(peers []membership.Peer, d config.DomainName) (list []config.VMID) {
	for _, p := range peers {
		if p.Domain == d && p.State == membership.Alive && p.Reachable {
			list = append(list, p.ID)
		}
	}
	return list
}

func provideGateway(ctx context.Context, set *settings.Settings, clk clock.Clock, log *slog.Logger, h *holder.Holder, control *Controller, prober *upstream.Prober, tracer *tracing.Tracer, ops *operator.Server, clean *teardown.List) (*caller.Gateway, error) {
	client, closeClient := upstream.NewClient()
	clean.Add(closeClient)
	g, cleanup, err := caller.New(ctx, set.Gateway, clk, log, h, client, caller.Hooks{
		Paused: control.paused,
		ReportCold: func(id config.UpstreamID) {
			prober.RecordColdRefusal(id)
			control.broadcastHealth([]HealthItem{{ID: id, ColdRefusal: true, WarmupAge: -1}})
		},
		ReportDone: func(service config.ServiceName, owner config.Owner, outcome string, took clock.Millis) {
			ops.Count(fmt.Sprintf("amaranth_requests_total{service=%q,owner=%q,outcome=%q}", service, owner, outcome))
			ops.Observe(fmt.Sprintf("amaranth_request_seconds{service=%q}", service), took.Seconds())
		},
		StartSpan: tracer.StartSpan, Inject: tracer.Inject, Extract: tracer.Extract,
	})
	if err != nil {
		return nil, err
	}
	clean.Add(cleanup)
	control.OnConfig = append(control.OnConfig, func(_ clock.Millis, f *config.File) { g.SetConfig(f) })
	return g, nil
}

func provideTracer(ctx context.Context, set *settings.Settings, clean *teardown.List) (*tracing.Tracer, error) {
	t, cleanup, err := tracing.New(ctx, set.VM, set.TraceFile, set.TraceShare)
	if err == nil {
		clean.Add(cleanup)
	}
	return t, err
}

// verdictChanged applies a new verdict of this VM's prober, logs it unless it is
// Degraded, and sends it to the other VMs.
func (c *Controller) verdictChanged(now clock.Millis, id config.UpstreamID, v warmup.Verdict) {
	c.engine.SetVerdict(now, id, v)
	item := HealthItem{ID: id, Verdict: v, WarmupAge: -1}
	attr := slog.Uint64("upstream", uint64(id))
	switch v {
	case warmup.Restarted:
		item.WarmupAge = 0
		event.Log(context.Background(), c.log, event.UpstreamCold, attr)
	case warmup.Unhealthy:
		event.Log(context.Background(), c.log, event.UpstreamUnhealthy, attr)
	case warmup.Healthy:
		event.Log(context.Background(), c.log, event.UpstreamHealthy, attr)
	}
	c.broadcastHealth([]HealthItem{item})
}

// recoverClaims fetches the claims that the previous process of this VM backed up
// at another VM of the failure domain. It gives up silently after
// maxRecoverAttempts attempts without a reply.
func (d *Daemon) recoverClaims(ctx context.Context) {
	for range maxRecoverAttempts {
		if ctx.Err() != nil || d.holder.RecoverClaims(ctx) {
			return
		}
		time.Sleep(recoverRetryInterval)
	}
}
