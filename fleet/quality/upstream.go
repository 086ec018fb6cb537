package quality

import (
	"math"
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/internal/decay"
)

// upstreamHalfLife is the half-life of the answers in an Upstream.
const upstreamHalfLife = 1 * clock.Second

// Upstream holds decaying samples of the answers of an upstream. The zero value is ready
// for use. It is safe for concurrent use.
type Upstream struct {
	mu sync.Mutex
	// logSlowness holds Answer.LogSlowness of the accepted requests, and rejected 1 for
	// each rejection.
	logSlowness, rejected decay.Mean
}

// Record adds an answer. Its slowness counts within minSlowness and maxSlowness, so that
// a single answer cannot outweigh many.
func (u *Upstream) Record(now clock.Millis, a Answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a.Rejected {
		u.rejected.Add(now, 1, upstreamHalfLife)
		return
	}
	u.logSlowness.Add(now, min(maxLogSlowness, max(minLogSlowness, a.LogSlowness)), upstreamHalfLife)
}

// Sample returns the recent answers. It is zero if there are none or all have decayed.
func (u *Upstream) Sample(now clock.Millis) Sample {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.logSlowness.DecayTo(now, upstreamHalfLife)
	u.rejected.DecayTo(now, upstreamHalfLife)
	accepted, rejected := toUnits(u.logSlowness.Weight), toUnits(u.rejected.Weight)
	s := Sample{Answers: accepted + rejected, Rejections: rejected}
	if accepted > 0 {
		s.LogSum = toUnits(u.logSlowness.Sum)
	}
	return s
}

// toUnits converts a number to hundredths.
func toUnits(x float64) int32 { return int32(math.Round(max(-maxUnits, min(maxUnits, x*sampleUnit)))) }

// maxUnits bounds the accepted and the rejected answers of a Sample.
const maxUnits = maxSampleAnswers / 2
