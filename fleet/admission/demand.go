package admission

import (
	"maps"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/internal/decay"
)

const (
	// demandHalfLife is the half-life of the answers that the demand counts.
	demandHalfLife = 2 * clock.Second
	// considerableDemand is the part of all answers from which on a priority keeps
	// lower ones back. Monitoring probes of a high priority are fewer.
	considerableDemand = 0.05
)

// demand counts the recent answers of a service by priority.
type demand struct {
	answers map[catalog.Priority]float64 // weights at the time of at
	at      clock.Millis
}

func (d *demand) decayTo(now clock.Millis) {
	if now <= d.at {
		return
	}
	factor := decay.Factor(now-d.at, demandHalfLife)
	for p := range d.answers {
		d.answers[p] *= factor
	}
	d.at = now
}

func (d *demand) record(now clock.Millis, p catalog.Priority) {
	d.decayTo(now)
	if d.answers == nil {
		d.answers = make(map[catalog.Priority]float64)
	}
	d.answers[p]++
}

// highest returns the highest priority that has a considerable part of the answers. ok
// is false without answers.
func (d *demand) highest(now clock.Millis) (p catalog.Priority, ok bool) {
	d.decayTo(now)
	total := 0.0
	for _, n := range d.answers {
		total += n
	}
	for _, p := range slices.Sorted(maps.Keys(d.answers)) {
		if d.answers[p] > considerableDemand*total {
			return p, true
		}
	}
	return 0, false
}
