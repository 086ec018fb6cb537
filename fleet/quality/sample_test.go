package quality

import (
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// TestSlowness guards against upstreams that lose flows although they are like the others,
// and against slow ones that go unnoticed or that stay out of use after they recovered.
func TestSlowness(t *testing.T) {
	for name, tt := range map[string]struct {
		answers            []Answer
		plain, significant float64 // Slowness and SignificantSlowness
	}{
		"one of seven times": {[]Answer{{LogSlowness: math.Log(7)}}, 2.651, 1},
		"a long tail":        {append(slices.Repeat([]Answer{{}}, 97), slices.Repeat([]Answer{{LogSlowness: math.Log(7)}}, 3)...), 1.059, 1},
		"speed 1.2":          {slices.Repeat([]Answer{{LogSlowness: -math.Log(1.2)}}, 100), 1, 1},
		"speed 0.55":         {slices.Repeat([]Answer{{LogSlowness: -math.Log(0.55)}}, 100), 1.807, 1.3},
		"four times as slow": {slices.Repeat([]Answer{{LogSlowness: math.Log(4)}}, 20), 3.745, 2.856},
		"all rejected":       {slices.Repeat([]Answer{{Rejected: true}}, 20), 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var u Upstream
			var parts Sample // the same answers, in reverse order and each as a sample by itself
			for i, a := range tt.answers {
				var single Upstream
				u.Record(1000, a)
				single.Record(1000, tt.answers[len(tt.answers)-1-i])
				parts = single.Sample(1000).Add(parts)
			}
			s := u.Sample(1000)
			assert.Assert(t, s.Valid() && parts.Valid() && parts.Rejections == s.Rejections && math.Abs(parts.Slowness()-s.Slowness()) < 0.05)
			assert.Assert(t, math.Abs(s.Slowness()-tt.plain) < 0.001 && math.Abs(s.SignificantSlowness()-tt.significant) < 0.001, "%v %v", s.Slowness(), s.SignificantSlowness())
			for now, last := clock.Millis(1000), math.Inf(1); now <= 16_000; now += 250 {
				cost := u.Sample(now).Slowness() + u.Sample(now).RejectedShare()
				assert.Assert(t, cost <= last+0.01 && last-cost < 2 || math.IsInf(last, 1))
				last = cost
			}
			assert.Equal(t, u.Sample(16_000), Sample{})
		})
	}
}
