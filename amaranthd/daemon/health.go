package daemon

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

// HealthBatch tells other VMs what the probes of upstreams found.
type HealthBatch struct {
	_     struct{} `cbor:",toarray"`
	From  config.VMID
	Items []HealthItem
}

// HealthItem is the verdict on one upstream. Cold is how long ago its
// warm-up began in milliseconds, or -1.
type HealthItem struct {
	_         struct{} `cbor:",toarray"`
	ID        config.UpstreamID
	Verdict   warmup.Verdict
	WarmupAge clock.Millis
	// ColdRefusal reports a refusal instead of a verdict.
	ColdRefusal bool
}

func (c *Controller) receiveHealth(now clock.Millis, b HealthBatch) {
	if _, listed := c.socket.Directory()[b.From]; !listed {
		return
	}
	for _, item := range b.Items {
		if item.ColdRefusal {
			c.coldReported(item.ID)
			continue
		}
		c.engine.SetVerdict(now, item.ID, item.Verdict)
		if item.WarmupAge >= 0 {
			c.engine.SetRamp(item.ID, now-item.WarmupAge)
		}
	}
}

// spreadHealth tells all living VMs what a probe found.
func (c *Controller) spreadHealth(items []HealthItem) {
	for _, p := range *c.snapshot.Load() {
		if p.ID == c.set.VM || p.State == membership.Dead || p.State == membership.Unknown {
			continue
		}
		_ = c.socket.Send(p.ID, wire.Health, HealthBatch{From: c.set.VM, Items: items})
	}
}
