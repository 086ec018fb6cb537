package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/vm"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/document"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

const (
	maxItemsPerHandover = 500
	maxHandoverAttempts = 3
)

// handOver sends the exceptions of this VM to the homes that take over. These
// are the flows whose upstream does not follow from the configuration alone.
func (c *Controller) handOver(ctx context.Context) {
	byVM := make(map[config.VMID][]wire.FlowItem)
	for _, m := range c.engine.HandoverMessages() {
		byVM[m.To] = append(byVM[m.To], wire.NewFlowItem(m))
	}
	taken := 0
	for to, items := range byVM {
		for len(items) > 0 {
			n := min(maxItemsPerHandover, len(items))
			if err := c.handOverChunk(ctx, to, items[:n]); err != nil {
				event.Log(ctx, c.log, event.HandoverFailed, slog.String("vm", string(to)), slog.Int("flows", n), event.Error(err))
			} else {
				taken += n
			}
			items = items[n:]
		}
	}
	event.Log(ctx, c.log, event.HandoverDone, slog.Int("flows", taken))
}

func (c *Controller) handOverChunk(ctx context.Context, id config.VMID, items []wire.FlowItem) (err error) {
	to, ok := c.rpcAddress(id)
	if !ok {
		return eris.Errorf("daemon: %s is not in the directory", id)
	}
	var reply vm.HandOverReply
	for range maxHandoverAttempts {
		err = c.pool.Call(ctx, to, vm.HandOver, vm.HandOverRequest{From: c.set.VM, Items: items}, &reply)
		if err == nil {
			return nil
		}
	}
	return err
}

// serveHandOver accepts flows from a VM that ceases to be their home. It is
// idempotent, since the caller retries.
func (c *Controller) serveHandOver(_ context.Context, params json.RawMessage) (result any, err error) {
	defer func() { err = eris.Wrap(err, "daemon: serve handover") }()
	var req vm.HandOverRequest
	if err = document.Decode(params, &req); err != nil {
		return nil, err
	}
	now := c.clk.Now()
	for _, item := range req.Items {
		if item.Kind == steering.Handover || item.Kind == steering.Copy {
			c.engine.Receive(now, req.From, item.Message())
		}
	}
	return vm.HandOverReply{Taken: len(req.Items)}, nil
}

// leave announces that this VM leaves, hands its flows over, and keeps
// forwarding for LeaveMillis so that other VMs can learn of it. It hands its
// flows over once more before it returns.
func (c *Controller) leave(ctx context.Context) {
	event.Log(ctx, c.log, event.DaemonLeaving)
	now := c.clk.Now()
	c.mu.Lock()
	c.leaving = true
	c.members.Leave()
	c.applyMembers(ctx, now)
	out := c.members.Announce(now)
	c.mu.Unlock()
	c.sendProbes(out)
	c.handOver(ctx)
	time.Sleep(max(0, now+c.set.Timers.LeaveMillis-c.clk.Now()).Duration())
	c.handOver(ctx)
	c.mu.Lock()
	out = c.members.Announce(c.clk.Now())
	c.mu.Unlock()
	c.sendProbes(out)
}
