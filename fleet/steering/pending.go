package steering

import (
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
)

const (
	// maxPending bounds the flows that wait for answers.
	maxPending = 8192
	// copyWindowMillis is the time in which a home copies the exceptions that
	// a change of the table makes, with the time to find the home's loss.
	copyWindowMillis = 10 * clock.Second
	// maxAsked bounds the VMs asked about one flow.
	maxAsked = 8
)

// findFlow handles a packet in the middle of a TCP flow that this home does
// not know. Such a flow is never placed anew.
func (e *Engine) findFlow(now clock.Millis, sh *shard, s *service, m *members, p *Packet) Action {
	if e.homeless {
		return e.placeFlow(now, sh, s, m, p)
	}
	options := e.options(s, p.ID)
	ambiguous := len(options) > 1
	if ambiguous || now-m.view.ChangedAt(p.ID) < e.limits.MidSettleMillis {
		recent := now-m.view.ChangedAt(p.ID) < e.limits.SettleMillis
		_, lost := e.lostHome(now, m, p.ID)
		wide := ambiguous || recent || lost
		if act, asked := e.ask(now, sh, s, m, p, false, wide); asked {
			return act
		}
	}
	return e.fallBack(now, sh, p, e.likeliest(now, s, m, p.ID, options))
}

// likeliest puts the earlier pick of the table first if the flow's home was
// lost so shortly after a change of the table that it had no time to copy the
// flows that the change made exceptions.
func (e *Engine) likeliest(now clock.Millis, s *service, m *members, id flow.ID, options []*Upstream) []*Upstream {
	at, lost := e.lostHome(now, m, id)
	after := at - s.history.ChangedAt()
	if len(options) > 1 && lost && after >= 0 && after < copyWindowMillis {
		options[0] = options[1]
	}
	return options
}

// options returns the upstreams that the table had for the flow and that may
// still get its packets, the current pick first.
func (e *Engine) options(s *service, id flow.ID) (list []*Upstream) {
	var buf [maxAsked + 1]config.UpstreamID
	for _, u := range s.history.Candidates(id, buf[:0]) {
		if up := s.byID[u]; up != nil && up.keeps() {
			list = append(list, up)
		}
	}
	return list
}

// lostHome reports whether the home of the flow, for which this VM acts, or an
// earlier one does not answer, and since when.
func (e *Engine) lostHome(now clock.Millis, m *members, id flow.ID) (since clock.Millis, lost bool) {
	if home := m.view.Home(id); home != e.self && home != "" && !m.usable(home) {
		return now, true
	}
	for _, vm := range m.view.PastHomes(id) {
		if vm != "" && !m.live[vm] {
			return m.view.ChangedAt(id), true
		}
	}
	return 0, false
}

// fallBack forwards a packet of a flow that nobody knows to the upstream that
// the table gives. All lasting exceptions are copied, so that a flow without
// a record is where the table has it.
func (e *Engine) fallBack(now clock.Millis, sh *shard, p *Packet, options []*Upstream) Action {
	if len(options) == 0 {
		return drop(Unresolved)
	}
	e.stats.Fallbacks.Add(1)
	return e.continueFlow(now, e.insert(now, sh, p, options[0]), p)
}

// ask holds the packet and asks the VMs that may know its flow. It reports
// false if there is nobody to ask.
func (e *Engine) ask(now clock.Millis, sh *shard, s *service, m *members, p *Packet, opening, wide bool) (Action, bool) {
	targets := e.targets(m, p.ID, wide)
	if len(targets) == 0 {
		return Action{}, false
	}
	if e.pendings.Load() >= maxPending {
		return drop(HoldFull), true
	}
	sh.pending[p.ID] = &pending{
		opening: opening, udp: !p.TCP, vni: s.vni, waiting: targets,
		deadline: now + e.limits.AskTimeoutMillis, client: p.Src, port: p.Dst.Port(),
	}
	e.pendings.Add(1)
	for _, vm := range targets {
		e.stats.Queries.Add(1)
		e.send(Message{To: vm, Kind: Query, ID: p.ID, VNI: s.vni})
	}
	return Action{Kind: Hold}, true
}

// targets lists the VMs to ask: earlier homes, the home and its neighbours in
// rank and, if wide, others that may have the flow in their cache.
func (e *Engine) targets(m *members, id flow.ID, wide bool) (list []config.VMID) {
	add := func(vm config.VMID) {
		if vm == "" || vm == e.self || !m.usable(vm) || len(list) == maxAsked {
			return
		}
		for _, have := range list {
			if have == vm {
				return
			}
		}
		list = append(list, vm)
	}
	for _, vm := range m.view.PastHomes(id) {
		add(vm)
	}
	for n := range homes.Ranks {
		add(m.view.Rank(id, n))
	}
	if wide {
		// VMs that are no homes any more may have placed the flow too.
		for i := range m.all {
			add(m.all[(i+int(id.Lo%uint64(len(m.all))))%len(m.all)])
		}
	}
	return list
}

