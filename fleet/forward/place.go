package forward

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// Policy weighs the upstreams for a new flow. Costs are in requests in flight
// per slot, and the flow goes to the upstream with the lowest cost (join the
// shortest queue, with locality).
type Policy struct {
	// RemotePenalty and RemotePenaltyLong are the costs added to an upstream in
	// another failure domain, for a flow that carries one request and for a
	// flow that carries many.
	RemotePenalty, RemotePenaltyLong float64
	// ExpectedWeight is the weight of the expected load of open flows when a
	// flow that carries one request is placed. It is 1 for a flow that carries
	// many.
	ExpectedWeight float64
	// InFlightWeightLong is the weight of a request in flight when a flow that
	// carries many is placed. It is 1 for a flow that carries one.
	InFlightWeightLong float64
	// IgnoreQuality makes costs independent of the slowness and the rejections of
	// upstreams.
	IgnoreQuality bool
}

// DefaultPolicy returns the policy of an Engine without WithPolicy.
func DefaultPolicy() Policy {
	return Policy{RemotePenalty: 1, RemotePenaltyLong: 0.5, ExpectedWeight: 0.5, InFlightWeightLong: 0.02}
}

// LeastLoadedPolicy returns a baseline that goes by load alone, without
// locality. Its load is the requests in flight for a flow that carries one
// request, and the expected load for a flow that carries many. Equal loads are
// spread by hash.
func LeastLoadedPolicy() Policy { return Policy{IgnoreQuality: true} }

// LocalPolicy returns a baseline that prefers the upstreams of the own failure
// domain, however loaded they are. Apart from probing flows, a flow leaves the
// domain only if no upstream there accepts new flows and answers, not counting
// cold upstreams whose rate is used up.
func LocalPolicy() Policy {
	const never = 1e9
	p := DefaultPolicy()
	p.RemotePenalty, p.RemotePenaltyLong = never, never
	return p
}

// openFlow places a new flow, or forwards a retransmission of its opening
// packet.
func (e *Engine) openFlow(now clock.Millis, v *view, route *catalog.Route, p *Packet) (d Decision) {
	k := keyOf(p)
	s := e.flows.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[k]
	var except *target
	if f.placed(p.Seq) {
		if t := e.retransmitTarget(now, v, &f, p); t != nil {
			f.seenAt = now
			s.flows[k] = f
			return e.forwardOpening(p, t)
		}
		except = f.target
	}
	stat := e.routes.get(p.Destination)
	pl := newPlacement(v, route, stat, k, except)
	if except == nil {
		if reason := e.admit(now, v, route, stat, p, &pl); reason == AwaitRoom {
			return e.drop(reason)
		} else if reason != NoReason {
			d = e.refuse(reason)
			e.hooks.Placed(p, d, nil)
			return d
		}
	}
	t, _ := e.choose(now, v, &pl, p.Retransmits == 0, &applied)
	if t == nil {
		t = except
	}
	if t == nil {
		d = e.refuse(NoUpstream)
		e.hooks.Placed(p, d, nil)
		return d
	}
	f.end()
	f = flow{target: t, route: stat, openingSeq: p.Seq, seq: p.Seq + 1, opened: true, seenAt: now, sentAt: now}
	f.addLoad()
	f.beginRequest(now) // the request follows within one round trip
	s.flows[k] = f
	e.Placed.Add(1)
	return e.forwardOpening(p, t)
}

// moveRetransmitAfter is the time after which a second or later retransmission
// of an opening packet goes to another upstream, if a packet sent later was
// acknowledged elsewhere. If the first upstream does answer, its answers to
// both the original and a retransmission were lost, which is rare.
const moveRetransmitAfter clock.Millis = 400

// retransmitTarget returns the upstream that gets a retransmitted opening
// packet. This is the upstream that got the original, so that a flow never
// opens on two upstreams. It returns nil if that upstream is silent, accepts no
// new flows any more, or answered neither the original nor a retransmission.
func (e *Engine) retransmitTarget(now clock.Millis, v *view, f *flow, p *Packet) *target {
	t, ok := v.tokens[f.target.entry.Token]
	if !ok || t.load != f.target.load {
		return nil
	}
	f.target = t
	if f.established() {
		return t
	}
	e.recordRetransmit(now, f, p)
	unanswered := p.Retransmits > 1 && now-f.sentAt >= moveRetransmitAfter && e.pathAckedAt() > f.sentAt
	if unanswered || !t.entry.AcceptsNewFlows(now) || !isAnswering(t) {
		return nil
	}
	return t
}

// isAnswering reports whether t is believed to answer this VM.
func isAnswering(t *target) bool {
	return t.load.health.condition() == answering && t.domain.current() != lost
}

func (e *Engine) forwardOpening(p *Packet, t *target) Decision {
	d := e.forward(t, t.entry.Token)
	e.hooks.Placed(p, d, t.entry)
	return d
}

