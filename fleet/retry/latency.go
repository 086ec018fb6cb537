package retry

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

const (
	windowMillis     = 30 * clock.Second
	maxLatencyMillis = 3600 * 1000
	minSamples       = 50 // below which a quantile is not used
)

// Latency keeps histograms of response times for the current and the previous
// window of windowMillis. It is safe for concurrent use.
type Latency struct {
	mu        sync.Mutex
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	rotatedAt clock.Millis
}

// NewLatency returns a Latency without samples.
func NewLatency() *Latency {
	return &Latency{current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMillis, 2) }

// Record adds the response time of a request. Values outside 1 ms to 1 h are
// clamped.
func (l *Latency) Record(now, latency clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.rotatedAt > windowMillis {
		l.previous, l.current, l.rotatedAt = l.current, l.previous, now
		l.current.Reset()
	}
	_ = l.current.RecordValue(int64(min(max(1, latency), maxLatencyMillis)))
}

// Quantile returns the q-quantile of recent response times in milliseconds, for
// q from 0 to 1. It takes the previous window if that has enough samples, and
// the current one otherwise. It returns false if neither has enough.
func (l *Latency) Quantile(q float64) (clock.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.previous
	if h.TotalCount() < minSamples {
		h = l.current
	}
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return clock.Millis(h.ValueAtQuantile(100 * q)), true
}
