package forward

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// Policy weighs upstreams for new flows. All weights are in requests under way
// per slot, and the flow goes to the upstream that costs least (join the
// shortest queue, with locality).
type Policy struct {
	// RemotePenalty and RemotePenaltyLong are what an upstream in another failure domain
	// costs more for a flow that carries one request, and for one that carries
	// many.
	RemotePenalty, RemotePenaltyLong float64
	// ExpectedWeight weighs the expected load of open flows for a flow that carries
	// one request.
	ExpectedWeight float64
	// InFlightWeightLong weighs a request under way for a flow that carries many.
	InFlightWeightLong float64
}

// DefaultPolicy returns the policy that is used unless another one is set.
func DefaultPolicy() Policy {
	return Policy{RemotePenalty: 1, RemotePenaltyLong: 0.5, ExpectedWeight: 0.5, InFlightWeightLong: 0.02}
}

// HashPolicy returns a baseline that spreads flows by their hash alone.
func HashPolicy() Policy { return Policy{} }

// LocalPolicy returns a baseline that leaves the own failure domain only if
// nothing there takes new flows.
func LocalPolicy() Policy {
	const never = 1e9
	p := DefaultPolicy()
	p.RemotePenalty, p.RemotePenaltyLong = never, never
	return p
}

// open places a new flow, or sends a copy of its opening packet after the
// first one.
func (e *Engine) open(now clock.Millis, v *view, route *catalog.Route, p *Packet) (d Decision) {
	k := keyOf(p)
	s := e.flows.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[k]
	var except *target
	if f.opened && f.opening == p.Seq && !f.closed {
		if t := e.again(now, v, &f, p); t != nil {
			f.seen = now
			s.flows[k] = f
			return e.placed(p, t)
		}
		except = f.target
	}
	t := e.place(now, v, route, p, k, except)
	if t == nil {
		t = except
	}
	if t == nil {
		d = e.refuse(NoUpstream)
		e.seams.Placed(p, d, nil)
		return d
	}
	f.end()
	f = flow{target: t, route: e.routes.of(p.Service), opening: p.Seq, seq: p.Seq + 1, opened: true, seen: now, sentAt: now}
	f.count()
	f.begin(now) // The request follows within a round trip.
	s.flows[k] = f
	e.Placed.Add(1)
	return e.placed(p, t)
}

// copyElsewhereAfter is the wait after which a further copy of an opening packet
// goes elsewhere, if something sent later arrived: of an upstream that answers, the
// answers to the first packet and to its copy were both lost, which is rare.
const copyElsewhereAfter clock.Millis = 400

// again returns where a copy of an opening packet goes: to where the first one
// went, so that a flow never opens on two upstreams, unless that upstream is
// silent, takes no new flows any more, or answered neither the first packet nor a
// copy, in which case it returns nil.
func (e *Engine) again(now clock.Millis, v *view, f *flow, p *Packet) *target {
	t, ok := v.tokens[f.target.entry.Token]
	if !ok || t.load != f.target.load {
		return nil
	}
	if f.linked {
		return t
	}
	e.repeated(now, f, p)
	unanswered := p.Retransmits > 1 && now-f.sentAt >= copyElsewhereAfter && e.pathProved() > f.sentAt
	if unanswered || !t.entry.AcceptsNewFlows(now) || !answers(t) {
		return nil
	}
	return t
}

// answers reports whether t is believed to answer from here.
func answers(t *target) bool {
	return t.load.health.condition() == answering && t.domain.condition() != lost
}

func (e *Engine) placed(p *Packet, t *target) Decision {
	d := e.forward(t, t.entry.Token)
	e.seams.Placed(p, d, t.entry)
	return d
}

