package forward

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// sharedEvidence is the evidence about an upstream merged from all VMs of the
// failure domain. It is guarded by the mutex of health.
type sharedEvidence struct {
	stalls []Stall
	// enoughAt is when this VM learned of enough stalls to count the upstream as
	// lost, and openSuspectAt when it learned that two open flows stalled.
	enoughAt, openSuspectAt clock.Millis
	// pending is set if there is evidence to report, and broadcast if all VMs
	// of the failure domain need it.
	broadcast, pending bool
}

// add adds a stall unless it is expired or its flow is known already. Of each kind it
// keeps the newest maxStalls.
func (s *sharedEvidence) add(now clock.Millis, stall Stall) {
	if now-stall.SentAt > stallTTL {
		return
	}
	sameKind, oldest := 0, -1
	for i, known := range s.stalls {
		if known.Flow == stall.Flow {
			return
		}
		if known.Open != stall.Open {
			continue
		}
		sameKind++
		if oldest < 0 || known.SentAt < s.stalls[oldest].SentAt {
			oldest = i
		}
	}
	if sameKind < maxStalls {
		s.stalls = append(s.stalls, stall)
	} else if stall.SentAt > s.stalls[oldest].SentAt {
		s.stalls[oldest] = stall
	} else {
		return
	}
	if len(s.stalls) == lostStalls {
		s.enoughAt = now
	}
	if stall.Open && sameKind+1 == silentStalls {
		s.openSuspectAt = now
	}
	s.pending = true
	s.broadcast = s.broadcast || len(s.stalls) >= silentStalls
}

// open returns the number of stalled flows that are open, without expired stalls.
func (s *sharedEvidence) open(now clock.Millis) (n int) {
	for _, stall := range s.stalls {
		if stall.Open && now-stall.SentAt <= stallTTL {
			n++
		}
	}
	return n
}

// oldest returns the sending time of the oldest stalled packet, 0 if there is none.
func (s *sharedEvidence) oldest() (at clock.Millis) {
	for i, stall := range s.stalls {
		if i == 0 || stall.SentAt < at {
			at = stall.SentAt
		}
	}
	return at
}

// newest returns the sending time of the newest stalled packet, 0 if there is
// none.
func (s *sharedEvidence) newest() (at clock.Millis) {
	for _, stall := range s.stalls {
		at = max(at, stall.SentAt)
	}
	return at
}

// newestOpen returns the sending time of the newest stalled packet of an open flow,
// 0 if there is none.
func (s *sharedEvidence) newestOpen() (at clock.Millis) {
	for _, stall := range s.stalls {
		if stall.Open {
			at = max(at, stall.SentAt)
		}
	}
	return at
}

// dropOlder removes the stalls on packets sent before ackedAt, and reports whether
// there were any.
func (s *sharedEvidence) dropOlder(ackedAt clock.Millis) bool {
	before := len(s.stalls)
	s.stalls = slices.DeleteFunc(s.stalls, func(stall Stall) bool { return stall.SentAt < ackedAt })
	return len(s.stalls) < before
}

// prune removes the stalls on packets sent no later than ackedAt, and those
// older than stallTTL.
func (s *sharedEvidence) prune(now, ackedAt clock.Millis) {
	kept := s.stalls[:0]
	for _, stall := range s.stalls {
		if stall.SentAt > ackedAt && now-stall.SentAt <= stallTTL {
			kept = append(kept, stall)
		}
	}
	s.stalls = kept
}