// Receive handles a message from another VM.
func (e *Engine) Receive(now clock.Millis, from config.VMID, msg Message) {
	r := e.routes.Load()
	if u := r.byID[msg.Upstream]; u != nil && msg.Kind != Query && msg.Kind != Reply {
		msg.VNI = u.VNI
	}
	s := r.services[msg.VNI]
	if s == nil {
		if msg.Kind == Query {
			e.send(Message{To: from, Kind: Reply, ID: msg.ID, VNI: msg.VNI})
		}
		return
	}
	sh := e.shard(msg.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	switch msg.Kind {
	case Query:
		e.answer(sh, from, msg)
	case Reply:
		e.answered(now, sh, s, from, msg)
	default:
		e.note(now, sh, s, msg)
	}
}

// answer tells what this VM knows of a flow. The asker counts the flow from
// now on.
func (e *Engine) answer(sh *shard, from config.VMID, msg Message) {
	reply := Message{To: from, Kind: Reply, ID: msg.ID, VNI: msg.VNI}
	if en := sh.flows[msg.ID]; en != nil && en.up.keeps() {
		reply.Upstream = en.up.ID
		if e.members.Load().view.Home(msg.ID) != e.self {
			en.uncount()
		}
	}
	e.send(reply)
}

// answered takes a VM's answer. Networks may deliver it twice, which counts once.
func (e *Engine) answered(now clock.Millis, sh *shard, s *service, from config.VMID, msg Message) {
	pd := sh.pending[msg.ID]
	if pd == nil {
		return
	}
	if u := s.byID[msg.Upstream]; u != nil && u.keeps() {
		delete(sh.pending, msg.ID)
		e.insert(now, sh, pd.packet(msg.ID), u)
		e.release(Release{ID: msg.ID})
		return
	}
	pd.waiting = slices.DeleteFunc(pd.waiting, func(vm config.VMID) bool { return vm == from })
	if len(pd.waiting) == 0 {
		e.conclude(now, sh, s, msg.ID, pd)
	}
}

// conclude ends the wait for a flow that no VM that answered knows.
func (e *Engine) conclude(now clock.Millis, sh *shard, s *service, id flow.ID, pd *pending) {
	delete(sh.pending, id)
	p := pd.packet(id)
	if pd.opening {
		act := e.placeFlow(now, sh, s, e.members.Load(), p)
		e.release(Release{ID: id, Discard: act.Kind != Forward, Reason: act.Reason})
		return
	}
	options := e.options(s, id)
	if len(options) == 0 || pd.missed {
		e.release(Release{ID: id, Discard: true, Reason: Unresolved})
		return
	}
	e.fallBack(now, sh, p, e.likeliest(now, s, e.members.Load(), id, options))
	e.release(Release{ID: id})
}

// packet rebuilds what steering needs of the packet that began the wait.
func (pd *pending) packet(id flow.ID) *Packet {
	return &Packet{Info: packet.Info{
		VNI: pd.vni, ID: id, TCP: !pd.udp,
		Src: pd.client, Dst: netip.AddrPortFrom(pd.client.Addr(), pd.port),
	}}
}

// note records what another VM says of a flow. The home keeps its own record.
func (e *Engine) note(now clock.Millis, sh *shard, s *service, msg Message) {
	u := s.byID[msg.Upstream]
	if u == nil || !u.keeps() {
		return
	}
	en := sh.flows[msg.ID]
	if en == nil {
		if e.flows.Load() >= int64(e.limits.MaxFlows) && !e.evict(sh) {
			return
		}
		en = e.insert(now, sh, &Packet{Info: packet.Info{ID: msg.ID, TCP: true}}, u)
		en.flags |= flagEstablished
		if msg.Kind == Learn {
			home := e.members.Load().view.Home(msg.ID)
			en.home, en.synced = shortHash(home), e.seconds(now)
		}
	} else if msg.Kind == Learn && en.up != u && e.members.Load().view.Home(msg.ID) != e.self {
		en.uncount()
		en.up = u
	}
	if msg.Kind == Copy || msg.Kind == Handover {
		en.flags |= flagCopy
		en.seen = e.seconds(now)
	}
}
