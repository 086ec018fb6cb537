package entry

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

const (
	// pauseThreshold is the time between two calls of poll above which the process
	// counts as paused.
	pauseThreshold clock.Millis = 1000
	// verifyTimeout limits the wait for verification at the start and after a
	// pause. It exceeds a slow response of the source. After it the VM goes on
	// with the copy that it has.
	verifyTimeout clock.Millis = 300
)

// pauseDetector detects that the process did not run for a while. It compares the
// monotonic clock and the wall clock, since the monotonic one stops while a VM is
// suspended. After a pause the copy of the published items may be outdated by the
// length of the pause, until it is verified against the source. At the start there
// is no copy, which counts as unverified.
type pauseDetector struct {
	clk     clock.Clock
	wallNow func() time.Time
	// onPause is called after each pause.
	onPause func(gap clock.Millis)

	mu         sync.Mutex
	last       clock.Millis
	lastWall   time.Time
	count      int
	unverified bool          // the copy is not verified since the last pause
	pausedFor  clock.Millis  // sum of the pauses since the last verification
	verified   chan struct{} // closed once the copy is verified
}

func newPauseDetector(clk clock.Clock, wall func() time.Time) *pauseDetector {
	return &pauseDetector{
		clk: clk, wallNow: wall, onPause: func(clock.Millis) {}, last: clk.Now(), lastWall: wall(),
		unverified: true, verified: make(chan struct{}),
	}
}

// poll checks for a pause since the last call, and returns the number of pauses so
// far.
func (p *pauseDetector) poll() (count int) {
	p.mu.Lock()
	now, wall := p.clk.Now(), p.wallNow().Round(0)
	gap := max(now-p.last, clock.FromDuration(wall.Sub(p.lastWall.Round(0))))
	p.last, p.lastWall = max(now, p.last), wall
	paused := gap > pauseThreshold
	if paused {
		p.count++
		p.pausedFor += gap
		if !p.unverified {
			p.unverified, p.verified = true, make(chan struct{})
		}
	}
	count = p.count
	p.mu.Unlock()
	if paused {
		p.onPause(gap)
	}
	return count
}

// markVerified records that the copy was read from the source, or at the start
// from another VM. count is the number of pauses before that read was started; the
// call has no effect if there was a pause since.
func (p *pauseDetector) markVerified(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if count != p.count || !p.unverified {
		return
	}
	p.unverified, p.pausedFor = false, 0
	close(p.verified)
}

// maxMessageDelay returns an upper bound on how long received messages may have
// waited in the socket during pauses, so that they are older than they state. It
// is 0 if the copy was verified since the last pause.
func (p *pauseDetector) maxMessageDelay() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedFor
}

// waitVerified polls, and blocks while the copy is unverified, for at most
// verifyTimeout. After the timeout the copy counts as verified.
func (p *pauseDetector) waitVerified(ctx context.Context) {
	count := p.poll()
	p.mu.Lock()
	verified := p.verified
	p.mu.Unlock()
	select {
	case <-verified:
		return
	default:
	}
	bounded, cancel := context.WithTimeout(ctx, verifyTimeout.Duration())
	defer cancel()
	select {
	case <-verified:
	case <-bounded.Done():
		p.markVerified(count)
	}
}
