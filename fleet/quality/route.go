package quality

import (
	"math"
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/internal/decay"
)

const (
	// rejectionSizeRatio is the size of an answer, relative to the usual size on its
	// route, below which the answer counts as a rejection.
	rejectionSizeRatio = 1.0 / 3
	// sizeSmoothing is the weight of the newest answer in the usual size.
	sizeSmoothing = 0.02
	// sizeTimeout is the time without an answer of the usual size after which shorter ones
	// become the usual ones, as after a new release of the service.
	sizeTimeout = 30 * clock.Second
	// routeHalfLife is the half-life of the samples in the recent time of answers.
	routeHalfLife = 1 * clock.Second
)

// Route learns the usual size and the recent time of the answers of a route. The zero
// value is ready for use. It is safe for concurrent use.
type Route struct {
	mu sync.Mutex
	// logSize is the logarithm of the usual size in bytes, 0 before the first answer.
	logSize float64
	usualAt clock.Millis // when the last answer that was no rejection came
	// time is the mean of the logarithm of the time of answers in milliseconds.
	time decay.Mean
}

// Answer is what an answer tells about its upstream.
type Answer struct {
	// Rejected is set if the upstream rejected the request or failed.
	Rejected bool
	// LogSlowness is the natural logarithm of the time of the answer relative to the
	// recent time of its route. It is 0 for a rejection.
	LogSlowness float64
}

// Record classifies an answer that came took after its request, and learns from it.
// bytes is the size of the part of the answer that was acknowledged first.
func (r *Route) Record(now, took clock.Millis, bytes uint32) (a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	logSize := math.Log(float64(max(1, bytes)))
	if r.logSize == 0 || now-r.usualAt > sizeTimeout {
		r.logSize = logSize
	}
	if logSize < r.logSize+math.Log(rejectionSizeRatio) {
		return Answer{Rejected: true}
	}
	r.usualAt = now
	r.logSize += sizeSmoothing * (logSize - r.logSize)
	logTime := math.Log(float64(max(1, took)))
	r.time.Add(now, logTime, routeHalfLife)
	return Answer{LogSlowness: logTime - r.time.Mean()}
}
