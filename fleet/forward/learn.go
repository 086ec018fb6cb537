package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// isLost reports whether a flow that sends data is to be reset. It is if
//   - its upstream is lost to open flows, and a packet that an open flow sent since has
//     stalled as well: an upstream that was slow for a moment is taken for lost, too;
//   - the flow retransmits, and its upstream is lost to open flows;
//   - it has retransmitted for retransmitTimeout, and its upstream is lost to openings or
//     no longer published.
//
// A VM that distrusts its evidence resets no flow. Stalls of flows to other upstreams do not
// count: the flow may just have lost a datagram.
func (e *Engine) isLost(now clock.Millis, f *flow) bool {
	if !e.localHealth.trusts(now) {
		return false
	}
	h := &f.target.load.health
	unpublished := f.target.entry.Removed && now >= f.target.entry.GraceUntil
	if h.resetsAll(now, unpublished) {
		return true
	}
	if f.retransmitAt != now {
		return false
	}
	if h.resetsStalled(now, unpublished) {
		return true
	}
	timedOut := now-f.sentAt >= retransmitTimeout && e.pathAckedAt() > f.sentAt
	return timedOut && (unpublished || h.condition() == lost)
}

// observe updates the flow and the load and health of its upstream from a
// packet.
func (e *Engine) observe(now clock.Millis, f *flow, p *Packet) {
	if p.Resetting || p.Closing {
		f.end()
		return
	}
	if f.closed {
		return
	}
	f.addLoad()
	opens := !f.established()
	if opens {
		f.establishedAt = now
	}
	switch {
	case !opens && int32(p.Ack-f.ack) > 0:
		e.recordAck(now, f, p)
		if f.endAnswered() {
			e.recordAnswer(now, f, p.Ack-f.ack)
		}
	case opens && f.opened:
		e.recordAck(now, f, p)
		e.hooks.Opened(now - f.sentAt)
	}
	f.ack = p.Ack
	if p.Bytes == 0 {
		return
	}
	end := p.Seq + uint32(p.Bytes)
	if int32(end-f.seq) <= 0 {
		e.recordRetransmit(now, f, p)
		return
	}
	f.seq = end
	if !f.awaiting {
		f.awaiting = true
		f.sentAt = now
		if f.responses == 1 {
			f.route.recordLong()
		}
	}
	f.beginRequest(now)
}

// recordAck records that the upstream received the last request or opening of
// the flow: with p the caller completed the opening or advanced its acknowledgement
// number.
func (e *Engine) recordAck(now clock.Millis, f *flow, p *Packet) {
	for {
		old := e.newestAck.Load()
		if int64(f.sentAt) <= old || e.newestAck.CompareAndSwap(old, int64(f.sentAt)) {
			break
		}
	}
	if f.target.load.health.refutedBy(f.sentAt, f.stalledSentAt == f.sentAt) {
		e.distrustEvidence(now, DistrustCause{})
	}
	a := f.acknowledgement(now, p)
	before, after := f.target.load.health.recordAck(&a)
	e.reportChange(now, f.target, HealthChange{}, before, after)
	domainBefore, domainAfter := f.target.domain.recordAck(f.sentAt)
	e.reportDomainChange(now, f.target, domainBefore, domainAfter)
}

// pathAckedAt returns the sending time of the newest packet that any upstream
// is known to have received. It is not the time of the acknowledgement.
func (e *Engine) pathAckedAt() clock.Millis { return clock.Millis(e.newestAck.Load()) }

// recordRetransmit records a retransmission by the caller, which implies that
// the original was not acknowledged.
func (e *Engine) recordRetransmit(now clock.Millis, f *flow, p *Packet) {
	if now-f.sentAt < minRetransmit {
		return // out of order, or queued together with the original
	}
	pathAckedAt := e.pathAckedAt()
	// Otherwise this VM or its link may be delaying everything.
	trusted := pathAckedAt > f.sentAt && e.localHealth.trusts(now)
	if f.target.load.health.ackedSince(f.sentAt) {
		if trusted {
			f.target.load.health.recordLoss(now, f.sentAt, f.target.slowStart)
		}
		return // later packets were acknowledged, so this one was not
	}
	r := stallReport{
		sentAt: f.sentAt, open: f.established(), repeated: f.stalledSentAt == f.sentAt, upstream: f.target.load, pathAckedAt: pathAckedAt,
	}
	f.retransmitAt, f.stalledSentAt = now, f.sentAt
	before, after := f.target.load.health.recordStall(now, &r)
	e.reportChange(now, f.target, HealthChange{}, before, after)
	if trusted {
		before, after = f.target.load.health.addStall(now, Stall{Flow: uint32(keyOf(p).hash() >> 33), Open: f.established(), SentAt: f.sentAt})
		e.addSuspect(f.target)
		e.reportChange(now, f.target, HealthChange{}, before, after)
	}
	domainBefore, domainAfter := f.target.domain.recordStall(now, &r)
	e.reportDomainChange(now, f.target, domainBefore, domainAfter)
}

const (
	// minRetransmit is the time after which a repeated packet counts as a
	// retransmission by the caller.
	minRetransmit clock.Millis = 150
	// retransmitTimeout is the time without an acknowledgement after which a
	// retransmitting flow is reset if its upstream is lost or no longer published.
	// Packet loss alone is then seldom the cause, since it would have to hit two
	// packets in a row.
	retransmitTimeout clock.Millis = 500
)

// queueResets queues the stalled flows to l for PendingResets.
func (e *Engine) queueResets(l *upstreamLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lostLoads = append(e.lostLoads, l)
}

// PendingResets closes the stalled flows of upstreams that became lost since
// the last call, open ones only if stalls of open flows show that, and returns a
// packet of each to be answered with a reset. A VM that distrusts its evidence closes
// none, since even a flow that it takes for one that opens may be open.
func (e *Engine) PendingResets(now clock.Millis) (packets []Packet) {
	e.mu.Lock()
	loads := e.lostLoads
	e.lostLoads = nil
	e.mu.Unlock()
	if !e.localHealth.trusts(now) {
		return nil
	}
	for _, l := range loads {
		resetOpen := l.health.current().openLost
		for i := range e.flows.shards {
			packets = e.flows.shards[i].abortStalled(l, resetOpen, packets, e.hooks.Lost)
		}
	}
	e.Refused[UpstreamLost].Add(int64(len(packets)))
	return packets
}
