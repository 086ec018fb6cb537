package steering

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
)

// cluster is a set of engines that exchange packets and messages by direct calls
// instead of sockets.
type cluster struct {
	t       *testing.T
	now     clock.Millis
	file    *config.File
	engines map[config.VMID]*Engine
	vms     []config.VMID
	rng     *rand.Rand
	opts    []Option
	lost    map[config.VMID]bool
}

const testVNI = 7

func testFile(upstreams int) *config.File {
	f := &config.File{Version: 1, Domains: []config.Domain{{Name: "a", State: config.DomainIn}, {Name: "b", State: config.DomainIn}}}
	s := config.Service{
		Name: "web", VNI: testVNI, Address: netip.MustParseAddr("198.51.100.1"), Kinds: []config.Kind{config.KindFlow},
		WarmUp: config.WarmUp{DurationMillis: 10000, InitialPerSecond: 4, FullPerSecond: 40},
	}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, config.Upstream{
			Name: config.UpstreamName(fmt.Sprintf("u%d", i)), Domain: config.DomainName("ab"[i%2 : i%2+1]),
			Address: fmt.Sprintf("127.0.2.%d:6081", i+1), State: config.UpstreamActive, Connections: 1 << 20,
		})
	}
	f.Services = []config.Service{s}
	return f
}

func newCluster(t *testing.T, vms, upstreams int, seed uint64, opts ...Option) *cluster {
	c := &cluster{
		t: t, now: 1_000_000, file: testFile(upstreams), engines: make(map[config.VMID]*Engine),
		rng: rand.New(rand.NewPCG(seed, 9)), opts: opts, lost: make(map[config.VMID]bool),
	}
	for i := range vms {
		c.start(config.VMID(fmt.Sprintf("vm%d", i)))
	}
	c.shareMembership()
	c.advance(120 * clock.Second) // longer than all settle times
	return c
}

func (c *cluster) start(vm config.VMID) {
	e := New(c.now, vm, c.opts...)
	e.SetConfig(c.now, c.file)
	c.engines[vm] = e
	c.vms = append(c.vms, vm)
}

// shareMembership gives all engines the current set of VMs.
func (c *cluster) shareMembership() {
	for _, e := range c.engines {
		e.SetMembers(c.now, Membership{Homes: homeVMs(c.vms), Live: c.vms, PlacerCandidates: c.vms})
	}
}

// setUnreachable makes a VM unreachable for all others, which still consider it
// live.
func (c *cluster) setUnreachable(vm config.VMID) {
	for id, e := range c.engines {
		if id != vm {
			e.SetMembers(c.now, Membership{Homes: homeVMs(c.vms), Live: c.vms, PlacerCandidates: c.vms, Unreachable: []config.VMID{vm}})
		}
	}
}

// homeVMs distributes VMs over three failure domains.
func homeVMs(vms []config.VMID) (list []homes.VM) {
	for _, vm := range vms {
		list = append(list, homes.VM{ID: vm, Domain: config.DomainName(fmt.Sprint(vm[len(vm)-1] % 3))})
	}
	return list
}

// remove removes an engine, after a handover if planned is set.
func (c *cluster) remove(vm config.VMID, planned bool) {
	var rest []config.VMID
	for _, v := range c.vms {
		if v != vm {
			rest = append(rest, v)
		}
	}
	c.vms = rest
	if planned {
		live := append([]config.VMID{vm}, rest...)
		for _, e := range c.engines {
			e.SetMembers(c.now, Membership{Homes: homeVMs(rest), Live: live, PlacerCandidates: rest})
		}
		for _, m := range c.engines[vm].HandoverMessages() {
			c.engines[m.To].Receive(c.now, vm, m)
		}
	}
	delete(c.engines, vm)
	c.shareMembership()
}

func (c *cluster) configure(edit func(f *config.File)) {
	next := *c.file
	next.Domains = append([]config.Domain(nil), c.file.Domains...)
	next.Services = append([]config.Service(nil), c.file.Services...)
	next.Services[0].Upstreams = append([]config.Upstream(nil), c.file.Services[0].Upstreams...)
	edit(&next)
	next.Version++
	c.file = &next
	for _, e := range c.engines {
		e.SetConfig(c.now, c.file)
	}
}

// advance ticks all engines every 100 ms and exchanges flow counts every second.
func (c *cluster) advance(d clock.Millis) {
	for end := c.now + d; c.now < end; {
		c.now += 100
		for _, e := range c.engines {
			e.Tick(c.now)
		}
		c.deliver()
		if c.now%1000 == 0 {
			c.exchangeCounts()
		}
	}
}

