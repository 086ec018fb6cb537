package steering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
)

func TestFlowsStay(t *testing.T) {
	drain := func(r *rig) {
		r.configure(func(f *config.File) { f.Services[0].Upstreams[0].State = config.UpstreamDrain })
	}
	tests := []struct {
		name   string
		change func(r *rig)
	}{
		{"no change", func(*rig) {}},
		{"upstream drains", drain},
		{"upstream is removed", func(r *rig) {
			r.configure(func(f *config.File) { f.Services[0].Upstreams = f.Services[0].Upstreams[1:] })
		}},
		{"upstream is added", func(r *rig) {
			r.configure(func(f *config.File) {
				u := f.Services[0].Upstreams[0]
				u.Name, u.Address = "new", "127.0.2.99:6081"
				f.Services[0].Upstreams = append(f.Services[0].Upstreams, u)
			})
		}},
		{"VM leaves as planned", func(r *rig) { r.remove("vm3", true) }},
		{"VM joins", func(r *rig) { r.start("vmX"); r.join() }},
		{"upstream drains and VM leaves at once", func(r *rig) { drain(r); r.remove("vm3", true) }},
		{"upstream drains, then VM dies", func(r *rig) { drain(r); r.advance(30 * clock.Second); r.remove("vm3", false) }},
		{"VM dies as an upstream drains", func(r *rig) { drain(r); r.remove("vm3", false) }},
		{"a failure domain of VMs dies", func(r *rig) {
			for _, vm := range append([]config.VMID(nil), r.vms...) {
				if vm[2]%3 == 0 {
					r.remove(vm, false)
				}
			}
		}},
		{"every VM is replaced", func(r *rig) {
			for _, vm := range append([]config.VMID(nil), r.vms...) {
				r.remove(vm, true)
				r.advance(3 * clock.Second)
				r.start(vm)
				r.join()
				r.advance(3 * clock.Second)
			}
		}},
		{"every VM is replaced in a drain", func(r *rig) {
			drain(r)
			for _, vm := range append([]config.VMID(nil), r.vms...) {
				r.remove(vm, true)
				r.start(vm)
				r.join()
				r.advance(6 * clock.Second)
			}
		}},
		{"half of the VMs leave one after the other", func(r *rig) {
			for range 4 {
				r.remove(r.vms[0], true)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, 9, 14, 1)
			flows := r.open(3000)
			r.advance(5 * clock.Second)
			test.change(r)
			assert.Equal(t, r.moved(flows), 0)
			r.advance(5 * clock.Second)
			assert.Equal(t, r.moved(flows), 0)
		})
	}
}

func TestSpread(t *testing.T) {
	tests := []struct {
		flows, upstreams int
		want             float64
	}{
		{10000, 14, 1.05},
		{2000, 4, 1.05},
	}
	for _, test := range tests {
		r := newRig(t, 9, test.upstreams, 2)
		r.open(test.flows)
		maxOverMean, variation := r.loads()
		t.Logf("%d flows on %d upstreams: max/mean %.3f, variation %.3f", test.flows, test.upstreams, maxOverMean, variation)
		assert.Assert(t, maxOverMean <= test.want)
	}
}

func TestDomainOut(t *testing.T) {
	r := newRig(t, 5, 8, 3)
	flows := r.open(500)
	out := make(map[netip.AddrPort]bool)
	for i, u := range r.file.Services[0].Upstreams {
		out[netip.MustParseAddrPort(u.Address)] = i%2 == 1
	}
	r.configure(func(f *config.File) { f.Domains[1].State = config.DomainOut })
	for _, f := range flows {
		was := f.at
		act, _ := r.send(f, packet.ACK)
		if out[was] {
			assert.Equal(t, act.Kind, Reset)
		} else {
			assert.Equal(t, f.at, was)
		}
	}
	for range 500 {
		f := r.newFlow()
		r.send(f, packet.SYN)
		assert.Assert(t, !out[f.at])
	}
}

func TestDomainOutResetsIdleCallers(t *testing.T) {
	r := newRig(t, 3, 4, 4)
	r.open(100)
	r.configure(func(f *config.File) { f.Domains[0].State = config.DomainOut })
	resets := make(map[netip.AddrPort]bool)
	lost := 0
	for _, e := range r.engines {
		for range shardCount / shardsPerTick {
			for _, o := range e.Tick(r.now) {
				resets[o.Segment.Dst] = true
			}
		}
		for i := range e.shards {
			for id, en := range e.shards[i].flows {
				if !en.up.keeps() && e.members.Load().view.Home(id) == e.self {
					lost++
				}
			}
		}
	}
	assert.Assert(t, lost > 20)
	assert.Equal(t, len(resets), lost)
}

