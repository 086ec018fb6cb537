package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// TestPauseDetection advances each of the two clocks. Small gaps and a wall clock
// that is set back are no pauses.
func TestPauseDetection(t *testing.T) {
	tests := []struct {
		name         string
		steady, wall clock.Millis
		want         int
	}{
		{"busy", pauseThreshold, pauseThreshold, 0},
		{"frozen", 3000, 3000, 1},
		{"suspended", 0, 3000, 1},
		{"clock set back", 100, -5000, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			manual, wall := clock.NewManual(1000), time.UnixMilli(1000)
			p := newPauseDetector(manual.Clock(), func() time.Time { return wall })
			p.markVerified(0)
			manual.Advance(test.steady)
			wall = wall.Add(test.wall.Duration())
			assert.Equal(t, p.poll(), test.want)
			assert.Equal(t, p.maxMessageDelay() > 0, test.want > 0)
		})
	}
}

// TestWaitEndsOnVerification waits after a pause. A response to a read that was
// started before the pause does not verify the copy; one that was started after it
// does.
func TestWaitEndsOnVerification(t *testing.T) {
	manual := clock.NewManual(1000)
	p := newPauseDetector(manual.Clock(), time.Now)
	p.markVerified(0)
	before := p.poll()
	manual.Advance(5000)
	after := p.poll()
	p.markVerified(before)
	assert.Equal(t, p.maxMessageDelay(), clock.Millis(5000))
	ended := make(chan time.Duration, 1)
	start := time.Now()
	go func() {
		p.waitVerified(context.Background())
		ended <- time.Since(start)
	}()
	time.Sleep(20 * time.Millisecond)
	p.markVerified(after)
	took := <-ended
	assert.Assert(t, took >= 20*time.Millisecond && took < verifyTimeout.Duration(), "%v", took)
	assert.Equal(t, p.maxMessageDelay(), clock.Millis(0))
}

// TestWaitIsBounded waits without any verification. The wait times out once at the
// start and once after a pause, and packets pass in between.
func TestWaitIsBounded(t *testing.T) {
	manual := clock.NewManual(1000)
	p := newPauseDetector(manual.Clock(), time.Now)
	for range 2 {
		start := time.Now()
		p.waitVerified(context.Background())
		assert.Assert(t, time.Since(start) >= verifyTimeout.Duration())
		start = time.Now()
		p.waitVerified(context.Background())
		assert.Assert(t, time.Since(start) < verifyTimeout.Duration())
		manual.Advance(5000)
	}
}
