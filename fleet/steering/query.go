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
	// maxPending is the maximum number of flows with a pending query.
	maxPending = 8192
	// copyDelayMillis is the time that a home needs to copy the exceptions that
	// a change of the table creates, plus the time to detect that the home
	// failed.
	copyDelayMillis = 10 * clock.Second
	// maxQueryTargets is the maximum number of VMs queried for one flow.
	maxQueryTargets = 8
)

// resolveTCPFlow handles a packet of an established TCP flow without an entry at
// its home. Such a flow is not placed as a new one, since that could move it to
// another upstream.
func (e *Engine) resolveTCPFlow(now clock.Millis, sh *shard, s *service, m *members, p *Packet) Action {
	if e.placeLocally {
		return e.placeFlow(now, sh, s, m, p)
	}
	candidates := e.tableCandidates(s, p.ID)
	ambiguous := len(candidates) > 1
	changedLately := now-m.view.ChangedAt(p.ID) < e.limits.EstablishedSettleMillis
	if ambiguous || changedLately || m.unreachableHome(p.ID) != "" {
		_, lost := e.lostHome(now, m, p.ID)
		recent := now-m.view.ChangedAt(p.ID) < e.limits.SettleMillis
		includeCaches := ambiguous || recent || lost
		if act, queried := e.queryPeers(now, sh, s, m, p, false, includeCaches); queried {
			return act
		}
	}
	return e.fallBack(now, sh, p, e.preferPreviousPick(now, s, m, p.ID, candidates))
}

// preferPreviousPick puts the previous pick of the table first if the flow's home
// failed too soon after a change of the table to copy the flows that
// became exceptions by this change.
func (e *Engine) preferPreviousPick(now clock.Millis, s *service, m *members, id flow.ID, candidates []*Upstream) []*Upstream {
	at, lost := e.lostHome(now, m, id)
	after := at - s.history.ChangedAt()
	if len(candidates) > 1 && lost && after >= 0 && after < copyDelayMillis {
		candidates[0] = candidates[1]
	}
	return candidates
}

// tableCandidates returns the upstreams that the current and previous tables
// assign to the flow and that still serve flows, the current pick first.
func (e *Engine) tableCandidates(s *service, id flow.ID) (list []*Upstream) {
	var buf [maxQueryTargets + 1]config.UpstreamID
	for _, u := range s.history.Candidates(id, buf[:0]) {
		if up := s.byID[u]; up != nil && up.servesFlows() {
			list = append(list, up)
		}
	}
	return list
}

// lostHome reports whether the current home of the flow, for which this VM acts,
// is not reachable, or a previous home is not live, and since when.
func (e *Engine) lostHome(now clock.Millis, m *members, id flow.ID) (since clock.Millis, lost bool) {
	if m.unreachableHome(id) != "" {
		return now, true
	}
	for _, vm := range m.view.PastHomes(id) {
		if vm != "" && !m.live[vm] {
			return m.view.ChangedAt(id), true
		}
	}
	return 0, false
}

// fallBack forwards a packet of a flow that no queried VM knows to the first
// candidate. Since exceptions are copied to other VMs, a flow without an entry
// is on the upstream that the table assigns to it.
func (e *Engine) fallBack(now clock.Millis, sh *shard, p *Packet, candidates []*Upstream) Action {
	if len(candidates) == 0 {
		return drop(Unresolved)
	}
	e.stats.Fallbacks.Add(1)
	return e.continueFlow(now, e.insert(now, sh, p, candidates[0]), p)
}

// queryPeers holds the packet and queries the VMs that may know its flow. An
// unreachable home that replies places a new flow. queryPeers returns false if there
// is no VM to query. If maxPending queries are pending, it drops the packet.
func (e *Engine) queryPeers(now clock.Millis, sh *shard, s *service, m *members, p *Packet, isNew, includeCaches bool) (Action, bool) {
	targets := e.queryTargets(m, p.ID, includeCaches)
	if isNew {
		targets = appendUnreachable(m, targets, m.view.Home(p.ID))
	} else {
		targets = e.appendUnreachablePlacers(now, m, targets, p.ID, includeCaches)
	}
	if len(targets) == 0 {
		return Action{}, false
	}
	if e.pendingCount.Load() >= maxPending {
		return drop(HoldFull), true
	}
	sh.pending[p.ID] = &flowQuery{
		isNew: isNew, udp: !p.TCP, vni: s.vni, awaiting: targets,
		deadline: now + e.limits.AskTimeoutMillis, client: p.Src, port: p.Dst.Port(), hops: p.Hops,
	}
	e.pendingCount.Add(1)
	for _, vm := range targets {
		e.stats.Queries.Add(1)
		e.send(Message{To: vm, Kind: Query, ID: p.ID, VNI: s.vni})
	}
	return Action{Kind: Hold}, true
}

