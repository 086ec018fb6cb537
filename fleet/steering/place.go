package steering

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// candidatesPerMember is the maximum number of table candidates tried for one
// flow, per upstream in the table.
const candidatesPerMember = 3

// openTCPFlow places a new TCP flow. If another VM may already have placed the
// flow, it first queries the other VMs.
func (e *Engine) openTCPFlow(now clock.Millis, sh *shard, s *service, m *members, p *Packet) Action {
	if e.mayBePlaced(now, m, p, e.limits.SettleMillis) {
		if act, queried := e.queryPeers(now, sh, s, m, p, true, false); queried {
			return act
		}
	}
	return e.placeFlow(now, sh, s, m, p)
}

// mayBePlaced reports whether another VM may have placed an unknown flow: its home
// changed within the settle time, or this VM acts for an unreachable home, which
// may run again at any time.
func (e *Engine) mayBePlaced(now clock.Millis, m *members, p *Packet, settle clock.Millis) bool {
	if e.placeLocally {
		return false
	}
	return now-m.view.ChangedAt(p.ID) < settle || m.unreachableHome(p.ID) != ""
}

// resolveUDPFlow handles a packet of an unknown UDP flow. If another VM may have
// placed the flow, it is new only if no queried VM knows it.
func (e *Engine) resolveUDPFlow(now clock.Millis, sh *shard, s *service, m *members, p *Packet) Action {
	if e.mayBePlaced(now, m, p, e.limits.UDPIdleMillis) {
		if act, queried := e.queryPeers(now, sh, s, m, p, true, false); queried {
			return act
		}
	}
	return e.placeFlow(now, sh, s, m, p)
}

func (e *Engine) placeFlow(now clock.Millis, sh *shard, s *service, m *members, p *Packet) Action {
	if e.flows.Load() >= int64(e.limits.MaxFlows) && !e.evict(sh) {
		return drop(TableFull)
	}
	u, reason := e.chooseUpstream(now, s, m, p)
	if u == nil {
		return drop(reason)
	}
	return e.continueFlow(now, e.insert(now, sh, p, u), p)
}

// chooseUpstream returns the upstream for a new flow. With BoundedLoad this is the
// table's pick or, if that has reached its connection limit, its load bound or
// its warm-up rate, or is not healthy, the next eligible candidate. If there is
// none, it is the least loaded upstream with room.
func (e *Engine) chooseUpstream(now clock.Millis, s *service, m *members, p *Packet) (*Upstream, DropReason) {
	if s.removed || len(s.members) == 0 {
		return nil, NoUpstream
	}
	if e.placement == Random {
		return e.randomUpstream(s), NoReason
	}
	e.stats.Placed.Add(1)
	table := s.history.Current()
	first := table.Pick(p.ID)
	if e.placement == TableOnly {
		return s.byID[first], NoReason
	}
	u := e.firstEligible(now, s, m, p)
	if u == nil {
		return nil, AllFull
	}
	if u.ID != first {
		e.stats.Exceptions.Add(1)
	}
	return u, NoReason
}

func (e *Engine) firstEligible(now clock.Millis, s *service, m *members, p *Packet) *Upstream {
	table := s.history.Current()
	panicMode := s.inPanicMode()
	vms := m.view.Ranking().Len()
	bound := e.loadBound(now, s, vms)
	placers := len(m.placerCandidates)
	var tried config.UpstreamID
	for n := range candidatesPerMember * len(s.members) {
		id := table.Candidate(p.ID, n)
		if id == tried {
			continue
		}
		tried = id
		u := s.byID[id]
		if u.EstimatedFlows(vms) >= bound || u.atConnectionLimit(placers) || !(panicMode || u.eligibleFor(p)) {
			continue
		}
		if e.allowNewFlow(now, u, m) {
			return u
		}
	}
	return e.leastLoaded(now, s, m)
}

// leastLoaded returns the warm and healthy upstream with the fewest flows that is
// below its connection limit, regardless of the load bound, or else a cold one
// that may take another flow. Panic mode ignores the verdicts here too.
func (e *Engine) leastLoaded(now clock.Millis, s *service, m *members) (best *Upstream) {
	panicMode := s.inPanicMode()
	for _, u := range s.members {
		unhealthy := warmup.Verdict(u.verdict.Load()) == warmup.Unhealthy && !panicMode
		if unhealthy || u.atConnectionLimit(len(m.placerCandidates)) || u.Ramp().Cold(now) {
			continue
		}
		if best == nil || u.TotalFlows() < best.TotalFlows() {
			best = u
		}
	}
	if best != nil {
		return best
	}
	for _, u := range s.members {
		if !u.atConnectionLimit(len(m.placerCandidates)) && e.allowNewFlow(now, u, m) {
			return u
		}
	}
	return nil
}

// allowNewFlow reports whether u is warm, or this VM's share of its warm-up rate
// allows another flow, in which case it takes a token from the limiter.
func (e *Engine) allowNewFlow(now clock.Millis, u *Upstream, m *members) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ramp.Cold(now) {
		return true
	}
	rate := u.ramp.FlowsPerSecond(now)
	placers := warmup.Placers(rate, len(m.placerCandidates))
	return warmup.IsPlacer(e.self, u.ID, m.placerCandidates, placers) && u.limiter.Allow(now, rate, placers)
}

// eligibleFor reports whether u is healthy enough for the new flow of p. A degraded
// upstream takes only every second flow.
func (u *Upstream) eligibleFor(p *Packet) bool {
	switch warmup.Verdict(u.verdict.Load()) {
	case warmup.Unhealthy:
		return false
	case warmup.Degraded:
		return p.ID.Hi&(1<<8) == 0
	}
	return true
}

// inPanicMode reports whether more than half of the upstreams are unhealthy. The
// verdicts are then ignored, since either they are wrong or the additional load
// would overload the remaining upstreams.
func (s *service) inPanicMode() bool {
	bad := 0
	for _, u := range s.members {
		if warmup.Verdict(u.verdict.Load()) == warmup.Unhealthy {
			bad++
		}
	}
	return 2*bad > len(s.members)
}

// loadBound returns the number of flows at which an upstream of s takes no more
// new flows, derived from the mean over the warm upstreams.
func (e *Engine) loadBound(now clock.Millis, s *service, vms int) int64 {
	sum, n := int64(0), int64(0)
	for _, u := range s.members {
		if u.Ramp().Cold(now) {
			continue
		}
		sum += u.EstimatedFlows(vms)
		n++
	}
	if n == 0 {
		return 1 << 62
	}
	mean := float64(sum) / float64(n)
	return int64(mean*(1+e.limits.LoadSlack)) + 1
}

func (e *Engine) randomUpstream(s *service) *Upstream {
	e.rngMu.Lock()
	defer e.rngMu.Unlock()
	return s.members[e.rng.IntN(len(s.members))]
}
