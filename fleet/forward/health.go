package forward

import (
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

const (
	// silentStalls is the number of stalled flows after which an upstream
	// counts as silent. A single lost datagram stalls only one flow.
	silentStalls = 2
	// An upstream counts as lost after lostStalls stalled flows and lostTimeout
	// since the sending of the newest packet that was acknowledged.
	lostStalls               = 3
	lostTimeout clock.Millis = 250
	// confirmationTTL is how long a stall on a packet sent after an upstream was
	// lost shows that it still does not answer open flows. The next packets are
	// then forwarded again as trials.
	confirmationTTL clock.Millis = 1500
)

// condition tells how the flows of an upstream or of a failure domain fare.
type condition uint8

const (
	// answering upstreams get new flows.
	answering condition = iota
	// silent upstreams get no new flows except probes.
	silent
	// lost upstreams have their stalled openings reset.
	lost
)

// String returns the condition as written to logs.
func (c condition) String() string { return [...]string{"answering", "silent", "lost"}[c] }

// healthState is the state of an upstream.
type healthState struct {
	// condition follows from all stalled flows, and decides about new flows.
	condition condition
	// openLost is set if open flows are not answered either. It follows from open
	// flows alone, since an upstream that is full ignores openings.
	openLost bool
	// slowStart is set while the upstream answers again after a silence in which it may
	// have restarted.
	slowStart bool
}

// becameLost reports whether stalled flows are to be reset since a change from before
// to s.
func (s healthState) becameLost(before healthState) bool {
	return s.condition == lost && before.condition != lost || s.openLost && !before.openLost
}

// health tracks by passive checks whether an upstream answers (outlier ejection).
type health struct {
	mu      sync.Mutex
	ackedAt clock.Millis // sending time of the newest acknowledged packet
	// stalled counts the flows that stalled on packets sent after ackedAt, and
	// openStalled the open ones among them.
	stalled, openStalled stallCount
	state                healthState
	openLostAt           clock.Millis // when state.openLost was set
	probes               probeSchedule
	// shared is the evidence merged with that of other VMs.
	shared sharedEvidence
	// recovery is that from the last silence.
	recovery recovery
}

// recordAck records an acknowledgement, and returns the state before and after. It clears
// the stalls of open flows only if the answered packet was sent later than all of these,
// and all stalls only if it was sent later than any: an answer to an earlier packet does
// not show that the upstream still answers.
func (h *health) recordAck(a *acknowledgement) (before, after healthState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = h.state
	if refuted := h.acked(a.sentAt); refuted && before.condition != answering {
		h.shared.pending, h.shared.broadcast = true, true
	}
	h.recovery.recordAnswer(a.seenAt, a.sentAt, a.slowStart)
	h.recovery.recordProgress(a.establishedAt, a.aliveAt)
	h.state.slowStart = h.recovery.slowStart(a.seenAt)
	return before, h.state
}

// forgetStalls clears the evidence of packets sent before now. It does not show that the
// upstream answers.
func (h *health) forgetStalls(now clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acked(now)
}

// refutedBy reports whether an acknowledgement of a packet sent at sentAt refutes the
// stalls of two open flows or more that this VM saw, since it is one of a later packet
// or, if stalled is set, of one of these flows: they were slow, not lost.
func (h *health) refutedBy(sentAt clock.Millis, stalled bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.openStalled.flows >= silentStalls && (stalled || sentAt > h.openStalled.sentAt)
}

// acked clears the stalls that an answer to a packet sent at sentAt contradicts, and
// reports whether there were any. The caller must hold h.mu.
func (h *health) acked(sentAt clock.Millis) (refuted bool) {
	before := h.state
	h.ackedAt = max(h.ackedAt, sentAt)
	refuted = h.shared.dropOlder(sentAt)
	if sentAt > h.openStalled.sentAt && sentAt > h.shared.newestOpen() {
		h.openStalled, h.state.openLost = stallCount{}, false
	}
	if sentAt > h.stalled.sentAt && len(h.shared.stalls) == 0 {
		h.stalled = stallCount{}
		h.state.condition = answering
		h.probes.stop()
	}
	return refuted || h.state != before
}

// markSilent stops new flows except probes. The caller must hold h.mu.
func (h *health) markSilent(now clock.Millis) {
	h.state.condition = silent
	h.probes.start(now)
}

// markOpenLost records that open flows are not answered. The caller must hold h.mu.
func (h *health) markOpenLost(now clock.Millis) {
	if h.state.openLost {
		return
	}
	h.state.openLost = true
	h.openLostAt = now
}

// recordStall records a stall, and returns the state before and after.
func (h *health) recordStall(now clock.Millis, r *stallReport) (before, after healthState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = h.state
	if r.sentAt < h.ackedAt {
		return before, before
	}
	h.stalled.add(r)
	if r.open {
		h.recordOpenStall(now, r)
	}
	if h.stalled.flows >= silentStalls && h.state.condition == answering {
		h.markSilent(now)
	}
	if h.stalled.isLost(now, h.ackedAt, r.pathAckedAt) {
		h.state.condition = lost
	}
	return before, h.state
}

// recordOpenStall records a stall of an open flow. It does not count together with
// those more than stallTTL older. The caller must hold h.mu.
func (h *health) recordOpenStall(now clock.Millis, r *stallReport) {
	if r.sentAt-h.newestOpenStall() > stallTTL {
		h.openStalled, h.state.openLost = stallCount{}, false
	}
	h.openStalled.add(r)
	if h.openStalled.isLost(now, h.ackedAt, r.pathAckedAt) {
		h.markOpenLost(now)
	}
}

// ackedSince reports whether a packet sent after sentAt was acknowledged.
func (h *health) ackedSince(sentAt clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sentAt < h.ackedAt
}

// resetsStalled reports whether open flows that retransmit are to be reset. For an
// upstream that is still published the newest stall of an open flow must be no older
// than stallTTL, since the upstream may answer other VMs again.
func (h *health) resetsStalled(now clock.Millis, unpublished bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.openLost && (unpublished || now-h.newestOpenStall() <= stallTTL)
}

// resetsAll reports whether all open flows that send data are to be reset: a packet
// of an open flow that was sent after they were lost has stalled, too, and not long
// ago.
func (h *health) resetsAll(now clock.Millis, unpublished bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.newestOpenStall()
	return h.state.openLost && newest > h.openLostAt && (unpublished || now-newest <= confirmationTTL)
}

// newestOpenStall returns the sending time of the newest packet of an open flow that
// stalled, 0 if there is none. The caller must hold h.mu.
func (h *health) newestOpenStall() clock.Millis {
	return max(h.openStalled.sentAt, h.shared.newestOpen())
}

// current returns the current state.
func (h *health) current() healthState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// standing returns the condition, and the standing of an upstream that answers.
func (h *health) standing(now clock.Millis) (c condition, s standing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.condition, h.recovery.standing(now)
}

// recordLoss records that a packet sent at sentAt stalled although a later one was
// acknowledged: it was lost on its way, or the upstream restarted in between.
func (h *health) recordLoss(now, sentAt, slowStart clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recovery.begin(sentAt, sentAt, false)
	h.recovery.recordAnswer(now, h.ackedAt, slowStart)
}

// condition returns the current condition.
func (h *health) condition() condition { return h.current().condition }

// probeDue reports whether a probing flow is due.
func (h *health) probeDue(now clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.probes.due(now)
}

// takeProbe reports whether a probing flow is due, and if so schedules the next one.
func (h *health) takeProbe(now clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.probes.take(now)
}
