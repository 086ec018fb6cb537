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

// rig connects engines by direct calls. It stands in for the shells.
type rig struct {
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

func newRig(t *testing.T, vms, upstreams int, seed uint64, opts ...Option) *rig {
	r := &rig{
		t: t, now: 1_000_000, file: testFile(upstreams), engines: make(map[config.VMID]*Engine),
		rng: rand.New(rand.NewPCG(seed, 9)), opts: opts, lost: make(map[config.VMID]bool),
	}
	for i := range vms {
		r.start(config.VMID(fmt.Sprintf("vm%d", i)))
	}
	r.join()
	r.advance(120 * clock.Second) // all settle timers run out
	return r
}

func (r *rig) start(vm config.VMID) {
	e := New(r.now, vm, r.opts...)
	e.SetConfig(r.now, r.file)
	r.engines[vm] = e
	r.vms = append(r.vms, vm)
}

// join tells all engines of all others.
func (r *rig) join() {
	for _, e := range r.engines {
		e.SetMembers(r.now, Membership{Homes: ring(r.vms), Live: r.vms, PlacerCandidates: r.vms})
	}
}

// ring spreads VMs over three failure domains.
func ring(vms []config.VMID) (list []homes.VM) {
	for _, vm := range vms {
		list = append(list, homes.VM{ID: vm, Domain: config.DomainName(fmt.Sprint(vm[len(vm)-1] % 3))})
	}
	return list
}

// remove ends an engine, after a handover if it is planned.
func (r *rig) remove(vm config.VMID, planned bool) {
	var rest []config.VMID
	for _, v := range r.vms {
		if v != vm {
			rest = append(rest, v)
		}
	}
	r.vms = rest
	if planned {
		live := append([]config.VMID{vm}, rest...)
		for _, e := range r.engines {
			e.SetMembers(r.now, Membership{Homes: ring(rest), Live: live, PlacerCandidates: rest})
		}
		for _, m := range r.engines[vm].HandoverMessages() {
			r.engines[m.To].Receive(r.now, vm, m)
		}
	}
	delete(r.engines, vm)
	r.join()
}

func (r *rig) configure(edit func(f *config.File)) {
	next := *r.file
	next.Domains = append([]config.Domain(nil), r.file.Domains...)
	next.Services = append([]config.Service(nil), r.file.Services...)
	next.Services[0].Upstreams = append([]config.Upstream(nil), r.file.Services[0].Upstreams...)
	edit(&next)
	next.Version++
	r.file = &next
	for _, e := range r.engines {
		e.SetConfig(r.now, r.file)
	}
}

// advance ticks all engines and exchanges counts each second.
func (r *rig) advance(d clock.Millis) {
	for end := r.now + d; r.now < end; {
		r.now += 100
		for _, e := range r.engines {
			e.Tick(r.now)
		}
		r.pump()
		if r.now%1000 == 0 {
			r.exchangeCounts()
		}
	}
}

func (r *rig) exchangeCounts() {
	total := make(map[config.UpstreamID]int64)
	for _, e := range r.engines {
		for _, id := range e.UpstreamIDs() {
			total[id] += e.LocalFlows(id)
		}
	}
	for _, e := range r.engines {
		for id, n := range total {
			e.SetRemoteFlows(id, n-e.LocalFlows(id))
		}
	}
}

// pump carries messages until none are left, and returns the releases.
func (r *rig) pump() (released []Release) {
	for moved := true; moved; {
		moved = false
		for vm, e := range r.engines {
			messages, releases := e.DequeueAll()
			released = append(released, releases...)
			for _, m := range messages {
				moved = true
				if to := r.engines[m.To]; to != nil && !r.lost[m.To] {
					to.Receive(r.now, vm, m)
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
	at  netip.AddrPort // upstream that got the last packet
}

func (r *rig) newFlow() *testFlow {
	n := r.rng.Uint32()
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n), byte(n >> 8)}), uint16(n>>16))
	return &testFlow{id: flow.ID{Hi: r.rng.Uint64(), Lo: r.rng.Uint64()}, src: src}
}

// send sends a packet through a VM drawn at random and returns the last
// action and the VM that took it.
func (r *rig) send(f *testFlow, flags packet.Flags) (Action, config.VMID) {
	return r.sendVia(f, flags, r.vms[r.rng.IntN(len(r.vms))])
}

func (r *rig) sendVia(f *testFlow, flags packet.Flags, vm config.VMID) (Action, config.VMID) {
	p := Packet{Info: packet.Info{
		VNI: testVNI, ID: f.id, TCP: true, Flags: flags, Ack: 1, Src: f.src,
		Dst: netip.AddrPortFrom(r.file.Services[0].Address, 443),
	}}
	for range 10 {
		act := r.engines[vm].Handle(r.now, &p)
		if act.Learn != 0 {
			r.engines[p.From].Receive(r.now, vm, Message{Kind: Learn, ID: f.id, Upstream: act.Learn})
		}
		switch act.Kind {
		case Detour:
			p.From, p.Hops, p.CachedUpstream = vm, p.Hops+1, act.CachedUpstream
			vm = act.VM
			if r.engines[vm] == nil {
				return Action{Kind: Drop}, vm
			}
			continue
		case Hold:
			if rel := r.pump(); len(rel) == 1 && !rel[0].Discard {
				continue
			}
			return Action{Kind: Drop, Reason: Unresolved}, vm
		case Forward:
			f.at = act.To
		}
		return act, vm
	}
	r.t.Fatalf("a packet of %v goes round in circles", f.id)
	return Action{}, ""
}

// open opens n flows and sends a few packets of each.
func (r *rig) open(n int) []*testFlow {
	list := make([]*testFlow, n)
	for i := range list {
		list[i] = r.newFlow()
		act, _ := r.send(list[i], packet.SYN)
		assert.Equal(r.t, act.Kind, Forward)
		r.send(list[i], packet.ACK)
		if i%200 == 199 {
			r.now += 100
			r.exchangeCounts()
		}
	}
	return list
}

// moved counts the flows whose next packet does not reach their upstream.
func (r *rig) moved(list []*testFlow) (n int) {
	for _, f := range list {
		before := f.at
		if act, _ := r.send(f, packet.ACK); act.Kind != Forward || f.at != before {
			n++
		}
	}
	return n
}

func (r *rig) loads() (maxOverMean, variation float64) {
	loads := make(map[config.UpstreamID]float64)
	for _, e := range r.engines {
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