func (c *cluster) exchangeCounts() {
	total := make(map[config.UpstreamID]int64)
	for _, e := range c.engines {
		for _, id := range e.UpstreamIDs() {
			total[id] += e.LocalFlows(id)
		}
	}
	for _, e := range c.engines {
		for id, n := range total {
			e.SetRemoteFlows(id, n-e.LocalFlows(id))
		}
	}
}

// deliver delivers messages until none are queued and returns the releases.
func (c *cluster) deliver() (released []Release) {
	for moved := true; moved; {
		moved = false
		for vm, e := range c.engines {
			messages, releases := e.DequeueAll()
			released = append(released, releases...)
			for _, m := range messages {
				moved = true
				if to := c.engines[m.To]; to != nil && !c.lost[m.To] {
					to.Receive(c.now, vm, m)
				}
			}
		}
	}
	return released
}

// testFlow is a caller's connection.
type testFlow struct {
	id  flow.ID
	src netip.AddrPort
	at  netip.AddrPort // upstream that received the last packet
}

func (c *cluster) newFlow() *testFlow {
	n := c.rng.Uint32()
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n), byte(n >> 8)}), uint16(n>>16))
	return &testFlow{id: flow.ID{Hi: c.rng.Uint64(), Lo: c.rng.Uint64()}, src: src}
}

// send sends a packet through a randomly chosen VM and returns the last action
// and the VM that decided on it.
func (c *cluster) send(f *testFlow, flags packet.Flags) (Action, config.VMID) {
	return c.sendVia(f, flags, c.vms[c.rng.IntN(len(c.vms))])
}

func (c *cluster) sendVia(f *testFlow, flags packet.Flags, vm config.VMID) (Action, config.VMID) {
	p := Packet{Info: packet.Info{
		VNI: testVNI, ID: f.id, TCP: true, Flags: flags, Ack: 1, Src: f.src,
		Dst: netip.AddrPortFrom(c.file.Services[0].Address, 443),
	}}
	for range 10 {
		act := c.engines[vm].Handle(c.now, &p)
		if act.Learn != 0 {
			c.engines[p.From].Receive(c.now, vm, Message{Kind: Learn, ID: f.id, Upstream: act.Learn})
		}
		switch act.Kind {
		case Detour:
			p.From, p.Hops, p.CachedUpstream = vm, p.Hops+1, act.CachedUpstream
			vm = act.VM
			if c.engines[vm] == nil {
				return Action{Kind: Drop}, vm
			}
			continue
		case Hold:
			if rel := c.deliver(); len(rel) == 1 && !rel[0].Discard {
				if rel[0].VM != "" {
					p.From, p.Hops, vm = vm, p.Hops+1, rel[0].VM
				}
				continue
			}
			return Action{Kind: Drop, Reason: Unresolved}, vm
		case Forward:
			f.at = act.To
		}
		return act, vm
	}
	c.t.Fatalf("forwarding loop for a packet of flow %v", f.id)
	return Action{}, ""
}

// open opens n flows and sends a few packets of each.
func (c *cluster) open(n int) []*testFlow {
	list := make([]*testFlow, n)
	for i := range list {
		list[i] = c.newFlow()
		act, _ := c.send(list[i], packet.SYN)
		assert.Equal(c.t, act.Kind, Forward)
		c.send(list[i], packet.ACK)
		if i%200 == 199 {
			c.now += 100
			c.exchangeCounts()
		}
	}
	return list
}

// countMoved returns the number of flows whose next packet does not reach their
// upstream.
func (c *cluster) countMoved(list []*testFlow) (n int) {
	for _, f := range list {
		before := f.at
		if act, _ := c.send(f, packet.ACK); act.Kind != Forward || f.at != before {
			n++
		}
	}
	return n
}

// countMisrouted returns the number of flows whose next packet reaches another
// upstream than theirs. A dropped packet reaches none.
func (c *cluster) countMisrouted(list []*testFlow) (n int) {
	for _, f := range list {
		before := f.at
		if c.send(f, packet.ACK); f.at != before {
			n++
		}
		f.at = before
	}
	return n
}

func (c *cluster) loads() (maxOverMean, variation float64) {
	loads := make(map[config.UpstreamID]float64)
	for _, e := range c.engines {
		for _, id := range e.UpstreamIDs() {
			loads[id] += float64(e.LocalFlows(id))
		}
	}
	sum, top, squares := 0.0, 0.0, 0.0
	for _, l := range loads {
		sum += l
		top = max(top, l)
	}
	mean := sum / float64(len(loads))
	for _, l := range loads {
		squares += (l - mean) * (l - mean)
	}
	return top / mean, math.Sqrt(squares/float64(len(loads))) / mean
}
