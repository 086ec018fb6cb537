package entry

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

const (
	// pauseGap is the time without a look at the clock that means that the
	// process stood still.
	pauseGap clock.Millis = 1000
	// checkWithin bounds the wait for a check at the start and after a pause. It
	// exceeds a slow answer of the source. Without an answer the VM goes on with
	// what it knows.
	checkWithin clock.Millis = 300
)

// pauses notices that the process stood still, by the steady clock or, since
// that does not count while a VM is suspended, by the time of day. Until the copy
// of what is published is checked, it may be as old as the pause was long. At the
// start there is no copy, which counts as unchecked.
type pauses struct {
	clk  clock.Clock
	wall func() time.Time
	// noticed is told of each pause.
	noticed func(gap clock.Millis)

	mu       sync.Mutex
	last     clock.Millis
	lastWall time.Time
	count    int
	open     bool          // the copy is unchecked
	gap      clock.Millis  // sum of the pauses since the last check
	checked  chan struct{} // closed once the copy was checked
}

func newPauses(clk clock.Clock, wall func() time.Time) *pauses {
	return &pauses{
		clk: clk, wall: wall, noticed: func(clock.Millis) {}, last: clk.Now(), lastWall: wall(),
		open: true, checked: make(chan struct{}),
	}
}

// look notices a pause since the last look, and returns how many there were so
// far.
func (p *pauses) look() (count int) {
	p.mu.Lock()
	now, wall := p.clk.Now(), p.wall().Round(0)
	gap := max(now-p.last, clock.FromDuration(wall.Sub(p.lastWall.Round(0))))
	p.last, p.lastWall = max(now, p.last), wall
	paused := gap > pauseGap
	if paused {
		p.count++
		p.gap += gap
		if !p.open {
			p.open, p.checked = true, make(chan struct{})
		}
	}
	count = p.count
	p.mu.Unlock()
	if paused {
		p.noticed(gap)
	}
	return count
}

// check takes note that the copy was read from the source, or from another VM at
// the start, after the given number of pauses.
func (p *pauses) check(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if count != p.count || !p.open {
		return
	}
	p.open, p.gap = false, 0
	close(p.checked)
}

// unchecked returns how much older than they say messages may be that waited
// for this VM, 0 if the copy was checked since the last pause.
func (p *pauses) unchecked() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gap
}

// wait looks, and waits at the start and after a pause until the copy was checked, or until that
// takes too long.
func (p *pauses) wait(ctx context.Context) {
	count := p.look()
	p.mu.Lock()
	checked := p.checked
	p.mu.Unlock()
	select {
	case <-checked:
		return
	default:
	}
	bounded, cancel := context.WithTimeout(ctx, checkWithin.Duration())
	defer cancel()
	select {
	case <-checked:
	case <-bounded.Done():
		p.check(count)
	}
}
