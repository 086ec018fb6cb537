package vmload

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// spell is the time for which a condition has held without interruption.
type spell struct {
	holds bool
	since clock.Millis
}

// update records whether the condition holds at now, and returns for how long it has
// held, 0 if it does not.
func (s *spell) update(now clock.Millis, holds bool) clock.Millis {
	if !holds || !s.holds {
		s.holds, s.since = holds, now
	}
	return now - s.since
}
