package quality

import (
	"math"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// decayingMean is a mean whose samples lose weight exponentially with their age.
type decayingMean struct {
	weight, sum float64
	at          clock.Millis
}

// decayTo reduces the weight of all samples to that at now.
func (m *decayingMean) decayTo(now, halfLife clock.Millis) {
	if now <= m.at {
		return
	}
	factor := math.Exp2(-float64(now-m.at) / float64(halfLife))
	m.weight, m.sum, m.at = m.weight*factor, m.sum*factor, now
}

// add adds a sample of weight 1.
func (m *decayingMean) add(now clock.Millis, value float64, halfLife clock.Millis) {
	m.decayTo(now, halfLife)
	m.weight++
	m.sum += value
}

// mean returns the mean, 0 if there are no samples.
func (m *decayingMean) mean() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}
