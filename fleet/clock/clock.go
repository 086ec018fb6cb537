package clock

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"
)

// Millis is a point in time, in milliseconds since the Unix epoch, or a
// duration in milliseconds.
type Millis int64

// Second is the number of milliseconds in a second.
const Second Millis = 1000

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds returns m in seconds.
func (m Millis) Seconds() float64 { return float64(m) / float64(Second) }

// FromDuration converts d to milliseconds, rounding towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// maxMillis is the largest value that Duration can convert, about 292 years.
const maxMillis = Millis(math.MaxInt64 / time.Millisecond)

// FromFloat converts a number of milliseconds, rounding towards zero. It returns an
// error if the number is NaN or beyond about 292 years, for which Go's conversion to
// an integer depends on the processor.
func FromFloat(millis float64) (Millis, error) {
	if math.IsNaN(millis) || math.Abs(millis) > float64(maxMillis) {
		return 0, fmt.Errorf("clock: %g ms is out of range", millis)
	}
	return Millis(millis), nil
}

// Clock is a source of the current time. Now must be safe for concurrent use.
type Clock struct {
	Now func() Millis
}

// System returns a clock that starts at the wall time of the host and advances with
// the monotonic clock, so that it never goes back.
func System() Clock {
	start := time.Now()
	base := Millis(start.UnixMilli())
	return Clock{Now: func() Millis { return base + FromDuration(time.Since(start)) }}
}

// Manual is a clock for tests that only Advance moves. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a manual clock set to start.
func NewManual(start Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Clock returns a Clock that reads m.
func (m *Manual) Clock() Clock {
	return Clock{Now: func() Millis { return Millis(m.now.Load()) }}
}

// Advance moves m forward by d and returns the new time.
func (m *Manual) Advance(d Millis) Millis { return Millis(m.now.Add(int64(d))) }
