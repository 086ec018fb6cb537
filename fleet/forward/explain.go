package forward

import (
	"cmp"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/admission"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// Explain tells how Handle would decide now on a packet that opens a new flow, whose
// addresses must be IPv4. It takes the packet for the first transmission. It changes
// nothing: it counts no packet, sends no probe, uses up no share of a cold upstream and
// does not count as an opening for the admission control.
func (e *Engine) Explain(now clock.Millis, p *Packet) Explanation {
	v := e.view.Load()
	if v == nil {
		return unplaced(Drop, NoCatalog)
	}
	route, ok := v.catalog.Route(p.Destination)
	if !ok {
		return unplaced(Refuse, NoRoute)
	}
	pl := newPlacement(v, route, e.routes.find(p.Destination), keyOf(p), nil)
	x := unplaced(Refuse, NoUpstream)
	x.Route, x.Priority, x.Service, x.Long = route.Name, route.Priority, pl.service, pl.long
	x.Candidates = e.explainCandidates(now, v, pl)
	var reason Reason
	x.Admission, reason = e.explainAdmission(now, v, route, p, &pl)
	if reason != NoReason {
		x.Reason = reason.String()
		if reason == AwaitRoom {
			x.Action = Drop.String()
		}
	} else if t, rule := e.choose(now, v, &pl, true, &simulated); t != nil {
		x.Action, x.Reason, x.Upstream, x.Rule = Forward.String(), NoReason.String(), t.entry.ID, rule
	}
	return x
}

// explainAdmission tells whether the flow would be admitted. It returns the reason if
// not, and otherwise NoReason.
func (e *Engine) explainAdmission(now clock.Millis, v *view, route *catalog.Route, p *Packet, pl *placement) (x ExplainedAdmission, reason Reason) {
	c := v.admissionController(pl.service)
	if c == nil {
		return ExplainedAdmission{Share: 1, Verdict: admission.Place.String()}, NoReason
	}
	r := admissionRequest(route, p, pl)
	r.Retransmits = 0
	d := c.Explain(now, r)
	x = ExplainedAdmission{Controlled: true, Share: d.Share, Pressure: d.Pressure, Limit: d.Limit, Verdict: d.Verdict.String()}
	if d.Verdict == admission.Place {
		return x, NoReason
	}
	x.RoomOverrides = e.hasRoom(now, pl)
	return x, heldBackReason(d.Verdict, x.RoomOverrides)
}

func unplaced(a Action, r Reason) Explanation {
	return Explanation{Action: a.String(), Reason: r.String(), Candidates: []ExplainedCandidate{}}
}

// explainCandidates returns the upstreams of the service in order of cost, those that
// accept no new flows included.
func (e *Engine) explainCandidates(now clock.Millis, v *view, pl placement) []ExplainedCandidate {
	for _, entry := range v.catalog.Serving(pl.service) {
		if entry.Token == 0 { // the view leaves it out
			pl.upstreams = append(slices.Clip(pl.upstreams), &target{entry: entry, load: &upstreamLoad{}, domain: &domainHealth{}})
		}
	}
	list := make([]ExplainedCandidate, len(pl.upstreams))
	for i := range pl.upstreams {
		list[i] = e.explainCandidate(now, v, &pl, i)
	}
	slices.SortStableFunc(list, func(a, b ExplainedCandidate) int { return cmp.Compare(a.Cost, b.Cost) })
	return list
}

func (e *Engine) explainCandidate(now clock.Millis, v *view, pl *placement, i int) ExplainedCandidate {
	c := e.candidate(now, pl, i)
	t := c.target
	sum := t.load.total(e.localVMCount.Load())
	x := ExplainedCandidate{
		ID: t.entry.ID, Address: t.entry.Address, Domain: t.entry.Domain, Cost: c.cost,
		Slowness: t.load.quality.slowness(),
		InFlight: float64(sum.InFlight) / loadPerRequest, Expected: float64(sum.Expected) / loadPerRequest, Slots: t.entry.Slots,
		Class: c.class.String(), Health: t.load.health.condition().String(), Cold: c.class == classCold || c.class == classRecovering,
		Accepts: t.entry.AcceptsNewFlows(now), Closed: t.entry.ClosedReason(now),
	}
	x.OwnRejections, x.ExcessRejections = t.load.quality.rejections()
	switch {
	case !x.Accepts:
	case x.Cold:
		x.ColdShare = e.admitCold(now, v, pl.service, t, &simulated)
	case isProbed(now, t):
		x.ProbeDue = e.takesProbe(now, t, &simulated)
	}
	return x
}
