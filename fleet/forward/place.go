package forward

import (
	"net/netip"
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// Policy weighs upstreams for new flows. Each upstream costs the requests under
// way and the open flows per slot, by weight, and the flow goes to the one that
// costs least (join the shortest queue, with locality).
type Policy struct {
	// RemotePenalty is what an upstream in another failure domain costs more,
	// in requests under way per slot.
	RemotePenalty float64
	// Flows weighs an open flow of a route whose flows carry one request,
	// LongFlows of a route whose flows carry many, in requests under way.
	Flows, LongFlows float64
	// LongBusy weighs a request under way for a flow that carries many.
	LongBusy float64
}

// DefaultPolicy returns the policy that is used unless another one is set.
func DefaultPolicy() Policy {
	return Policy{RemotePenalty: 2, Flows: 0.02, LongFlows: 1, LongBusy: 0.25}
}

// open places a new flow, or sends a copy of its opening packet after the
// first one.
func (e *Engine) open(now clock.Millis, v *view, route *catalog.Route, p *Packet) (d Decision) {
	k := keyOf(p)
	s := e.flows.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	f, known := s.flows[k]
	var except *target
	if known && f.opened && f.opening == p.Seq && !f.closed {
		if t := e.again(now, v, &f); t != nil {
			f.seen = now
			s.flows[k] = f
			return e.placed(p, t)
		}
		except = f.target
	}
	t := e.place(now, v, route, p, k, except)
	if t == nil && except != nil {
		t = except
	}
	if t == nil {
		d = e.refuse(NoUpstream)
		e.seams.Placed(p, &d, nil)
		return d
	}
	f.uncountIfAny()
	f = flow{target: t, opening: p.Seq, seq: p.Seq + 1, opened: true, seen: now}
	f.count()
	if !e.routes.long(p.Service) {
		f.begin(now) // The request follows within a round trip.
	}
	s.flows[k] = f
	e.Placed.Add(1)
	return e.placed(p, t)
}

// again returns where a copy of an opening packet goes: to where the first one
// went, so that a flow never opens on two upstreams, unless that upstream is
// silent or takes no new flows any more, in which case it returns nil.
func (e *Engine) again(now clock.Millis, v *view, f *flow) *target {
	if !f.linked {
		e.stalled(now, f)
	}
	t, ok := v.tokens[f.target.entry.Token]
	if !ok || t.load != f.target.load {
		return nil
	}
	if f.linked {
		return t
	}
	if !t.entry.TakesNew() || t.load.silent() {
		return nil
	}
	return t
}

func (e *Engine) placed(p *Packet, t *target) Decision {
	d := e.forward(t, t.entry.Token)
	e.seams.Placed(p, &d, t.entry)
	return d
}

// place chooses the upstream of a new flow, or nil if none takes it. Upstreams
// that are silent get a trial flow now and then; if all are, silence is not
// believed (panic threshold).
func (e *Engine) place(now clock.Millis, v *view, route *catalog.Route, p *Packet, k flowKey, except *target) *target {
	hash := k.hash()
	service := pickService(route, hash)
	list := v.serving[service]
	long := e.routes.long(p.Service)
	var best, bestSilent, bestCold *target
	var bestCost, bestSilentCost, bestColdCost float64
	for i, t := range list {
		if !t.entry.TakesNew() || except != nil && t.load == except.load {
			continue
		}
		cost := e.cost(t, long) + tieBreak(hash, i)
		switch {
		case now < t.entry.ColdUntil:
			if bestCold == nil || cost < bestColdCost {
				bestCold, bestColdCost = t, cost
			}
		case t.load.silent():
			if e.isLocal(t) && p.Copies == 0 && t.load.trial(now) {
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

// cost returns what it costs to place a flow on t, in requests under way per
// slot.
func (e *Engine) cost(t *target, long bool) float64 {
	s := t.load.sum()
	busy, flows := 1.0, e.policy.Flows
	if long {
		busy, flows = e.policy.LongBusy, e.policy.LongFlows
	}
	cost := (busy*float64(s.Busy) + flows*float64(s.Open)) / float64(max(1, t.entry.Slots))
	if !e.isLocal(t) {
		cost += e.policy.RemotePenalty
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

const (
	// maxAnswers bounds the count of a flow's answers.
	maxAnswers = 1000
	// routeSample is the number of flows after which older ones count half.
	routeSample = 256
)

// routeStats tells routes whose flows carry many requests from those whose
// flows carry one. The zero value is ready for use.
type routeStats struct {
	mu    sync.RWMutex
	stats map[netip.AddrPort]routeStat
}

type routeStat struct {
	flows, repeats int
}

// requested counts a request of a flow.
func (r *routeStats) requested(address netip.AddrPort, f *flow) {
	if f.answers > 1 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stats == nil {
		r.stats = make(map[netip.AddrPort]routeStat)
	}
	s := r.stats[address]
	if f.answers == 0 {
		s.flows++
	} else {
		s.repeats++
	}
	if s.flows > routeSample {
		s.flows, s.repeats = s.flows/2, s.repeats/2
	}
	r.stats[address] = s
}

// long reports whether most flows of a route carry more than one request.
func (r *routeStats) long(address netip.AddrPort) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := r.stats[address]
	return 2*s.repeats > s.flows
}
