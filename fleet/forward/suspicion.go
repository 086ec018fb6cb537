package forward

import (
	"slices"
	"strconv"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	// maxStalls is the number of stalled open flows in a Suspicion, and the number
	// of stalled openings. Further ones would not change the condition.
	maxStalls = lostStalls + 1
	// maxSuspicions is the number of upstreams reported per call of Suspicions.
	maxSuspicions = 64
	// stallTTL is how long a stalled flow counts as shared evidence.
	stallTTL = 3 * clock.Second
	// settleDelay is how long reports of other VMs must stand uncontradicted
	// before open flows are reset because of them. It exceeds the time that a
	// message takes to spread through a failure domain and back.
	settleDelay clock.Millis = 300
)

// Stall is a flow that waits for an upstream to acknowledge a retransmitted
// packet.
type Stall struct {
	// Flow is a hash of 31 bits that identifies the flow.
	Flow uint32
	// Open is set if the flow is open. An upstream that is full may ignore packets
	// that open a flow.
	Open bool
	// SentAt is when the unacknowledged packet was first sent.
	SentAt clock.Millis
}

// Suspicion is the evidence of the VMs of a failure domain about an upstream
// that may be silent. In a large fleet no single VM sees enough traffic to an
// upstream, so the VMs merge what each has seen. Suspicions may be merged in
// any order.
type Suspicion struct {
	Token catalog.Token
	// AckedAt is the sending time of the newest packet known to have arrived, 0
	// if none is known.
	AckedAt clock.Millis
	// Stalls are flows that stalled on packets sent later than AckedAt, at most
	// maxStalls open ones and as many others.
	Stalls []Stall
	// Broadcast is set if all VMs of the failure domain need this report,
	// because more than one flow is or was stalled.
	Broadcast bool
}

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

// Suspicions returns new evidence to report to the other VMs of the failure
// domain, for at most maxSuspicions upstreams; the next call returns the rest.
// It also applies state changes that depend on time alone, so it must be called
// regularly.
func (e *Engine) Suspicions(now clock.Millis) (list []Suspicion) {
	for token, t := range e.takeSuspects(now) {
		before, after := t.load.health.reevaluate(now)
		e.reportChange(now, t, HealthChange{Indirect: true}, before, after)
		if len(list) == maxSuspicions {
			continue // left for the next call
		}
		if s, ok := t.load.health.takePending(); ok {
			s.Token = token
			list = append(list, s)
		}
	}
	return list
}

// MergeSuspicions merges evidence reported by another VM of the failure domain.
// Reports about unknown upstreams are ignored.
func (e *Engine) MergeSuspicions(now clock.Millis, list []Suspicion) {
	v := e.view.Load()
	if v == nil {
		return
	}
	for i := range list {
		t, ok := v.tokens[list[i].Token]
		if !ok {
			continue
		}
		before, after := t.load.health.merge(now, t.slowStart, &list[i])
		e.addSuspect(t)
		e.reportChange(now, t, HealthChange{Indirect: true}, before, after)
	}
}

// retainSuspects drops the suspects that are no longer in the catalog. The
// caller must hold e.mu.
func (e *Engine) retainSuspects(v *view) {
	for token, old := range e.suspects {
		t := v.tokens[token]
		if t == nil || t.load != old.load {
			delete(e.suspects, token)
			continue
		}
		e.suspects[token] = t
	}
}

// aggregatorsPerUpstream is the number of VMs of a failure domain that collect
// the reports of single stalled flows of an upstream. Most such stalls come from
// a lost packet, so they are not broadcast. The aggregators also probe the
// upstream while it is silent.
const aggregatorsPerUpstream = 2

// Aggregators returns the VMs among local that collect single stalls of an
// upstream and probe it on behalf of all.
func Aggregators(token catalog.Token, local []ident.VMID) []ident.VMID {
	return homes.Designated(strconv.FormatUint(uint64(token), 16), local, aggregatorsPerUpstream)
}

// addSuspect adds an upstream to those that Suspicions evaluates.
func (e *Engine) addSuspect(t *target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects[t.entry.Token] = t
}

// takeSuspects returns the suspects, and drops those without remaining
// evidence.
func (e *Engine) takeSuspects(now clock.Millis) map[catalog.Token]*target {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make(map[catalog.Token]*target, len(e.suspects))
	for token, t := range e.suspects {
		list[token] = t
		if t.load.health.settled(now) {
			delete(e.suspects, token)
		}
	}
	return list
}

// settled reports whether there is no evidence against the upstream and nothing
// to report about it.
func (h *health) settled(now clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == healthState{} && now-h.shared.newest() > stallTTL && !h.shared.pending
}
