package forward

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// ranking holds the cheapest candidates for a new flow. The target of a candidate is
// nil if there is none.
type ranking struct {
	answering, cold, unconfirmed candidate
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

// usual returns the upstream of a flow that is neither a probe nor subject to slow start, or
// nil if there is none: the cheapest answering one, otherwise the cheapest unconfirmed one.
func (r *ranking) usual() *target {
	if r.answering.target != nil {
		return r.answering.target
	}
	return r.unconfirmed.target
}

// prefersCold reports whether the cheapest cold candidate goes before all others, if
// its rate permits.
func (r *ranking) prefersCold() bool {
	return r.cold.target != nil && r.cold.cheaper(&r.answering)
}
