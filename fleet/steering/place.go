package steering

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// candidatesPerMember bounds the walk through the table for one flow.
const candidatesPerMember = 3

// openFlow places a new TCP flow, after asking the neighbours if the home
// changed a short time ago and one of them may have placed it already.
func (e *Engine) openFlow(now clock.Millis, sh *shard, s *service, m *members, p *Packet) Action {
	if !e.homeless && now-m.view.ChangedAt(p.ID) < e.limits.SettleMillis {
		if act, asked := e.ask(now, sh, s, m, p, true, false); asked {
			return act
		}
	}
	return e.placeFlow(now, sh, s, m, p)
}

// findOrOpen handles a packet of an unknown UDP flow. It is a new flow only
// if no VM that could have been its home knows it.
func (e *Engine) findOrOpen(now clock.Millis, sh *shard, s *service, m *members, p *Packet) Action {
	if !e.homeless && now-m.view.ChangedAt(p.ID) < e.limits.UDPIdleMillis {
		if act, asked := e.ask(now, sh, s, m, p, true, false); asked {
			return act
		}
	}
	return e.placeFlow(now, sh, s, m, p)
}

func (e *Engine) placeFlow(now clock.Millis, sh *shard, s *service, m *members, p *Packet) Action {
	if e.flows.Load() >= int64(e.limits.MaxFlows) && !e.evict(sh) {
		return drop(TableFull)
	}
	u, reason := e.choose(now, s, m, p)
	if u == nil {
		return drop(reason)
	}
	return e.continueFlow(now, e.insert(now, sh, p, u), p)
}

// choose picks the upstream of a new flow: the table's pick, or the next
// candidate while a pick is full, cold beyond its share, or above its share of
// the load.
func (e *Engine) choose(now clock.Millis, s *service, m *members, p *Packet) (*Upstream, DropReason) {
	if s.removed || len(s.members) == 0 {
		return nil, NoUpstream
	}
	if e.place == Random {
		return e.draw(s), NoReason
	}
	e.stats.Placed.Add(1)
	table := s.history.Current()
	first := table.Pick(p.ID)
	if e.place == TableOnly {
		return s.byID[first], NoReason
	}
	u := e.walk(now, s, m, p)
	if u == nil {
		return nil, AllFull
	}
	if u.ID != first {
		e.stats.Exceptions.Add(1)
	}
	return u, NoReason
}

func (e *Engine) walk(now clock.Millis, s *service, m *members, p *Packet) *Upstream {
	table := s.history.Current()
	panicking := s.panicking()
	vms := m.view.Ranking().Len()
	bound := e.bound(now, s, vms)
	placers := len(m.listed)
	var tried config.UpstreamID
	for n := range candidatesPerMember * len(s.members) {
		id := table.Candidate(p.ID, n)
		if id == tried {
			continue
		}
		tried = id
		u := s.byID[id]
		if u.EstimatedFlows(vms) >= bound || u.full(placers) || !(panicking || u.trusted(p)) {
			continue
		}
		if e.bears(now, u, m) {
			return u
		}
	}
	return e.leastLoaded(now, s, m)
}

// leastLoaded picks the emptiest warm upstream that has room, ignoring the
// bound on the load, or else a cold one that bears another flow.
func (e *Engine) leastLoaded(now clock.Millis, s *service, m *members) (best *Upstream) {
	panicking := s.panicking()
	for _, u := range s.members {
		sick := warmup.Verdict(u.verdict.Load()) == warmup.Unhealthy && !panicking
		if sick || u.full(len(m.listed)) || u.Ramp().Cold(now) {
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
		if !u.full(len(m.listed)) && e.bears(now, u, m) {
			return u
		}
	}
	return nil
}

// bears reports whether u is warm, or cold with room in this VM's share of
// its rate, which is used up by the call.
func (e *Engine) bears(now clock.Millis, u *Upstream, m *members) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ramp.Cold(now) {
		return true
	}
	rate := u.ramp.FlowsPerSecond(now)
	placers := warmup.Placers(rate, len(m.listed))
	return warmup.IsPlacer(e.self, u.ID, m.listed, placers) && u.share.Allow(now, rate, placers)
}

// trusted reports whether u's signals let it take this flow. A doubtful
// upstream takes every second one.
func (u *Upstream) trusted(p *Packet) bool {
	switch warmup.Verdict(u.verdict.Load()) {
	case warmup.Unhealthy:
		return false
	case warmup.Degraded:
		return p.ID.Hi&(1<<8) == 0
	}
	return true
}

// panicking reports whether so many upstreams seem unhealthy that the signals
// are rather wrong, or shedding more load would harm the rest.
func (s *service) panicking() bool {
	bad := 0
	for _, u := range s.members {
		if warmup.Verdict(u.verdict.Load()) == warmup.Unhealthy {
			bad++
		}
	}
	return 2*bad > len(s.members)
}

// bound returns the number of flows at which an upstream of s is above its
// share, judged by the warm upstreams.
func (e *Engine) bound(now clock.Millis, s *service, vms int) int64 {
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

func (e *Engine) draw(s *service) *Upstream {
	e.rngMu.Lock()
	defer e.rngMu.Unlock()
	return s.members[e.rng.IntN(len(s.members))]
}