// choose returns the upstream of a new flow and the rule that it was chosen by, or nil
// if no upstream other than pl.except accepts the flow. It takes the probe or the share
// of a cold upstream that the flow uses up, unless fx is simulated. It returns the best
// cold upstream if that is cheaper than the best answering one and its rate permits,
// otherwise the best answering upstream. If there is none, the best unconfirmed or recovering
// one gets the flow.
// Silent upstreams get a probing flow from time to time if probing is set, and if no other
// upstream is left, the flow goes to a silent one nevertheless (panic threshold).
func (e *Engine) choose(now clock.Millis, v *view, pl *placement, probing bool, fx *effects) (*target, Rule) {
	r := e.ranked(now, pl)
	if r.probeDue && probing {
		if t := e.probe(now, pl, fx); t != nil {
			return t, RuleProbe
		}
	}
	switch {
	case r.prefersCold() && e.admitCold(now, v, pl.service, r.cold.target, fx):
		return r.cold.target, RuleCold
	case r.answering.target != nil:
		return r.answering.target, RuleLowestCost
	case r.usual() != nil:
		return r.usual(), RuleUnconfirmed
	case r.silent.target != nil:
		return r.silent.target, RulePanic
	}
	return nil, RuleNone
}

// probe returns the first upstream that is probed with the flow, or nil if there is
// none.
func (e *Engine) probe(now clock.Millis, pl *placement, fx *effects) *target {
	for _, t := range pl.upstreams {
		if pl.admits(now, t) && isProbed(now, t) && e.takesProbe(now, t, fx) {
			return t
		}
	}
	return nil
}

// takesProbe reports whether this VM probes t now. Among the VMs that exchange evidence,
// only the aggregators of an upstream probe it, but each probes a failure domain that
// does not answer.
func (e *Engine) takesProbe(now clock.Millis, t *target, fx *effects) bool {
	if t.domain.current() != answering {
		return fx.takeDomainProbe(t.domain, now)
	}
	return fx.takeProbe(&t.load.health, now) && e.isAggregator(t.entry.Token)
}

// isProbed reports whether t gets flows only as probes.
func isProbed(now clock.Millis, t *target) bool {
	c := classOf(now, t)
	return c == classSilent || c == classAvoided
}

// probeDue reports whether a probing flow to t is due. While the whole failure domain
// of t does not answer, one upstream is probed on behalf of all.
func probeDue(now clock.Millis, t *target) bool {
	if t.domain.current() != answering {
		return t.domain.probeDue(now)
	}
	return t.load.health.probeDue(now)
}

// isAggregator reports whether this VM is an aggregator of an upstream. Until the
// VMs of the failure domain are set, it is one of all upstreams.
func (e *Engine) isAggregator(token catalog.Token) bool {
	local := *e.domainVMs.Load()
	return len(local) == 0 || slices.Contains(Aggregators(token, local), e.self)
}

// cost returns the cost of placing a flow on t, in requests in flight per slot.
func (e *Engine) cost(t *target, long bool) float64 {
	slots := max(1, t.entry.Slots)
	s := t.load.quality.atLeast(t.load.total(e.localVMCount.Load()), slots)
	inFlight, expected, remote := 1.0, e.policy.ExpectedWeight, e.policy.RemotePenalty
	if long {
		inFlight, expected, remote = e.policy.InFlightWeightLong, 1, e.policy.RemotePenaltyLong
	}
	load := (inFlight*float64(s.InFlight) + expected*float64(s.Expected)) / float64(loadPerRequest*slots)
	cost := t.load.quality.cost(load)
	if !e.isLocal(t) {
		cost += remote
	}
	return cost
}

func (e *Engine) isLocal(t *target) bool { return t.entry.Domain == e.domain }

// admitCold reports whether this VM may place a flow on a cold upstream now,
// and counts that flow.
func (e *Engine) admitCold(now clock.Millis, v *view, service ident.ServiceName, t *target, fx *effects) bool {
	rate, placers := e.coldShare(v, service, t)
	return placers > 0 && fx.admitCold(t.load, now, rate, placers)
}

// coldShare returns the rate of new flows, per second over all VMs, that a cold
// upstream can handle, and the number of VMs that share it. That number is 0 if this VM
// is not one of them.
func (e *Engine) coldShare(v *view, service ident.ServiceName, t *target) (rate float64, placers int) {
	s, ok := v.catalog.Service(service)
	if !ok || s.ColdPerSecond <= 0 {
		return 0, 0
	}
	vms := *e.vms.Load()
	if len(vms) == 0 {
		return 0, 0
	}
	placers = warmup.Placers(s.ColdPerSecond, len(vms))
	// The token only serves to rank the VMs. All VMs compute the same one.
	if !warmup.IsPlacer(e.self, config.UpstreamID(t.entry.Token), vms, placers) {
		return 0, 0
	}
	return s.ColdPerSecond, placers
}

// pickService picks the service of a route by weight and hash. All VMs pick the
// same one. It returns "" if all weights are 0.
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

// tieBreak returns a cost below 0.001 that spreads flows over equally loaded
// upstreams.
func tieBreak(hash uint64, i int) float64 {
	h := (hash + uint64(i)*0x9e3779b97f4a7c15) * 0xd6e8feb86659fd93
	return float64(h>>40) / (1 << 24) * 1e-3
}
