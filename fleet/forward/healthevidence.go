package forward

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// addStall adds a stall seen by this VM to the shared evidence, and returns the
// state before and after.
func (h *health) addStall(now clock.Millis, stall Stall) (before, after healthState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = h.state
	if stall.SentAt > h.ackedAt {
		h.shared.prune(now, h.ackedAt)
		h.shared.add(now, stall)
	}
	h.recovery.begin(stall.SentAt, stall.SentAt, h.state.condition != answering)
	h.evaluate(now)
	return before, h.state
}

// merge merges a report of another VM into the shared evidence, and returns the
// state before and after. An acknowledgement is queued for the other VMs if this
// VM has one that is newer than a reported stall, or if a newer one in the report
// makes an upstream answering again that was not answering here.
func (h *health) merge(now, slowStart clock.Millis, s *Suspicion) (before, after healthState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = h.state
	if s.AckedAt > h.ackedAt {
		wasNotAnswering := h.state.condition != answering
		refuted := h.acked(s.AckedAt)
		h.shared.pending = h.shared.pending || wasNotAnswering && refuted
		h.shared.broadcast = h.shared.broadcast || wasNotAnswering
	}
	h.recordPeerStalls(s)
	h.recovery.recordAnswer(now, h.ackedAt, slowStart)
	h.shared.prune(now, h.ackedAt)
	for _, stall := range s.Stalls {
		if stall.SentAt <= h.ackedAt {
			h.shared.pending = true // the sender does not know of the acknowledgement
			h.shared.broadcast = h.shared.broadcast || s.Broadcast
			continue
		}
		h.shared.add(now, stall)
	}
	h.evaluate(now)
	return before, h.state
}

// recordPeerStalls records that the upstream may have restarted since the stalls that
// another VM reports, even if this VM has seen answers since and so does not take the
// stalls over. The caller must hold h.mu.
func (h *health) recordPeerStalls(s *Suspicion) {
	if len(s.Stalls) > 0 {
		reported := sharedEvidence{stalls: s.Stalls}
		h.recovery.begin(reported.oldest(), reported.newest(), len(s.Stalls) >= silentStalls)
	}
}

// evaluate updates the state from the shared evidence. The caller must hold
// h.mu.
func (h *health) evaluate(now clock.Millis) {
	n := len(h.shared.stalls)
	if n >= silentStalls {
		h.recovery.begin(h.shared.oldest(), h.shared.newest(), true)
	}
	h.state.slowStart = h.recovery.slowStart(now)
	if n >= silentStalls && h.state.condition == answering {
		h.markSilent(now)
	}
	if now-h.ackedAt < lostTimeout {
		return
	}
	if n >= lostStalls && h.state.condition == silent && now-h.shared.enoughAt >= settleDelay {
		h.state.condition = lost
	}
	if h.shared.open(now) >= lostStalls && now-h.shared.openSuspectAt >= settleDelay {
		h.markOpenLost(now)
	}
}

// reevaluate updates the state for conditions that depend on time alone, and
// returns the state before and after.
func (h *health) reevaluate(now clock.Millis) (before, after healthState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = h.state
	h.evaluate(now)
	return before, h.state
}

// takePending returns the evidence to report to other VMs, and whether there is
// any.
func (h *health) takePending() (s Suspicion, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.shared.pending {
		return s, false
	}
	s = Suspicion{AckedAt: h.ackedAt, Stalls: slices.Clone(h.shared.stalls), Broadcast: h.shared.broadcast}
	h.shared.pending = false
	h.shared.broadcast = len(h.shared.stalls) >= silentStalls
	return s, s.Broadcast || len(s.Stalls) > 0
}

// settled reports whether there is no evidence against the upstream and nothing
// to report about it.
func (h *health) settled(now clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == healthState{} && now-h.shared.newest() > stallTTL && !h.shared.pending
}
