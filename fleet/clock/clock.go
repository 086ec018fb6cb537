package clock

import (
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

// Clock tells the current time. Now must be safe for concurrent use.
type Clock struct {
	Now func() Millis
}

// System returns a clock that starts at the machine's wall time and advances
// with the monotonic clock, so that it never jumps back.
func System() Clock {
	start := time.Now()
	base := Millis(start.UnixMilli())
	return Clock{Now: func() Millis { return base + FromDuration(time.Since(start)) }}
}

// Manual is a clock that tests advance by hand.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a manual clock that stands at start.
func NewManual(start Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Clock returns the view of m that code under test reads.
func (m *Manual) Clock() Clock {
	return Clock{Now: func() Millis { return Millis(m.now.Load()) }}
}

// Advance moves m forward by d and returns the new time.
func (m *Manual) Advance(d Millis) Millis { return Millis(m.now.Add(int64(d))) }
