package daemon

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

// HealthBatch carries the results of health probes to other VMs.
type HealthBatch struct {
	_     struct{} `cbor:",toarray"`
	From  config.VMID
	Items []HealthItem
}

// HealthItem is the verdict on one upstream. WarmupAge is the time in
// milliseconds since its warm-up began, or -1 if no warm-up is reported.
type HealthItem struct {
	_         struct{} `cbor:",toarray"`
	ID        config.UpstreamID
	Verdict   warmup.Verdict
	WarmupAge clock.Millis
	// ColdRefusal is set if the upstream refused a request because it is still
	// warming up. The item then carries no verdict.
	ColdRefusal bool
}

func (c *Controller) receiveHealth(now clock.Millis, b HealthBatch) {
	if _, listed := c.socket.Directory()[b.From]; !listed {
		return
	}
	for _, item := range b.Items {
		if item.ColdRefusal {
			c.onColdRefusal(item.ID)
			continue
		}
		c.engine.SetVerdict(now, item.ID, item.Verdict)
		if item.WarmupAge >= 0 {
			c.engine.SetRamp(item.ID, now-item.WarmupAge)
		}
	}
}

// broadcastHealth sends probe results to all other VMs that are not known to be
// dead. Delivery is best effort.
func (c *Controller) broadcastHealth(items []HealthItem) {
	for _, p := range *c.peers.Load() {
		if p.ID == c.set.VM || p.State == membership.Dead || p.State == membership.Unknown {
			continue
		}
		_ = c.socket.Send(p.ID, wire.Health, HealthBatch{From: c.set.VM, Items: items})
	}
}
