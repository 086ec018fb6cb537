package daemon

import (
	"context"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/tally"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

// maxItemsPerDatagram keeps a datagram of flow messages below the usual MTU.
const maxItemsPerDatagram = 32

// receive handles a datagram other than a detoured packet from another VM.
func (c *Controller) receive(ctx context.Context, kind wire.Kind, data []byte) {
	now := c.clk.Now()
	var err error
	switch kind {
	case wire.Membership:
		var msg membership.Message
		if err = wire.Decode(data, &msg); err == nil {
			c.receiveProbe(ctx, now, msg)
		}
	case wire.Flows:
		var b wire.FlowBatch
		if err = wire.Decode(data, &b); err == nil {
			c.receiveFlows(now, b)
		}
	case wire.Tally:
		var r tally.Report
		if err = wire.Decode(data, &r); err == nil {
			c.mu.Lock()
			out := c.flowCounts.Receive(now, r, c.engine.SetRemoteFlows)
			c.mu.Unlock()
			c.sendReports(out)
		}
	case wire.Health:
		var b HealthBatch
		if err = wire.Decode(data, &b); err == nil {
			c.receiveHealth(now, b)
		}
	}
	if err != nil {
		event.Log(ctx, c.log, event.MessageInvalid, event.Error(err))
	}
}

func (c *Controller) receiveFlows(now clock.Millis, b wire.FlowBatch) {
	if _, listed := c.socket.Directory()[b.From]; !listed {
		return
	}
	paused := c.paused(now)
	for _, item := range b.Items {
		if paused && item.Kind == steering.Reply {
			continue // It may have waited in the socket while the process was suspended.
		}
		c.engine.Receive(now, b.From, item.Message())
	}
	c.flushUrgent()
}

func (c *Controller) receiveProbe(ctx context.Context, now clock.Millis, msg membership.Message) {
	c.mu.Lock()
	out, ok := c.members.Receive(now, msg)
	if ok {
		c.lastPeerMessageAt = now
		c.peerAnswered = c.peerAnswered || msg.Kind == membership.Ack && msg.Seq > c.lastProbeBeforePause
		c.handlePeerVersion(ctx, now, msg)
	}
	c.mu.Unlock()
	c.sendProbes(out)
}

// flushUrgent calls flush if the engine has queued a message that must not wait
// for the next tick.
func (c *Controller) flushUrgent() {
	if c.engine.Urgent() {
		c.flush()
	}
}

// flush sends the engine's queued messages, batched by VM, and steers or discards
// the packets that the engine releases. Packets released during a pause are
// discarded.
func (c *Controller) flush() {
	messages, releases := c.engine.DequeueAll()
	if len(messages) == 0 && len(releases) == 0 {
		return
	}
	byVM := make(map[config.VMID][]wire.FlowItem)
	for _, m := range messages {
		byVM[m.To] = append(byVM[m.To], wire.NewFlowItem(m))
	}
	for to, items := range byVM {
		for len(items) > 0 {
			n := min(maxItemsPerDatagram, len(items))
			_ = c.socket.Send(to, wire.Flows, wire.FlowBatch{From: c.set.VM, Items: items[:n]})
			items = items[n:]
		}
	}
	if len(releases) == 0 {
		return
	}
	c.flushMu.Lock()
	defer c.flushMu.Unlock()
	now := c.clk.Now()
	for _, r := range releases {
		if c.paused(now) {
			r.Discard, r.Reason = true, steering.Paused
		}
		c.injector.Release(now, r)
	}
}
