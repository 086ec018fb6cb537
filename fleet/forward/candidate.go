package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// class tells on which terms a candidate may get a new flow.
type class uint8

const (
	// classAnswering candidates get flows by cost alone.
	classAnswering class = iota
	// classCold candidates get flows at a limited rate.
	classCold
	// classUnconfirmed candidates get flows if no answering one is left.
	classUnconfirmed
	// classRecovering candidates get flows at the rate of cold ones, and others if no
	// answering or unconfirmed one is left.
	classRecovering
	// classSilent candidates get probing flows, and others if nothing else is left.
	classSilent
	// classAvoided candidates are treated like silent ones, since their whole failure
	// domain is lost or unreachable.
	classAvoided
)

// String returns the class as written to explanations.
func (c class) String() string {
	return [...]string{"answering", "cold", "unconfirmed", "recovering", "silent", "avoided"}[c]
}

// candidate is an upstream that is considered for a new flow.
type candidate struct {
	target *target
	// cost is in requests in flight per slot.
	cost  float64
	class class
}

// cheaper reports whether c costs less than other, which may be empty.
func (c *candidate) cheaper(other *candidate) bool { return other.target == nil || c.cost < other.cost }

// candidate returns the i-th upstream of the service with its cost and class. It
// changes nothing.
func (e *Engine) candidate(now clock.Millis, pl *placement, i int) candidate {
	t := pl.upstreams[i]
	return candidate{target: t, cost: e.cost(t, pl.long) + tieBreak(pl.hash, i), class: classOf(now, t)}
}

func classOf(now clock.Millis, t *target) class {
	if now < t.entry.ColdUntil {
		return classCold
	}
	if t.domain.avoided() { // includes domains that do not answer
		return classAvoided
	}
	c, s := t.load.health.standing(now)
	switch {
	case c != answering:
		return classSilent
	case s == recovering:
		return classRecovering
	case s == unconfirmed:
		return classUnconfirmed
	}
	return classAnswering
}
