package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// isLost reports whether a flow that sends data is given up: nothing answers
// on its upstream, or the flow itself sends again and nothing answers in the
// whole failure domain, or the upstream is no longer published. A flow of an
// upstream that was not found lost may only have come upon others that are.
func (e *Engine) isLost(now clock.Millis, f *flow) bool {
	unpublished := f.target.entry.Removed && now >= f.target.entry.GraceUntil
	if f.target.load.health.givesUp(now, unpublished) {
		return true
	}
	gone := unpublished && now-f.sentAt >= goneAfter
	return f.stallAt == now && e.pathProved() > f.sentAt && (gone || f.target.domain.condition() == lost)
}

// learn updates the flow and its upstream's load and health from a packet.
func (e *Engine) learn(now clock.Millis, f *flow, p *Packet) {
	if p.Resetting || p.Closing {
		f.end()
		return
	}
	if f.closed {
		return
	}
	f.count()
	switch {
	case f.linked && int32(p.Ack-f.ack) > 0:
		e.proved(now, f)
		if f.answered() {
			e.seams.Answered(now - f.sentAt)
		}
	case !f.linked && f.opened:
		e.proved(now, f)
		e.seams.Opened(now - f.sentAt)
	}
	f.linked = true
	f.ack = p.Ack
	if p.Bytes == 0 {
		return
	}
	end := p.Seq + uint32(p.Bytes)
	if int32(end-f.seq) <= 0 {
		e.repeated(now, f, p)
		return
	}
	f.seq = end
	if !f.asked {
		f.asked = true
		f.sentAt = now
		if f.answers == 1 {
			f.route.repeated()
		}
	}
	f.begin(now)
}

// proved takes note of a sign that the flow's upstream has what the flow sent
// last: the caller completed the opening, or acknowledged more.
func (e *Engine) proved(now clock.Millis, f *flow) {
	for {
		old := e.arrived.Load()
		if int64(f.sentAt) <= old || e.arrived.CompareAndSwap(old, int64(f.sentAt)) {
			break
		}
	}
	before, after := f.target.load.health.answered(f.sentAt)
	e.report(now, f.target, HealthChange{}, before, after)
	before, after = f.target.domain.answered(f.sentAt)
	e.report(now, f.target, HealthChange{WholeDomain: true}, before, after)
}

// pathProved returns when the newest thing was sent that arrived anywhere.
func (e *Engine) pathProved() clock.Millis { return clock.Millis(e.arrived.Load()) }

// repeated takes note that the caller sent something again, which it does
// without an acknowledgement.
func (e *Engine) repeated(now clock.Millis, f *flow, p *Packet) {
	if now-f.sentAt < repeatAfter {
		return // out of order, or queued with the first one
	}
	if f.target.load.health.answeredSince(f.sentAt) {
		return // others were answered since: this was lost on its way
	}
	path := e.pathProved()
	counted := f.stalledSent == f.sentAt
	f.stallAt, f.stalledSent = now, f.sentAt
	before, after := f.target.load.health.stall(now, f.sentAt, path, counted, f.target.load, 1)
	e.report(now, f.target, HealthChange{}, before, after)
	if path > f.sentAt { // else this VM's own link may hold all up
		before, after = f.target.load.health.tell(now, Stall{Flow: uint32(keyOf(p).hash()), SentAt: f.sentAt})
		e.suspect(f.target)
		e.report(now, f.target, HealthChange{}, before, after)
	}
	before, after = f.target.domain.stall(now, f.sentAt, path, counted, f.target.load, 2)
	e.report(now, f.target, HealthChange{WholeDomain: true}, before, after)
}

const (
	// repeatAfter is the least time after which a caller sends something again.
	repeatAfter clock.Millis = 150
	// goneAfter is how long a flow must wait for an upstream that is no longer
	// published: two packets in a row are seldom lost.
	goneAfter clock.Millis = 500
)

func (e *Engine) giveUp(l *upstreamLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given = append(e.given, l)
}

// PendingResets returns the packets to be answered with a reset: those of the flows
// that were seen to wait in vain for an upstream just found lost.
func (e *Engine) PendingResets() (packets []Packet) {
	e.mu.Lock()
	given := e.given
	e.given = nil
	e.mu.Unlock()
	for _, l := range given {
		for i := range e.flows.shards {
			packets = e.flows.shards[i].giveUp(l, packets, e.seams.Lost)
		}
	}
	e.Refused[UpstreamLost].Add(int64(len(packets)))
	return packets
}
