package steering

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
)

// maxHops is the number of detours after which the receiving VM acts as the home,
// which prevents forwarding loops.
const maxHops = 2

// Handle returns the action for a packet that arrives at now.
func (e *Engine) Handle(now clock.Millis, p *Packet) Action {
	s := e.routes.Load().services[p.VNI]
	if s == nil || p.Dst.Addr() != s.address {
		return drop(UnknownService)
	}
	m := e.members.Load()
	home := e.nextHop(m, p)
	sh := e.shard(p.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	en := sh.flows[p.ID]
	if en != nil && !en.upstream.servesFlows() {
		return e.resetFlow(sh, p, en)
	}
	if home != e.self {
		return e.handleAsIngress(now, home, p, en)
	}
	return e.handleAsHome(now, sh, s, m, p, en)
}

// nextHop returns the VM that handles the packet: the home, or the next reachable
// VM in rank if the home cannot be reached directly.
func (e *Engine) nextHop(m *members, p *Packet) config.VMID {
	if e.placeLocally || p.Hops >= maxHops {
		return e.self
	}
	for n := range homes.Ranks {
		vm := m.view.Rank(p.ID, n)
		if vm == e.self || (vm != "" && m.reachable(vm) && vm != p.From) {
			return vm
		}
	}
	return e.self
}

// resetFlow removes a flow whose upstream must not receive packets and resets
// its connection.
func (e *Engine) resetFlow(sh *shard, p *Packet, en *entry) Action {
	e.remove(sh, p.ID, en)
	e.stats.Resets.Add(1)
	return Action{Kind: Reset}
}

// handleAsIngress returns the action for a packet whose next hop is another VM: the
// home, or a fallback if the home cannot be reached directly.
func (e *Engine) handleAsIngress(now clock.Millis, home config.VMID, p *Packet, en *entry) Action {
	if en == nil || p.startsConnection() {
		return Action{Kind: Detour, VM: home}
	}
	e.recordPacket(now, en, p)
	detour := Action{Kind: Detour, VM: home, CachedUpstream: en.upstream.ID}
	if p.closesConnection() {
		en.flags |= flagClosing
		en.uncount()
		return detour
	}
	hash := shortHash(home)
	if en.homeHash != hash || e.elapsed(now, en.syncedAt) >= e.limits.RefreshMillis {
		en.homeHash, en.syncedAt = hash, e.seconds(now)
		en.uncount()
		return detour
	}
	return Action{Kind: Forward, To: en.upstream.Addr}
}

func (e *Engine) recordPacket(now clock.Millis, en *entry, p *Packet) {
	en.lastSeen = e.seconds(now)
	if en.packets < 255 {
		en.packets++
	}
	if p.TCP {
		en.lastAck = p.Ack
	}
	if !p.startsConnection() {
		en.flags |= flagEstablished
	}
}

func (e *Engine) handleAsHome(now clock.Millis, sh *shard, s *service, m *members, p *Packet, en *entry) Action {
	if en != nil && p.startsConnection() && e.isPortReuse(now, en) {
		return e.replaceFlow(now, sh, s, m, p, en)
	}
	if en != nil {
		return e.continueFlow(now, en, p)
	}
	if sh.pending[p.ID] != nil {
		return Action{Kind: Hold}
	}
	if p.CachedUpstream != 0 && !p.startsConnection() {
		if u := s.byID[p.CachedUpstream]; u != nil && u.servesFlows() {
			e.stats.Adopted.Add(1)
			return e.continueFlow(now, e.insert(now, sh, p, u), p)
		}
	}
	switch {
	case p.startsConnection():
		return e.openTCPFlow(now, sh, s, m, p)
	case p.TCP:
		return e.resolveTCPFlow(now, sh, s, m, p)
	}
	return e.resolveUDPFlow(now, sh, s, m, p)
}

// isPortReuse reports whether a SYN on a known flow is placed as a new connection
// from the same port: the flow is closing, or it is at least HalfOpenMillis old, so
// that the SYN is no retransmission, and its upstream is not Active. A new
// connection on an Active upstream needs no new placement and keeps the flow.
func (e *Engine) isPortReuse(now clock.Millis, en *entry) bool {
	if en.hasAny(flagClosing) {
		return true
	}
	old := e.elapsed(now, en.createdAt) >= e.limits.HalfOpenMillis
	return old && en.upstream.State() != Active
}

// replaceFlow places a connection that reuses the port of an earlier one. It keeps
// the upstream if that is active and warm, because other VMs may still have the
// earlier flow in their caches. Otherwise it sends the new upstream to all VMs.
func (e *Engine) replaceFlow(now clock.Millis, sh *shard, s *service, m *members, p *Packet, en *entry) Action {
	same := en.upstream
	e.remove(sh, p.ID, en)
	if same.State() == Active && !same.Ramp().Cold(now) {
		return e.continueFlow(now, e.insert(now, sh, p, same), p)
	}
	u, reason := e.chooseUpstream(now, s, m, p)
	if u == nil {
		return drop(reason)
	}
	for vm := range m.live {
		if vm != e.self {
			e.send(Message{To: vm, Kind: Learn, ID: p.ID, Upstream: u.ID})
		}
	}
	return e.continueFlow(now, e.insert(now, sh, p, u), p)
}

// continueFlow forwards a packet of a known flow at its home.
func (e *Engine) continueFlow(now clock.Millis, en *entry, p *Packet) Action {
	e.recordPacket(now, en, p)
	en.flags = en.flags&^flagCopy | flagHome
	if !en.hasClient(p.Src.Addr()) {
		en.setClient(p)
	}
	act := Action{Kind: Forward, To: en.upstream.Addr}
	if p.closesConnection() {
		en.flags |= flagClosing
		en.uncount()
		return act
	}
	if !en.hasAny(flagClosing) {
		en.count()
	}
	if p.From != "" && e.shouldLearn(en, p) {
		act.Learn = en.upstream.ID
	}
	return act
}

// shouldLearn reports whether the VM that detoured the packet is sent the
// upstream of the flow. It is if its cached upstream is wrong, or if it has none and
// the flow is established and has had LearnAfter packets here, within the rate
// limit.
func (e *Engine) shouldLearn(en *entry, p *Packet) bool {
	if p.CachedUpstream != 0 {
		return p.CachedUpstream != en.upstream.ID
	}
	return en.hasAny(flagEstablished) && en.packets >= e.limits.LearnAfter && e.learnTokens.Add(-1) >= 0
}

// insert adds an entry for the flow of the packet. It does not check MaxFlows.
func (e *Engine) insert(now clock.Millis, sh *shard, p *Packet, u *Upstream) *entry {
	at := e.seconds(now)
	en := &entry{upstream: u, lastSeen: at, createdAt: at}
	en.setClient(p)
	sh.flows[p.ID] = en
	e.flows.Add(1)
	return en
}

func (en *entry) setClient(p *Packet) {
	en.client = p.Src.Addr().As16()
	en.ports = [2]uint16{p.Src.Port(), p.Dst.Port()}
	en.flags &^= flagTCP
	if p.TCP {
		en.flags |= flagTCP
	}
}

func (en *entry) hasClient(a netip.Addr) bool { return en.client == a.As16() }

// resetSegment returns the TCP reset that closes the flow's connection at its
// client.
func (en *entry) resetSegment(s *service) packet.Segment {
	client := netip.AddrFrom16(en.client)
	if s.address.Is4() {
		client = client.Unmap()
	}
	return packet.Segment{
		VNI: s.vni, TCP: true, Flags: packet.RST, Seq: en.lastAck,
		Src: netip.AddrPortFrom(s.address, en.ports[1]),
		Dst: netip.AddrPortFrom(client, en.ports[0]),
	}
}
