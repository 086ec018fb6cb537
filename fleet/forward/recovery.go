package forward

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// aliveMargin is how long after the newest stalled packet of a silence the upstream must
// have been alive to show that it did not restart. It exceeds the time for which callers
// may delay an acknowledgement, and the error of times that other VMs report.
const aliveMargin clock.Millis = 300

// standing tells whether an upstream that answers may be another process than before.
type standing uint8

const (
	// confirmed upstreams answer, and nothing indicates a restart.
	confirmed standing = iota
	// unconfirmed upstreams left a single packet unanswered, which was lost or arrived
	// while the process was down.
	unconfirmed
	// recovering upstreams answer again after a silence.
	recovering
)

// recovery tracks the return of an upstream after packets to it stalled. A process that
// crashed may have started again meanwhile under the same identifier, and its published
// entry may describe the process before. So the upstream is in doubt for its slow start
// time from its first answer on, unless a flow that was open before makes progress after
// the last stall: a process that started again would not know that flow.
type recovery struct {
	// since is the sending time of the first packet that stalled, 0 if the upstream has
	// recovered.
	since clock.Millis
	// lastStall is the sending time of the newest packet that stalled.
	lastStall clock.Millis
	// until is the end of the doubt, 0 before the first answer.
	until clock.Millis
	// silence is set if several flows stalled, which lost datagrams hardly explain.
	silence bool
}

// begin records that packets sent from oldest to newest stalled. If the upstream has not
// recovered from earlier stalls, that takes longer.
func (r *recovery) begin(oldest, newest clock.Millis, silence bool) {
	switch {
	case newest > r.lastStall:
		if r.since == 0 {
			r.since = oldest
		}
		r.lastStall, r.until = newest, 0
	case r.since == 0:
		return // recovered from these
	}
	r.since = min(r.since, oldest)
	r.silence = r.silence || silence
}

// adopt takes over what another VM tells. No flow known to this VM was open before that
// silence.
func (r *recovery) adopt(now clock.Millis, told Recovery) {
	r.begin(1, now, true)
	if told.Answered {
		r.until = now + told.Left
	}
}

// recordAnswer records an answer to a packet sent at sentAt. The upstream is in doubt from
// the first one after the last stall on.
func (r *recovery) recordAnswer(now, sentAt, slowStart clock.Millis) {
	if r.since != 0 && r.until == 0 && sentAt > r.lastStall {
		r.until = now + slowStart
	}
}

// recordProgress records that the process to which a flow was open at establishedAt was
// alive at aliveAt. The upstream has recovered if the stalls lie in between.
func (r *recovery) recordProgress(establishedAt, aliveAt clock.Millis) {
	if establishedAt < r.since && aliveAt-r.lastStall >= aliveMargin {
		r.end()
	}
}

// end records that the upstream has recovered.
func (r *recovery) end() { r.since, r.until, r.silence = 0, 0, false }

// standing returns the standing at now of an upstream that answers.
func (r *recovery) standing(now clock.Millis) standing {
	if r.until != 0 && now >= r.until {
		r.end()
	}
	switch {
	case r.until == 0:
		return confirmed
	case r.silence:
		return recovering
	}
	return unconfirmed
}

// slowStart reports whether the upstream is subject to slow start at now.
func (r *recovery) slowStart(now clock.Millis) bool { return r.standing(now) == recovering }
