package retry

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

const (
	windowMillis  = 30 * clock.Second
	highestMillis = 3600 * 1000
	leastSamples  = 50
)

// Latency keeps the times of recent answers in two windows. It is safe for
// concurrent use.
type Latency struct {
	mu     sync.Mutex
	now    *hdrhistogram.Histogram
	before *hdrhistogram.Histogram
	turned clock.Millis
}

// NewLatency returns an empty record.
func NewLatency() *Latency {
	return &Latency{now: newHistogram(), before: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMillis, 2) }

// Record adds the time that an answer took.
func (l *Latency) Record(now, took clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.turned > windowMillis {
		l.before, l.now, l.turned = l.now, l.before, now
		l.now.Reset()
	}
	_ = l.now.RecordValue(int64(min(max(1, took), highestMillis)))
}

// Quantile returns the time within which the share q of recent answers came, 0
// to 1. It reports false while there are too few of them.
func (l *Latency) Quantile(q float64) (clock.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.before
	if h.TotalCount() < leastSamples {
		h = l.now
	}
	if h.TotalCount() < leastSamples {
		return 0, false
	}
	return clock.Millis(h.ValueAtQuantile(100 * q)), true
}