// queryTargets returns the VMs to query: the previous homes, the home, the next
// VMs in rank and, if includeCaches is set, other live VMs that may have cached
// the flow.
func (e *Engine) queryTargets(m *members, id flow.ID, includeCaches bool) (list []config.VMID) {
	add := func(vm config.VMID) {
		if vm == "" || vm == e.self || !m.reachable(vm) || len(list) == maxQueryTargets {
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
	if includeCaches {
		// VMs that are no longer homes may also have placed the flow.
		for i := range m.allLive {
			add(m.allLive[(i+int(id.Lo%uint64(len(m.allLive))))%len(m.allLive)])
		}
	}
	return list
}

// appendUnreachablePlacers appends the VMs that this VM cannot reach and that may have
// placed an established flow: those that rank before this one, the previous homes
// and, if includeCaches is set, the VMs that became unreachable a short time ago. A VM
// that was paused or is short of CPU replies once it runs again, before the others
// find it reachable.
func (e *Engine) appendUnreachablePlacers(now clock.Millis, m *members, list []config.VMID, id flow.ID, includeCaches bool) []config.VMID {
	for n := range homes.Ranks {
		vm := m.view.Rank(id, n)
		if vm == e.self {
			break
		}
		list = appendUnreachable(m, list, vm)
	}
	for _, vm := range m.view.PastHomes(id) {
		list = appendUnreachable(m, list, vm)
	}
	if !includeCaches {
		return list
	}
	for vm, since := range m.unreachableSince {
		if now-since < e.limits.UnreachableMillis && len(list) < 2*maxQueryTargets {
			list = appendUnreachable(m, list, vm)
		}
	}
	return list
}

// appendUnreachable appends vm to list if it is live but cannot be reached directly,
// and not in list yet.
func appendUnreachable(m *members, list []config.VMID, vm config.VMID) []config.VMID {
	if !m.unreachable(vm) || slices.Contains(list, vm) {
		return list
	}
	return append(list, vm)
}

// Receive handles a message that arrives from another VM at now.
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
		e.replyTo(sh, from, msg)
	case Reply:
		e.receiveReply(now, sh, s, from, msg)
	default:
		e.recordMessage(now, sh, s, msg)
	}
}

// replyTo replies to a query with the upstream of the flow, if known. From then on
// the querying VM counts the flow, so this VM stops unless it is the home.
func (e *Engine) replyTo(sh *shard, from config.VMID, msg Message) {
	reply := Message{To: from, Kind: Reply, ID: msg.ID, VNI: msg.VNI}
	if en := sh.flows[msg.ID]; en != nil && en.upstream.servesFlows() {
		reply.Upstream = en.upstream.ID
		if e.members.Load().view.Home(msg.ID) != e.self {
			en.uncount()
		}
	}
	e.send(reply)
}

// receiveReply handles a reply. The network may duplicate it, so each VM counts
// only once.
func (e *Engine) receiveReply(now clock.Millis, sh *shard, s *service, from config.VMID, msg Message) {
	query := sh.pending[msg.ID]
	if query == nil {
		return
	}
	if u := s.byID[msg.Upstream]; u != nil && u.servesFlows() {
		delete(sh.pending, msg.ID)
		e.insert(now, sh, query.packet(msg.ID), u)
		e.release(Release{ID: msg.ID})
		return
	}
	if from == e.members.Load().view.Home(msg.ID) {
		query.home = from
	}
	query.awaiting = slices.DeleteFunc(query.awaiting, func(vm config.VMID) bool { return vm == from })
	if len(query.awaiting) == 0 {
		e.finishQuery(now, sh, s, msg.ID, query)
	}
}

// finishQuery ends a query for a flow that is unknown to all VMs that replied.
func (e *Engine) finishQuery(now clock.Millis, sh *shard, s *service, id flow.ID, query *flowQuery) {
	delete(sh.pending, id)
	p := query.packet(id)
	if query.isNew {
		e.finishNewFlow(now, sh, s, p, query)
		return
	}
	m := e.members.Load()
	candidates := e.tableCandidates(s, id)
	if len(candidates) == 0 || e.mayStillReply(now, m, query) {
		e.release(Release{ID: id, Discard: true, Reason: Unresolved})
		return
	}
	e.fallBack(now, sh, p, e.preferPreviousPick(now, s, m, id, candidates))
	e.release(Release{ID: id})
}

// mayStillReply reports whether a VM that has not replied to the query can be
// expected to reply to the next one: it is reachable, or it has been unreachable for
// less than UnreachableMillis, so that it may only be paused.
func (e *Engine) mayStillReply(now clock.Millis, m *members, query *flowQuery) bool {
	for _, vm := range query.awaiting {
		if m.reachable(vm) || m.unreachable(vm) && now-m.unreachableSince[vm] < e.limits.UnreachableMillis {
			return true
		}
	}
	return false
}

// finishNewFlow lets the home place a new flow if it replied, or else places it.
func (e *Engine) finishNewFlow(now clock.Millis, sh *shard, s *service, p *Packet, query *flowQuery) {
	if query.home != "" && query.hops <= maxHops {
		e.release(Release{ID: p.ID, VM: query.home})
		return
	}
	act := e.placeFlow(now, sh, s, e.members.Load(), p)
	e.release(Release{ID: p.ID, Discard: act.Kind != Forward, Reason: act.Reason})
}

// packet returns the packet that started the query, as far as this package needs
// it.
func (query *flowQuery) packet(id flow.ID) *Packet {
	return &Packet{Info: packet.Info{
		VNI: query.vni, ID: id, TCP: !query.udp,
		Src: query.client, Dst: netip.AddrPortFrom(query.client.Addr(), query.port),
	}}
}

// recordMessage stores the upstream in a Learn, Copy or Handover message. The home
// keeps the upstream in its own entry.
func (e *Engine) recordMessage(now clock.Millis, sh *shard, s *service, msg Message) {
	u := s.byID[msg.Upstream]
	if u == nil || !u.servesFlows() {
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
			en.homeHash, en.syncedAt = shortHash(home), e.seconds(now)
		}
	} else if msg.Kind == Learn && en.upstream != u && e.members.Load().view.Home(msg.ID) != e.self {
		en.uncount()
		en.upstream = u
	}
	if msg.Kind == Copy || msg.Kind == Handover {
		en.flags |= flagCopy
		en.lastSeen = e.seconds(now)
	}
}
