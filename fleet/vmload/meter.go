package vmload

import (
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/internal/decay"
)

const (
	// SampleInterval is the period at which the usage is to be recorded. With 250 ms,
	// openings that passed together between two samples took a VM to 2.3 times its limit
	// at an offered load of three times the limit, and to 1.4 times with 50 ms.
	SampleInterval clock.Millis = 50
	// halfLife is the time after which a change of the usage shows by half.
	halfLife clock.Millis = 500
	// bitsPerMilli is the number of bits per millisecond in one megabit per second.
	bitsPerMilli = 1000
)

// Usage is what a process has used since its start.
type Usage struct {
	ReceivedBytes, SentBytes int64
	// Processor is the processor time. It is finer than milliseconds, since a small VM
	// uses only a few of them between two samples.
	Processor time.Duration
}

// Meter computes the utilization of a VM. It is not safe for concurrent use.
type Meter struct {
	limits           Limits
	last             Usage
	at               clock.Millis // of last
	recorded         bool
	link, processing float64
}

// NewMeter returns a meter of a VM with the given limits.
func NewMeter(limits Limits) *Meter { return &Meter{limits: limits} }

// Record records the usage at now. The first call sets the start of the measurement.
func (m *Meter) Record(now clock.Millis, u Usage) {
	elapsed := float64(now - m.at)
	if m.recorded && elapsed <= 0 {
		return
	}
	if m.recorded {
		// Links are full duplex, so the busier direction counts.
		bytes := max(u.ReceivedBytes-m.last.ReceivedBytes, u.SentBytes-m.last.SentBytes)
		used := float64(u.Processor-m.last.Processor) / float64(time.Millisecond)
		weight := 1 - decay.Factor(now-m.at, halfLife)
		m.link += weight * (share(8*float64(bytes)/elapsed, m.limits.LinkMbps*bitsPerMilli) - m.link)
		m.processing += weight * (share(used/elapsed, m.limits.Cores) - m.processing)
	}
	m.last, m.at, m.recorded = u, now, true
}

// share returns the share of a limit that is used, 0 if the limit is absent.
func share(used, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return used / limit
}

// Utilization returns the used share of the limit that is closest to being reached. It
// is above 1 if a limit is exceeded.
func (m *Meter) Utilization() float64 { return max(m.link, m.processing) }
