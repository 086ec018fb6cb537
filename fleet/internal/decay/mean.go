package decay

import (
	"math"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// Factor returns the part of its weight that a sample keeps over a time that is not
// negative.
func Factor(elapsed, halfLife clock.Millis) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// Mean is a mean of samples that decay. The zero value holds none. It is not safe for
// concurrent use.
type Mean struct {
	// Weight is the number of samples and Sum that of their values, both decayed.
	Weight, Sum float64
	at          clock.Millis
}

// DecayTo reduces the weight of all samples to that at now.
func (m *Mean) DecayTo(now, halfLife clock.Millis) {
	if now <= m.at {
		return
	}
	factor := Factor(now-m.at, halfLife)
	m.Weight, m.Sum, m.at = m.Weight*factor, m.Sum*factor, now
}

// Add adds a sample of weight 1.
func (m *Mean) Add(now clock.Millis, value float64, halfLife clock.Millis) {
	m.DecayTo(now, halfLife)
	m.Weight++
	m.Sum += value
}

// Mean returns the mean, 0 if there are no samples.
func (m *Mean) Mean() float64 {
	if m.Weight == 0 {
		return 0
	}
	return m.Sum / m.Weight
}
