package steering

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
)

// maxHops is the number of detours after which a VM acts as the home.
const maxHops = 2

// Handle decides what happens to a packet at now.
func (e *Engine) Handle(now clock.Millis, p *Packet) Action {
	s := e.routes.Load().services[p.VNI]
	if s == nil || p.Dst.Addr() != s.address {
		return drop(UnknownService)
	}
	m := e.members.Load()
	home := e.homeFor(m, p)
	sh := e.shard(p.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	en := sh.flows[p.ID]
	if en != nil && !en.up.keeps() {
		return e.endFlow(sh, p, en)
	}
	if home != e.self {
		return e.handleAsIngress(now, home, p, en)
	}
	return e.handleAsHome(now, sh, s, m, p, en)
}

// homeFor returns the VM that the packet should go to: the home, or the next
// in rank if the home cannot be reached directly.
func (e *Engine) homeFor(m *members, p *Packet) config.VMID {
	if e.homeless || p.Hops >= maxHops {
		return e.self
	}
	for n := range homes.Ranks {
		vm := m.view.Rank(p.ID, n)
		if vm == e.self || (vm != "" && m.usable(vm) && vm != p.From) {
			return vm
		}
	}
	return e.self
}

// endFlow answers a packet of a flow whose upstream may get nothing more.
func (e *Engine) endFlow(sh *shard, p *Packet, en *entry) Action {
	e.remove(sh, p.ID, en)
	e.stats.Resets.Add(1)
	return Action{Kind: Reset}
}

func (e *Engine) handleAsIngress(now clock.Millis, home config.VMID, p *Packet, en *entry) Action {
	if en == nil || p.opens() {
		return Action{Kind: Detour, VM: home}
	}
	e.touch(now, en, p)
	detour := Action{Kind: Detour, VM: home, CachedUpstream: en.up.ID}
	if p.ends() {
		en.flags |= flagClosing
		en.uncount()
		return detour
	}
	at := e.seconds(now)
	mark := shortHash(home)
	if en.home != mark || at-en.synced >= uint32(e.limits.RefreshMillis/clock.Second) {
		en.home, en.synced = mark, at
		en.uncount()
		return detour
	}
	return Action{Kind: Forward, To: en.up.Addr}
}

func (e *Engine) touch(now clock.Millis, en *entry, p *Packet) {
	en.seen = e.seconds(now)
	if en.packets < 255 {
		en.packets++
	}
	if p.TCP {
		en.ack = p.Ack
	}
	if !p.opens() {
		en.flags |= flagEstablished
	}
}

func (e *Engine) handleAsHome(now clock.Millis, sh *shard, s *service, m *members, p *Packet, en *entry) Action {
	if en != nil && p.opens() && e.reopens(now, en) {
		return e.reopen(now, sh, s, m, p, en)
	}
	if en != nil {
		return e.continueFlow(now, en, p)
	}
	if sh.pending[p.ID] != nil {
		return Action{Kind: Hold}
	}
	if p.CachedUpstream != 0 && !p.opens() {
		if u := s.byID[p.CachedUpstream]; u != nil && u.keeps() {
			e.stats.Adopted.Add(1)
			return e.continueFlow(now, e.insert(now, sh, p, u), p)
		}
	}
	switch {
	case p.opens():
		return e.openFlow(now, sh, s, m, p)
	case p.TCP:
		return e.findFlow(now, sh, s, m, p)
	}
	return e.findOrOpen(now, sh, s, m, p)
}

// reopens reports whether a SYN on a known flow starts another connection
// from the same port, rather than repeating the first SYN.
func (e *Engine) reopens(now clock.Millis, en *entry) bool {
	if en.is(flagClosing) {
		return true
	}
	old := e.seconds(now)-en.since >= uint32(e.limits.HalfOpenMillis/clock.Second)
	return old && en.up.State() != Active
}

// reopen places a connection that uses the port of an earlier one. It stays
// on the same upstream if that takes new flows, because other VMs may still
// have the earlier flow in their caches; else all are told.
func (e *Engine) reopen(now clock.Millis, sh *shard, s *service, m *members, p *Packet, en *entry) Action {
	same := en.up
	e.remove(sh, p.ID, en)
	if same.State() == Active && !same.Ramp().Cold(now) {
		return e.continueFlow(now, e.insert(now, sh, p, same), p)
	}
	u, reason := e.choose(now, s, m, p)
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

// continueFlow forwards a packet of a flow that this VM is home of.
func (e *Engine) continueFlow(now clock.Millis, en *entry, p *Packet) Action {
	e.touch(now, en, p)
	en.flags = en.flags&^flagCopy | flagOwned
	if !en.client16(p.Src.Addr()) {
		en.setClient(p)
	}
	act := Action{Kind: Forward, To: en.up.Addr}
	if p.ends() {
		en.flags |= flagClosing
		en.uncount()
		return act
	}
	if !en.is(flagClosing) {
		en.count()
	}
	if p.From != "" && e.teaches(en, p) {
		act.Learn = en.up.ID
	}
	return act
}

// teaches reports whether the VM that detoured the packet is told where the
// flow is: always if it believes wrongly, and within the permitted rate if the
// flow goes on.
func (e *Engine) teaches(en *entry, p *Packet) bool {
	if p.CachedUpstream != 0 {
		return p.CachedUpstream != en.up.ID
	}
	return en.is(flagEstablished) && en.packets >= e.limits.LearnAfter && e.learns.Add(-1) >= 0
}

// insert adds an entry for the packet's flow. The caller checked the room.
func (e *Engine) insert(now clock.Millis, sh *shard, p *Packet, u *Upstream) *entry {
	at := e.seconds(now)
	en := &entry{up: u, seen: at, since: at}
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

func (en *entry) client16(a netip.Addr) bool { return en.client == a.As16() }

// resetSegment describes the reset that ends the flow towards its caller.
func (en *entry) resetSegment(s *service) packet.Segment {
	client := netip.AddrFrom16(en.client)
	if s.address.Is4() {
		client = client.Unmap()
	}
	return packet.Segment{
		VNI: s.vni, TCP: true, Flags: packet.RST, Seq: en.ack,
		Src: netip.AddrPortFrom(s.address, en.ports[1]),
		Dst: netip.AddrPortFrom(client, en.ports[0]),
	}
}
