package warmup

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// Ramp is the warm-up of one upstream. The zero Ramp is warm.
type Ramp struct {
	Start  clock.Millis
	Limits config.WarmUp
}

// Cold reports whether the upstream is still warming up at now.
func (r Ramp) Cold(now clock.Millis) bool {
	return r.Start != 0 && now-r.Start < r.Limits.DurationMillis
}

// Progress returns how far the warm-up has come, 0 to 1.
func (r Ramp) Progress(now clock.Millis) float64 {
	if !r.Cold(now) {
		return 1
	}
	return max(0, float64(now-r.Start)/float64(r.Limits.DurationMillis))
}

// FlowsPerSecond returns the rate of new flows that the upstream bears at now.
func (r Ramp) FlowsPerSecond(now clock.Millis) float64 {
	return r.Limits.InitialPerSecond + r.Progress(now)*(r.Limits.FullPerSecond-r.Limits.InitialPerSecond)
}

// Slots returns how many of the full number of request slots the upstream
// bears at now: one at first, then a share that rises with the ramp.
func (r Ramp) Slots(now clock.Millis, full int) int {
	if full == 0 {
		return 0
	}
	return max(1, int(r.Progress(now)*float64(full)))
}
