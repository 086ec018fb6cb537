package forward

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// ranking holds the cheapest candidates for a new flow. The target of a candidate is
// nil if there is none.
type ranking struct {
	answering, unconfirmed, recovering candidate
	// cold is the cheapest candidate, cold or recovering, whose rate of new flows is limited.
	cold candidate
	// silent is the cheapest silent or avoided candidate.
	silent candidate
	// probeDue is set if a silent or avoided candidate is due for a probe.
	probeDue bool
}

// ranked returns the ranking of the upstreams for pl, which is computed at most once.
func (e *Engine) ranked(now clock.Millis, pl *placement) *ranking {
	if !pl.hasRanking {
		pl.ranking, pl.hasRanking = e.rank(now, pl), true
	}
	return &pl.ranking
}

// rank ranks the upstreams that a new flow may go to. It changes nothing.
func (e *Engine) rank(now clock.Millis, pl *placement) (r ranking) {
	for i, t := range pl.upstreams {
		if !pl.admits(now, t) {
			continue
		}
		c := e.candidate(now, pl, i)
		best := &r.answering
		switch c.class {
		case classCold:
			best = &r.cold
		case classUnconfirmed:
			best = &r.unconfirmed
		case classRecovering:
			best = &r.recovering
			if c.cheaper(&r.cold) {
				r.cold = c
			}
		case classSilent, classAvoided:
			best = &r.silent
			r.probeDue = r.probeDue || probeDue(now, t)
		case classAnswering:
		}
		if c.cheaper(best) {
			*best = c
		}
	}
	return r
}

// usual returns the cheapest upstream that is known to answer and gets flows at any rate, or
// nil if there is none. If all of a service were silent, their path is more likely to have
// failed than that all have restarted, so recovering ones are used rather than none.
func (r *ranking) usual() *target {
	for _, c := range [...]*candidate{&r.answering, &r.unconfirmed, &r.recovering} {
		if c.target != nil {
			return c.target
		}
	}
	return nil
}

// prefersCold reports whether the cheapest cold candidate goes before all others, if
// its rate permits.
func (r *ranking) prefersCold() bool {
	return r.cold.target != nil && r.cold.cheaper(&r.answering)
}
