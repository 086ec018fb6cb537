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
	// maxStalls is the number of stalled flows that a Suspicion names. More
	// change nothing.
	maxStalls = lostFlows + 1
	// maxTold is the number of upstreams told of at a time.
	maxTold = 64
	// stallLife is how long a stalled flow counts as evidence for others.
	stallLife = 3 * clock.Second
	// settleAfter is the wait for a contrary proof of another VM before flows are
	// given up by evidence that others told. It exceeds the time in which word
	// goes around a failure domain and back.
	settleAfter clock.Millis = 300
)

// Stall is a flow that waits in vain for an upstream.
type Stall struct {
	// Flow tells flows apart.
	Flow uint32
	// SentAt is when it sent what is not answered.
	SentAt clock.Millis
}

// Suspicion is what the VMs of a failure domain saw of an upstream that may be
// silent. In a large fleet no VM alone sees enough of an upstream, so they put
// together what each saw. Suspicions merge in any order.
type Suspicion struct {
	Token catalog.Token
	// AckedAt is when the newest thing was sent that arrived, 0 if none is known.
	AckedAt clock.Millis
	// Stalls are flows that sent later and wait, maxStalls at most.
	Stalls []Stall
	// Broadcast tells that more than one flow waits or waited, which concerns all VMs.
	Broadcast bool
}

// shared is the part of an upstream's health that VMs put together. It is
// guarded by the health's lock.
type shared struct {
	stalls []Stall
	// enoughAt is when this VM learned of enough stalls to give up open flows.
	enoughAt clock.Millis
	// wide and pending tell what is yet to be told to others.
	wide, pending bool
}

// add takes a stall that is newer than the newest proof, if it is news.
func (s *shared) add(now clock.Millis, stall Stall) {
	if now-stall.SentAt > stallLife || len(s.stalls) >= maxStalls {
		return
	}
	for _, known := range s.stalls {
		if known.Flow == stall.Flow {
			return
		}
	}
	s.stalls = append(s.stalls, stall)
	if len(s.stalls) == lostFlows {
		s.enoughAt = now
	}
	s.pending = true
	s.wide = s.wide || len(s.stalls) >= silentFlows
}

// newest returns when the newest of the stalled flows sent, 0 if there is none.
func (s *shared) newest() (at clock.Millis) {
	for _, stall := range s.stalls {
		at = max(at, stall.SentAt)
	}
	return at
}

// drop forgets the stalls that are older than a proof or than stallLife.
func (s *shared) drop(now, proved clock.Millis) {
	kept := s.stalls[:0]
	for _, stall := range s.stalls {
		if stall.SentAt > proved && now-stall.SentAt <= stallLife {
			kept = append(kept, stall)
		}
	}
	s.stalls = kept
}

// tell adds a stall of this VM's own to what is put together.
func (h *health) tell(now clock.Millis, stall Stall) (before, after condition) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = h.cond
	if stall.SentAt > h.proved {
		h.shared.drop(now, h.proved)
		h.shared.add(now, stall)
	}
	h.conclude(now)
	return before, h.cond
}

// merge takes what another VM told.
func (h *health) merge(now clock.Millis, s *Suspicion) (before, after condition) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = h.cond
	if s.AckedAt > h.proved {
		contrary := h.cond != answering
		h.prove(s.AckedAt)
		h.shared.pending = h.shared.pending || contrary && h.cond == answering
		h.shared.wide = h.shared.wide || contrary
	}
	h.shared.drop(now, h.proved)
	for _, stall := range s.Stalls {
		if stall.SentAt <= h.proved {
			h.shared.pending = true // the others lack the proof
			h.shared.wide = h.shared.wide || s.Broadcast
			continue
		}
		h.shared.add(now, stall)
	}
	h.conclude(now)
	return before, h.cond
}

// conclude draws conclusions from what VMs put together. The caller holds mu.
func (h *health) conclude(now clock.Millis) {
	n := len(h.shared.stalls)
	if n >= silentFlows && h.cond == answering {
		h.markSilent(now)
	}
	if n >= lostFlows && h.cond == silent && now-h.proved >= lostAfter && now-h.shared.enoughAt >= settleAfter {
		h.cond = lost
	}
}

// review concludes anew after some time.
func (h *health) review(now clock.Millis) (before, after condition) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = h.cond
	h.conclude(now)
	return before, h.cond
}

// takePending returns what others are to be told, if anything.
func (h *health) takePending() (s Suspicion, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.shared.pending {
		return s, false
	}
	s = Suspicion{AckedAt: h.proved, Stalls: slices.Clone(h.shared.stalls), Broadcast: h.shared.wide}
	h.shared.pending = false
	h.shared.wide = len(h.shared.stalls) >= silentFlows
	return s, s.Broadcast || len(s.Stalls) > 0
}

// Suspicions returns what other VMs of the failure domain are to be told of
// upstreams, which they have not been told yet. It also concludes what time alone
// brings.
func (e *Engine) Suspicions(now clock.Millis) (list []Suspicion) {
	for token, t := range e.suspected(now) {
		before, after := t.load.health.review(now)
		e.report(now, t, HealthChange{FromPeers: true}, before, after)
		if len(list) == maxTold {
			continue // the rest follows with the next call
		}
		if s, ok := t.load.health.takePending(); ok {
			s.Token = token
			list = append(list, s)
		}
	}
	return list
}

// MergeSuspicions takes what another VM of the failure domain told.
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
		before, after := t.load.health.merge(now, &list[i])
		e.suspect(t)
		e.report(now, t, HealthChange{FromPeers: true}, before, after)
	}
}

// keepSuspects forgets the suspects that are no longer known. The caller holds mu.
func (e *Engine) keepSuspects(v *view) {
	for token, old := range e.suspects {
		t := v.tokens[token]
		if t == nil || t.load != old.load {
			delete(e.suspects, token)
			continue
		}
		e.suspects[token] = t
	}
}

// judgesEach is the number of VMs of a failure domain that put together single
// stalls of an upstream, most of which are lost packets, and try it while it is
// silent.
const judgesEach = 2

// Aggregators returns the VMs among near that judge an upstream for all of them.
func Aggregators(token catalog.Token, near []ident.VMID) []ident.VMID {
	return homes.Designated(strconv.FormatUint(uint64(token), 16), near, judgesEach)
}

// suspect keeps an upstream among those that are looked at again.
func (e *Engine) suspect(t *target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects[t.entry.Token] = t
}

// suspected returns the upstreams that are looked at again, and forgets those
// that nothing speaks against any more.
func (e *Engine) suspected(now clock.Millis) map[catalog.Token]*target {
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

// settled reports whether nothing speaks against the upstream and nothing is to
// be told of it.
func (h *health) settled(now clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cond == answering && now-h.shared.newest() > stallLife && !h.shared.pending
}
