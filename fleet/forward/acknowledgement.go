package forward

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// acknowledgement describes the answer of an upstream to a packet of a flow.
type acknowledgement struct {
	// seenAt is when this VM saw the acknowledgement by the caller, and sentAt when the
	// answered packet was first sent.
	seenAt, sentAt clock.Millis
	// establishedAt is when this VM first knew the flow to be open.
	establishedAt clock.Millis
	// aliveAt is a time at which the upstream was alive, within the delay of
	// acknowledgements.
	aliveAt clock.Millis
	// slowStart is the slow start time of the service.
	slowStart clock.Millis
}

// acknowledgement returns the acknowledgement that packet p of f carries. A packet without
// data acknowledges what has just arrived. One with data may acknowledge what arrived
// before a pause of the caller.
func (f *flow) acknowledgement(now clock.Millis, p *Packet) acknowledgement {
	a := acknowledgement{seenAt: now, sentAt: f.sentAt, establishedAt: f.establishedAt, aliveAt: f.sentAt, slowStart: f.target.slowStart}
	if p.Bytes == 0 {
		a.aliveAt = now
	}
	return a
}
