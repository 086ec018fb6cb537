package admission

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/internal/decay"
)

const (
	// pressureHalfLife is the half-life of the answers that the pressure counts.
	pressureHalfLife clock.Millis = 400
	// priorAccepted is the number of accepted answers that the pressure assumes, so
	// that a single rejection on a VM with little traffic holds nothing back.
	priorAccepted = 3
)

// pressure is the share of rejections among the recent answers of a service.
type pressure struct{ answers decay.Mean }

func (p *pressure) record(now clock.Millis, rejected bool) {
	p.answers.Add(now, float64(asInt(rejected)), pressureHalfLife)
}

func (p *pressure) share(now clock.Millis) float64 {
	p.answers.DecayTo(now, pressureHalfLife)
	return p.answers.Sum / (p.answers.Weight + priorAccepted)
}