// place chooses the upstream of a new flow, or nil if none takes it. Upstreams
// that are silent get a trial flow now and then; if all are, silence is not
// believed (panic threshold).
func (e *Engine) place(now clock.Millis, v *view, route *catalog.Route, p *Packet, k flowKey, except *target) *target {
	hash := k.hash()
	service := pickService(route, hash)
	list := v.serving[service]
	long := !e.routes.of(p.Service).short()
	var best, bestSilent, bestCold *target
	var bestCost, bestSilentCost, bestColdCost float64
	for i, t := range list {
		if !t.entry.AcceptsNewFlows(now) || except != nil && t.load == except.load {
			continue
		}
		cost := e.cost(t, long) + tieBreak(hash, i)
		switch {
		case now < t.entry.ColdUntil:
			if bestCold == nil || cost < bestColdCost {
				bestCold, bestColdCost = t, cost
			}
		case !answers(t) || t.domain.avoided():
			if p.Retransmits == 0 && e.tryAgain(now, t) {
				return t
			}
			if bestSilent == nil || cost < bestSilentCost {
				bestSilent, bestSilentCost = t, cost
			}
		case best == nil || cost < bestCost:
			best, bestCost = t, cost
		}
	}
	if bestCold != nil && (best == nil || bestColdCost < bestCost) && e.coldTakes(now, v, service, bestCold) {
		return bestCold
	}
	if best != nil {
		return best
	}
	return bestSilent
}

// tryAgain reports whether a flow may go to t to see whether it answers again.
// While its whole failure domain does not answer, one upstream stands for all.
// Of the VMs that share what they see of upstreams, those that rank first for t
// try it for all.
func (e *Engine) tryAgain(now clock.Millis, t *target) bool {
	if t.domain.condition() != answering {
		return t.domain.trial(now)
	}
	return t.load.health.trial(now) && e.ranksFirst(t.entry.Token)
}

// ranksFirst reports whether this VM is a judge of an upstream.
func (e *Engine) ranksFirst(token catalog.Token) bool {
	near := *e.neighbours.Load()
	return len(near) == 0 || slices.Contains(Aggregators(token, near), e.self)
}

// cost returns what it costs to place a flow on t, in requests under way per
// slot.
func (e *Engine) cost(t *target, long bool) float64 {
	s := t.load.sum(e.near.Load())
	busy, steady, remote := 1.0, e.policy.ExpectedWeight, e.policy.RemotePenalty
	if long {
		busy, steady, remote = e.policy.InFlightWeightLong, 1, e.policy.RemotePenaltyLong
	}
	cost := (busy*float64(s.InFlight) + steady*float64(s.Expected)) / float64(1000*max(1, t.entry.Slots))
	if !e.isLocal(t) {
		cost += remote
	}
	return cost
}

func (e *Engine) isLocal(t *target) bool { return t.entry.Domain == e.domain }

// coldTakes reports whether a cold upstream gets a flow from this VM now.
func (e *Engine) coldTakes(now clock.Millis, v *view, service ident.ServiceName, t *target) bool {
	s, ok := v.catalog.Service(service)
	if !ok || s.ColdPerSecond <= 0 {
		return false
	}
	vms := *e.vms.Load()
	if len(vms) == 0 {
		return false
	}
	placers := warmup.Placers(s.ColdPerSecond, len(vms))
	if !warmup.IsPlacer(e.self, config.UpstreamID(t.entry.Token), vms, placers) {
		return false
	}
	return t.load.takeCold(now, s.ColdPerSecond, placers)
}

// pickService picks a route's service by weight. All VMs pick alike.
func pickService(route *catalog.Route, hash uint64) ident.ServiceName {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0
	for _, t := range route.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return ""
	}
	at := int((hash >> 16) % uint64(total))
	for _, t := range route.Targets {
		if at -= max(0, t.Weight); at < 0 {
			return t.Service
		}
	}
	return ""
}

// tieBreak returns a small cost that spreads flows over equal upstreams.
func tieBreak(hash uint64, i int) float64 {
	h := (hash + uint64(i)*0x9e3779b97f4a7c15) * 0xd6e8feb86659fd93
	return float64(h>>40) / (1 << 24) * 1e-3
}
