package admission

import (
	"math"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

const (
	// pressureHalfLife is the half-life of the answers that the pressure counts.
	pressureHalfLife clock.Millis = 400
	// priorAccepted is the number of accepted answers that the pressure assumes, so
	// that a single rejection on a VM with little traffic holds nothing back.
	priorAccepted = 3
)

// pressure is the share of rejections among the recent answers of a service.
type pressure struct {
	answers, rejections float64 // weights
	at                  clock.Millis
}

func (p *pressure) decayTo(now clock.Millis) {
	if now <= p.at {
		return
	}
	factor := math.Exp2(-float64(now-p.at) / float64(pressureHalfLife))
	p.answers, p.rejections, p.at = p.answers*factor, p.rejections*factor, now
}

func (p *pressure) record(now clock.Millis, rejected bool) {
	p.decayTo(now)
	p.answers++
	if rejected {
		p.rejections++
	}
}

func (p *pressure) share(now clock.Millis) float64 {
	p.decayTo(now)
	return p.rejections / (p.answers + priorAccepted)
}
