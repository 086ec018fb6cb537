package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// TestPauseIsNoticed lets each of the two clocks jump. Small gaps and clocks that
// are set back are no pauses.
func TestPauseIsNoticed(t *testing.T) {
	tests := []struct {
		name         string
		steady, wall clock.Millis
		want         int
	}{
		{"busy", pauseGap, pauseGap, 0},
		{"frozen", 3000, 3000, 1},
		{"suspended", 0, 3000, 1},
		{"clock set back", 100, -5000, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			manual, wall := clock.NewManual(1000), time.UnixMilli(1000)
			p := newPauses(manual.Clock(), func() time.Time { return wall })
			p.check(0)
			manual.Advance(test.steady)
			wall = wall.Add(test.wall.Duration())
			assert.Equal(t, p.look(), test.want)
			assert.Equal(t, p.unchecked() > 0, test.want > 0)
		})
	}
}

// TestWaitEndsWithACheck waits after a pause for an answer that was asked for
// since, not for one that was asked for before.
func TestWaitEndsWithACheck(t *testing.T) {
	manual := clock.NewManual(1000)
	p := newPauses(manual.Clock(), time.Now)
	p.check(0)
	before := p.look()
	manual.Advance(5000)
	after := p.look()
	p.check(before)
	assert.Equal(t, p.unchecked(), clock.Millis(5000))
	ended := make(chan time.Duration, 1)
	begun := time.Now()
	go func() {
		p.wait(context.Background())
		ended <- time.Since(begun)
	}()
	time.Sleep(20 * time.Millisecond)
	p.check(after)
	took := <-ended
	assert.Assert(t, took >= 20*time.Millisecond && took < checkWithin.Duration(), "%v", took)
	assert.Equal(t, p.unchecked(), clock.Millis(0))
}

// TestWaitIsBounded waits in vain at the start and after a pause, once each.
func TestWaitIsBounded(t *testing.T) {
	manual := clock.NewManual(1000)
	p := newPauses(manual.Clock(), time.Now)
	for range 2 {
		begun := time.Now()
		p.wait(context.Background())
		assert.Assert(t, time.Since(begun) >= checkWithin.Duration())
		begun = time.Now()
		p.wait(context.Background())
		assert.Assert(t, time.Since(begun) < checkWithin.Duration())
		manual.Advance(5000)
	}
}
