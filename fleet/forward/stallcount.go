package forward

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// stallReport describes a flow that waits for an upstream to answer a packet.
type stallReport struct {
	sentAt clock.Millis
	open   bool // the flow is open
	// repeated is set if this stall was recorded before.
	repeated bool
	upstream *upstreamLoad
	// pathAckedAt is the sending time of the newest packet that any upstream has
	// acknowledged.
	pathAckedAt clock.Millis
}

// stallCount counts the stalled flows of an upstream.
type stallCount struct {
	flows  int
	sentAt clock.Millis // sending time of the newest stalled packet
}

// add counts a stall, unless it is a repeated one.
func (c *stallCount) add(r *stallReport) {
	if !r.repeated {
		c.flows++
	}
	c.sentAt = max(c.sentAt, r.sentAt)
}

// isLost reports whether the stalls show that nothing is answered any more, where
// ackedAt is the sending time of the newest packet that was acknowledged. A packet
// sent after all the stalled ones must have been acknowledged by any upstream;
// otherwise the VM's own link may be delaying everything.
func (c *stallCount) isLost(now, ackedAt, pathAckedAt clock.Millis) bool {
	return c.flows >= lostStalls && now-ackedAt >= lostTimeout && pathAckedAt > c.sentAt
}
