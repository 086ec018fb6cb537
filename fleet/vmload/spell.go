package vmload

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// maxGap is the longest time between two updates of a spell. After a pause of the process
// it is not known whether the condition held meanwhile.
const maxGap clock.Millis = 500

// spell is the time for which a condition has held without interruption.
type spell struct {
	holds     bool
	since, at clock.Millis // at is the time of the last update
}

// update records whether the condition holds at now, and returns for how long it has
// held, 0 if it does not.
func (s *spell) update(now clock.Millis, holds bool) clock.Millis {
	if !holds || !s.holds || now-s.at > maxGap {
		s.since = now
	}
	s.holds, s.at = holds, now
	return now - s.since
}
