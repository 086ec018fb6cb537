package daemon

import (
	"context"
	"log/slog"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
)

// queueDrainMillis is the least time after a pause in which packets are
// dropped, so that what queued up meanwhile is not taken for new.
const queueDrainMillis = 300

// paused reports whether the data path may not forward, because the process
// stood still and its state may be old, or just started and does not know the
// other homes.
func (c *Control) paused(now clock.Millis) bool {
	return !c.joined.Load() || now-clock.Millis(c.lastTick.Load()) > c.set.Timers.PauseMillis || int64(now) < c.resyncUntil.Load()
}

// checkPause notices that the process stood still and begins to ask others
// what changed meanwhile.
func (c *Control) checkPause(ctx context.Context, now clock.Millis) {
	gap := now - clock.Millis(c.lastTick.Load())
	if gap > c.set.Timers.PauseMillis {
		// At once, so that an answer from before the pause, which may be handled
		// meanwhile, does not end the guard.
		c.mu.Lock()
		c.heardAt, c.wokeAt, c.told = 0, now, false
		c.wokeSeq = c.list.LastProbeSeq()
		c.resyncUntil.Store(int64(now + c.set.Timers.ResyncMillis))
		sends := c.list.Announce(now)
		c.mu.Unlock()
		c.engine.Resume(now)
		event.Log(ctx, c.log, event.PauseDetected, slog.Int64("gapMillis", int64(gap)))
		c.sendProbes(sends)
	}
	c.lastTick.Store(int64(now))
}

// resynced ends the guard of the data path once another VM has told what is
// in force and it has been taken.
func (c *Control) resynced(ctx context.Context, now clock.Millis) {
	if int64(now) < c.resyncUntil.Load() && !c.fetching && c.told {
		c.told = false
		c.resyncUntil.Store(int64(c.wokeAt + queueDrainMillis))
		event.Log(ctx, c.log, event.PauseOver)
	}
}
