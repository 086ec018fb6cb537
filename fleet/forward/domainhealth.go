package forward

import (
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// domainHealth tracks by passive checks whether the upstreams of a failure domain answer.
// It only decides where new flows go. Open flows are reset by the evidence about their own
// upstream alone.
type domainHealth struct {
	mu      sync.Mutex
	ackedAt clock.Millis // sending time of the newest acknowledged packet
	// stalled counts the flows that stalled on packets sent after ackedAt.
	stalled domainStalls
	// condition is silent if flows to two upstreams stalled. This matters only to a VM that
	// hears of no other failure domain. It is lost if new flows avoid the domain.
	condition condition
	probes    probeSchedule
	// partitioned is set while nothing is received from any VM of the failure domain.
	partitioned bool
}

// recordAck records that a packet sent at sentAt arrived, and returns the condition
// before and after. It clears the stalls only if sentAt is later than all of them.
func (d *domainHealth) recordAck(sentAt clock.Millis) (before, after condition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before = d.condition
	d.ackedAt = max(d.ackedAt, sentAt)
	if sentAt > d.stalled.sentAt {
		d.stalled = domainStalls{}
		d.condition = answering
		d.probes.stop()
	}
	return before, d.condition
}

// recordStall records a stall, and returns the condition before and after.
func (d *domainHealth) recordStall(now clock.Millis, r *stallReport) (before, after condition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before = d.condition
	if r.sentAt < d.ackedAt {
		return before, before
	}
	d.stalled.add(r)
	beyondOne := d.stalled.beyondOneUpstream()
	if d.stalled.flows >= silentStalls && beyondOne > 0 && d.condition == answering {
		d.condition = silent
		d.probes.start(now)
	}
	if beyondOne >= lostStalls && now-d.ackedAt >= lostTimeout && r.pathAckedAt > d.stalled.sentAt {
		d.condition = lost
	}
	return before, d.condition
}

// evidence returns the number of stalled flows and the age of the newest acknowledged
// packet, 0 if there is none.
func (d *domainHealth) evidence(now clock.Millis) (flows int, ackedAge clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ackedAt != 0 {
		ackedAge = now - d.ackedAt
	}
	return d.stalled.flows, ackedAge
}

func (d *domainHealth) setPartitioned(partitioned bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.partitioned = partitioned
}

// avoided reports whether new flows should go to other failure domains.
func (d *domainHealth) avoided() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.partitioned || d.condition == lost
}

// reachable reports whether nothing indicates that the failure domain is unreachable.
func (d *domainHealth) reachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.partitioned && d.condition == answering
}

// current returns the current condition.
func (d *domainHealth) current() condition {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.condition
}

// probeDue reports whether a probing flow is due.
func (d *domainHealth) probeDue(now clock.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.probes.due(now)
}

// takeProbe reports whether a probing flow is due, and if so schedules the next one.
func (d *domainHealth) takeProbe(now clock.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.probes.take(now)
}
