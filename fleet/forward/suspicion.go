package forward

import (
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
