package quality

import (
	"math"
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// upstreamHalfLife is the half-life of the answers in an Upstream.
const upstreamHalfLife = 1 * clock.Second

// Upstream holds decaying samples of the answers of an upstream. The zero value is ready
// for use. It is safe for concurrent use.
type Upstream struct {
	mu sync.Mutex
	// logSlowness holds Answer.LogSlowness of the accepted requests, and rejected 1 for
	// each rejection.
	logSlowness, rejected decayingMean
}

// Record adds an answer. Its slowness counts within minSlowness and maxSlowness, so that
// a single answer cannot outweigh many.
func (u *Upstream) Record(now clock.Millis, a Answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a.Rejected {
		u.rejected.add(now, 1, upstreamHalfLife)
		return
	}
	u.logSlowness.add(now, min(maxLogSlowness, max(minLogSlowness, a.LogSlowness)), upstreamHalfLife)
}

// Sample returns the recent answers. It is zero if there are none or all have decayed.
func (u *Upstream) Sample(now clock.Millis) Sample {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.logSlowness.decayTo(now, upstreamHalfLife)
	u.rejected.decayTo(now, upstreamHalfLife)
	accepted, rejected := toUnits(u.logSlowness.weight), toUnits(u.rejected.weight)
	s := Sample{Answers: accepted + rejected, Rejections: rejected}
	if accepted > 0 {
		s.LogSum = toUnits(u.logSlowness.sum)
	}
	return s
}

// toUnits converts a number to hundredths.
func toUnits(x float64) int32 { return int32(math.Round(max(-maxUnits, min(maxUnits, x*sampleUnit)))) }

// maxUnits bounds the accepted and the rejected answers of a Sample.
const maxUnits = maxSampleAnswers / 2