func TestAddressGivenToAnotherService(t *testing.T) {
	r := newRig(t, 3, 4, 5)
	flows := r.open(200)
	address := r.file.Services[0].Upstreams[0].Address
	r.configure(func(f *config.File) {
		other := f.Services[0]
		other.Name, other.VNI, other.Address = "other", testVNI+1, netip.MustParseAddr("198.51.100.9")
		other.Upstreams = []config.Upstream{f.Services[0].Upstreams[0]}
		f.Services[0].Upstreams = f.Services[0].Upstreams[1:]
		f.Services = append(f.Services, other)
	})
	for _, f := range flows {
		was := f.at
		act, _ := r.send(f, packet.ACK)
		if was.String() == address {
			assert.Equal(t, act.Kind, Reset)
		}
	}
}

func TestColdUpstream(t *testing.T) {
	for _, vms := range []int{1, 3, 9, 40} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			r := newRig(t, vms, 4, 6)
			r.open(1000)
			r.configure(func(f *config.File) { f.Services[0].Upstreams[2].State = config.UpstreamDrain })
			r.configure(func(f *config.File) { f.Services[0].Upstreams[2].State = config.UpstreamActive })
			cold := netip.MustParseAddrPort(r.file.Services[0].Upstreams[2].Address)
			start, limits := r.now, r.file.Services[0].WarmUp
			var times []clock.Millis
			for r.now < start+8*clock.Second {
				for range 30 {
					f := r.newFlow()
					if r.send(f, packet.SYN); f.at == cold {
						times = append(times, r.now)
					}
				}
				r.now += 20
			}
			for i := range times {
				n := 0
				for j := i; j < len(times) && times[j]-times[i] < clock.Second; j++ {
					n++
				}
				end := float64(times[i]-start+clock.Second) / float64(limits.DurationMillis)
				bears := limits.InitialPerSecond + end*(limits.FullPerSecond-limits.InitialPerSecond)
				assert.Assert(t, float64(n) <= bears+1e-9, "%d flows in the second after %d ms, %.1f are borne", n, times[i]-start, bears)
			}
			assert.Assert(t, len(times) > 40, "the cold upstream got only %d flows", len(times))
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	r := newRig(t, 5, 2, 7)
	r.configure(func(f *config.File) {
		for i := range f.Services[0].Upstreams {
			f.Services[0].Upstreams[i].Connections = 100
		}
	})
	r.exchangeCounts()
	taken, refused := 0, 0
	for i := range 400 {
		if act, _ := r.send(r.newFlow(), packet.SYN); act.Kind == Forward {
			taken++
		} else {
			assert.Equal(t, act.Reason, AllFull)
			refused++
		}
		if i%20 == 0 {
			r.exchangeCounts()
		}
	}
	assert.Assert(t, taken <= 200 && taken > 170, "%d of 200 connections were used", taken)
	assert.Equal(t, taken+refused, 400)
}

func TestPortUsedAgain(t *testing.T) {
	r := newRig(t, 9, 14, 8)
	flows := r.open(300)
	for _, f := range flows {
		for range 30 { // many VMs cache the flow
			r.send(f, packet.ACK)
		}
		r.send(f, packet.FIN|packet.ACK)
	}
	r.configure(func(f *config.File) { f.Services[0].Upstreams[0].State = config.UpstreamDrain })
	for _, f := range flows {
		act, _ := r.send(f, packet.SYN)
		assert.Equal(t, act.Kind, Forward)
		r.pump()
	}
	for range 5 {
		assert.Equal(t, r.moved(flows), 0)
	}
	drained := netip.MustParseAddrPort(r.file.Services[0].Upstreams[0].Address)
	for _, f := range flows {
		assert.Assert(t, f.at != drained)
	}
}

func TestUnhealthyUpstreams(t *testing.T) {
	r := newRig(t, 1, 4, 9)
	e := r.engines["vm0"]
	ids := e.UpstreamIDs()
	count := func() map[config.UpstreamID]int64 {
		before := make(map[config.UpstreamID]int64)
		for _, id := range ids {
			before[id] = e.LocalFlows(id)
		}
		r.open(400)
		for _, id := range ids {
			before[id] = e.LocalFlows(id) - before[id]
		}
		return before
	}
	const unhealthy = 3
	e.SetVerdict(r.now, ids[0], unhealthy)
	got := count()
	assert.Equal(t, got[ids[0]], int64(0))
	for _, id := range ids {
		e.SetVerdict(r.now, id, unhealthy)
	}
	got = count()
	assert.Assert(t, got[ids[1]] > 0 && got[ids[2]] > 0, "signals against all upstreams took some out")
}

