package daemon

import (
	"context"
	"log/slog"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
)

// queueDrainMillis is the minimum time after a process pause during which
// packets are dropped, so that packets queued in the socket during the pause
// are not treated as new.
const queueDrainMillis = 300

// paused reports whether the data path must not forward. That is so while the
// process has just started and does not know the other homes yet, and after it
// was suspended, since its state may be stale.
func (c *Controller) paused(now clock.Millis) bool {
	return !c.joined.Load() || now-clock.Millis(c.lastTick.Load()) > c.set.Timers.PauseMillis || int64(now) < c.resyncUntil.Load()
}

// mustDrop reports whether the data path must drop the packets that it reads at
// now. It calls checkStall first, since the data path may run before the control
// loop does.
func (c *Controller) mustDrop(now clock.Millis) bool {
	c.checkStall(now)
	return c.paused(now)
}

// checkStall tells the engine if the time since the last tick exceeds the sum of
// the timeouts of a probe and of a query. Other VMs may then have found this VM
// unreachable and placed its flows, so the engine queries them before it places
// one.
func (c *Controller) checkStall(now clock.Millis) {
	limit := max(c.set.Members.TimeoutMillis+c.set.Steering.AskTimeoutMillis, 2*c.set.Timers.TickMillis)
	if now-clock.Millis(c.lastTick.Load()) <= limit {
		return
	}
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	if now-c.stalledAt > limit {
		c.engine.Resume(now)
		c.stalledAt = now
	}
}

// checkPause detects that the process was suspended, from the time since the
// last tick, and probes the other VMs to learn what changed.
func (c *Controller) checkPause(ctx context.Context, now clock.Millis) {
	c.checkStall(now)
	gap := now - clock.Millis(c.lastTick.Load())
	if gap > c.set.Timers.PauseMillis {
		// Set all of this under one lock and before any log line or message:
		// an acknowledgement from before the pause may be handled at the same
		// time and must not let the data path resume.
		c.mu.Lock()
		c.lastPeerMessageAt, c.resumedAt, c.peerAnswered = 0, now, false
		c.lastProbeBeforePause = c.members.LastProbeSeq()
		c.resyncUntil.Store(int64(now + c.set.Timers.ResyncMillis))
		sends := c.members.Announce(now)
		c.mu.Unlock()
		event.Log(ctx, c.log, event.PauseDetected, slog.Int64("gapMillis", int64(gap)))
		c.sendProbes(sends)
	}
	c.lastTick.Store(int64(now))
}

// endResync lets the data path resume, not before queueDrainMillis, once another
// VM has acknowledged a probe sent after the pause and no newer configuration
// is left to fetch. The caller holds mu.
func (c *Controller) endResync(ctx context.Context, now clock.Millis) {
	if int64(now) < c.resyncUntil.Load() && !c.fetching && c.peerAnswered {
		c.peerAnswered = false
		c.resyncUntil.Store(int64(c.resumedAt + queueDrainMillis))
		event.Log(ctx, c.log, event.PauseOver)
	}
}
