package emulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
)

// unequalFleet has 80 VMs and 120 upstreams, and 1,288 requests per second at rate 1.
func unequalFleet(s Setup, rate float64) (sim *Simulation, loads []*Load) {
	s.Seed, s.Slots, s.QueueCapacity, s.NoLoadGossip = 1, 2, max(8, s.QueueCapacity), true
	s.Domains = []Domain{{"a", 20, 30}, {"b", 20, 30}, {"c", 20, 30}, {"d", 20, 30}}
	sim = New(s)
	for _, d := range s.Domains {
		long, short := longLivedLoad(d.Name), shortLivedLoad(d.Name)
		long.Callers, long.ServiceTime, long.LatencyTarget, long.Deadline = int(250*rate), LongTail(26, 0.03, 7), 400, 2500
		short.Callers, short.ServiceTime, short.LatencyTarget, short.Deadline = int(72*rate), LongTail(33, 0.03, 7), 500, 3000
		sim.Start(long)
		sim.Start(short)
		loads = append(loads, long, short)
	}
	return sim, loads
}

// TestQualityUnderLoad guards against requests that are late or rejected since VMs place
// flows on slow upstreams, also by samples 2 s old, and against decisions that change
// although the upstreams are equal and reject nothing.
func TestQualityUnderLoad(t *testing.T) {
	t.Parallel()
	speeds := []float64{0.55, 1.2, 1.2, 1.2}
	for name, tt := range map[string]struct {
		setup           Setup
		rate            float64
		maxP99, maxShed float64 // relative to those without quality
		same            bool    // whether the results are those without quality
	}{
		"equal, nothing rejected":      {Setup{QueueCapacity: 1000}, 2, 1, 1, true},
		"equal, overloaded":            {Setup{}, 6, 1.1, 1.1, false},
		"unequal":                      {Setup{Speeds: speeds}, 3, 0.75, 0.1, false},
		"unequal, overloaded":          {Setup{Speeds: speeds}, 6, 0.85, 0.85, false},
		"unequal, old samples":         {Setup{Speeds: speeds, SampleDelay: 2000}, 6, 0.9, 0.9, false},
		"unequal, nothing is rejected": {Setup{Speeds: speeds, QueueCapacity: 1000}, 3, 1, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play := func(ignore bool) (onTime, p99, shed float64) {
				tt.setup.Policy = forward.DefaultPolicy()
				tt.setup.Policy.IgnoreQuality = ignore
				sim, loads := unequalFleet(tt.setup, tt.rate)
				onTime = onTimeShare(window(sim, loads, 6000, 14_000))
				return onTime, float64(Percentile(loads, 0.99)), float64(sim.Shed())
			}
			onTime, p99, shed := play(false)
			onTime0, p990, shed0 := play(true) // without quality
			t.Logf("on time %.4f, p99 %v ms, %v rejected; without quality %.4f, %v ms, %v", onTime, p99, shed, onTime0, p990, shed0)
			assert.Assert(t, onTime >= onTime0-0.005 && p99 <= tt.maxP99*p990 && shed <= tt.maxShed*shed0)
			assert.Assert(t, !tt.same || onTime == onTime0 && p99 == p990)
		})
	}
}

// TestChangingUpstream guards against an upstream that keeps its flows for 3 s after it
// turned slow or began to fail, that attracts flows since it fails at once, or that
// stays out of use after it recovered.
func TestChangingUpstream(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		rate, speed float64
		failing     bool
	}{"slow": {2, 0.25, false}, "fails": {2, 1, true}, "fails while others are busy": {5, 1, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim, _ := unequalFleet(Setup{Policy: forward.DefaultPolicy()}, tt.rate)
			u := sim.Upstreams[1]
			sim.At(8000, func() { u.Speed, u.Failing = tt.speed, tt.failing })
			sim.At(15_000, func() { u.Speed, u.Failing = 1, false })
			sim.Run(24_000)
			before, first := u.OpeningShare(4000, 8000), u.OpeningShare(8000, 11_000)
			later, recovered := u.OpeningShare(11_000, 15_000), u.OpeningShare(18_000, 24_000)
			t.Logf("share of openings: %.2f before, %.2f in the first 3 s, %.2f later, %.2f after recovery", before, first, later, recovered)
			assert.Assert(t, first <= 1 && later <= 0.5*before && recovered >= 0.5*before)
		})
	}
}