func BenchmarkHandle(b *testing.B) {
	for _, flows := range []int{10_000, 100_000, 300_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			e := New(0, "vm0")
			f := testFile(14)
			e.SetConfig(0, f)
			packets := make([]Packet, flows)
			for i := range packets {
				packets[i].Info = packet.Info{
					VNI: testVNI, ID: flow.ID{Hi: rand.Uint64(), Lo: rand.Uint64()}, TCP: true, Flags: packet.SYN,
					Src: netip.MustParseAddrPort("198.18.0.1:1000"), Dst: netip.AddrPortFrom(f.Services[0].Address, 443),
				}
				e.Handle(10000, &packets[i])
				packets[i].Flags = packet.ACK
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if act := e.Handle(10000, &packets[i%flows]); act.Kind != Forward {
					b.Fatal("not forwarded")
				}
			}
		})
	}
}

func BenchmarkSpread(b *testing.B) {
	for _, slack := range []float64{0.02, 0.03, 0.05, 0.10, 10} {
		b.Run(fmt.Sprintf("slack=%g", slack), func(b *testing.B) {
			limits := DefaultLimits()
			limits.LoadSlack = slack
			top, exceptions, placed := 0.0, 0.0, 0.0
			for i := range b.N {
				r := newRig(&testing.T{}, 9, 14, uint64(i+1), WithLimits(limits))
				r.open(10000)
				maxOverMean, _ := r.loads()
				top = max(top, maxOverMean)
				for _, e := range r.engines {
					exceptions += float64(e.stats.Exceptions.Load())
					placed += float64(e.stats.Placed.Load())
				}
			}
			b.ReportMetric(top, "max/mean")
			b.ReportMetric(exceptions/placed, "exceptions/flow")
		})
	}
}

func TestWokeDiscardsWhatWaited(t *testing.T) {
	r := newRig(t, 3, 4, 10)
	e := r.engines["vm0"]
	e.Resume(r.now) // asks before it places
	f := r.newFlow()
	for e.members.Load().view.Home(f.id) != "vm0" {
		f = r.newFlow()
	}
	p := Packet{Info: packet.Info{VNI: testVNI, ID: f.id, TCP: true, Flags: packet.SYN, Src: f.src, Dst: netip.AddrPortFrom(r.file.Services[0].Address, 443)}}
	assert.Equal(t, e.Handle(r.now, &p).Kind, Hold)
	r.now += 10 * clock.Second
	e.Resume(r.now)
	e.Tick(r.now)
	_, releases := e.DequeueAll()
	assert.Equal(t, len(releases), 1)
	assert.Assert(t, releases[0].Discard, "a SYN was placed after a pause")
	assert.Equal(t, e.Flows(), int64(0))
}

// TestDuplicateAnswersCountOnce hands a home that starts the answer of a VM that
// does not know a flow twice for each VM asked. The one that knows is heard last.
func TestDuplicateAnswersCountOnce(t *testing.T) {
	r := newRig(t, 5, 6, 1)
	list := r.open(400)
	r.configure(func(f *config.File) { f.Services[0].Upstreams[0].State = config.UpstreamDrain })
	gone := r.vms[2]
	r.remove(gone, true)
	r.start(gone)
	r.join()
	moved := 0
	for _, f := range list {
		before := f.at
		p := Packet{Info: packet.Info{
			VNI: testVNI, ID: f.id, TCP: true, Flags: packet.ACK, Ack: 1, Src: f.src,
			Dst: netip.AddrPortFrom(r.file.Services[0].Address, 443),
		}}
		home := r.engines[gone]
		if home.Handle(r.now, &p).Kind != Hold {
			continue
		}
		questions, _ := home.DequeueAll()
		knows := make(map[config.VMID]Message)
		for _, q := range questions {
			other := r.engines[q.To]
			other.Receive(r.now, gone, q)
			answers, _ := other.DequeueAll()
			for _, a := range answers {
				if a.Upstream != 0 {
					knows[q.To] = a
					continue
				}
				home.Receive(r.now, q.To, a)
				home.Receive(r.now, q.To, a)
			}
		}
		for vm, a := range knows {
			home.Receive(r.now, vm, a)
		}
		home.DequeueAll()
		if act := home.Handle(r.now, &p); len(knows) > 0 && act.Kind == Forward && act.To != before {
			moved++
		}
	}
	assert.Equal(t, moved, 0, "flows moved to other upstreams")
}
