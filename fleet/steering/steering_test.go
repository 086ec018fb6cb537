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
	drain := func(c *cluster) {
		c.configure(func(f *config.File) { f.Services[0].Upstreams[0].State = config.UpstreamDrain })
	}
	tests := []struct {
		name   string
		change func(c *cluster)
	}{
		{"no change", func(*cluster) {}},
		{"upstream drains", drain},
		{"upstream is removed", func(c *cluster) {
			c.configure(func(f *config.File) { f.Services[0].Upstreams = f.Services[0].Upstreams[1:] })
		}},
		{"upstream is added", func(c *cluster) {
			c.configure(func(f *config.File) {
				u := f.Services[0].Upstreams[0]
				u.Name, u.Address = "new", "127.0.2.99:6081"
				f.Services[0].Upstreams = append(f.Services[0].Upstreams, u)
			})
		}},
		{"planned removal of a VM", func(c *cluster) { c.remove("vm3", true) }},
		{"VM joins", func(c *cluster) { c.start("vmX"); c.shareMembership() }},
		{"upstream drains and VM leaves at once", func(c *cluster) { drain(c); c.remove("vm3", true) }},
		{"upstream drains, then VM fails", func(c *cluster) { drain(c); c.advance(30 * clock.Second); c.remove("vm3", false) }},
		{"VM fails as an upstream drains", func(c *cluster) { drain(c); c.remove("vm3", false) }},
		{"a failure domain of VMs fails", func(c *cluster) {
			for _, vm := range append([]config.VMID(nil), c.vms...) {
				if vm[2]%3 == 0 {
					c.remove(vm, false)
				}
			}
		}},
		{"every VM is replaced", func(c *cluster) {
			for _, vm := range append([]config.VMID(nil), c.vms...) {
				c.remove(vm, true)
				c.advance(3 * clock.Second)
				c.start(vm)
				c.shareMembership()
				c.advance(3 * clock.Second)
			}
		}},
		{"every VM is replaced during a drain", func(c *cluster) {
			drain(c)
			for _, vm := range append([]config.VMID(nil), c.vms...) {
				c.remove(vm, true)
				c.start(vm)
				c.shareMembership()
				c.advance(6 * clock.Second)
			}
		}},
		{"half of the VMs leave one by one", func(c *cluster) {
			for range 4 {
				c.remove(c.vms[0], true)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 9, 14, 1)
			flows := c.open(3000)
			c.advance(5 * clock.Second)
			test.change(c)
			assert.Equal(t, c.countMoved(flows), 0)
			c.advance(5 * clock.Second)
			assert.Equal(t, c.countMoved(flows), 0)
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
		c := newCluster(t, 9, test.upstreams, 2)
		c.open(test.flows)
		maxOverMean, variation := c.loads()
		t.Logf("%d flows on %d upstreams: max/mean %.3f, variation %.3f", test.flows, test.upstreams, maxOverMean, variation)
		assert.Assert(t, maxOverMean <= test.want)
	}
}

func TestDomainOut(t *testing.T) {
	c := newCluster(t, 5, 8, 3)
	flows := c.open(500)
	out := make(map[netip.AddrPort]bool)
	for i, u := range c.file.Services[0].Upstreams {
		out[netip.MustParseAddrPort(u.Address)] = i%2 == 1
	}
	c.configure(func(f *config.File) { f.Domains[1].State = config.DomainOut })
	for _, f := range flows {
		was := f.at
		act, _ := c.send(f, packet.ACK)
		if out[was] {
			assert.Equal(t, act.Kind, Reset)
		} else {
			assert.Equal(t, f.at, was)
		}
	}
	for range 500 {
		f := c.newFlow()
		c.send(f, packet.SYN)
		assert.Assert(t, !out[f.at])
	}
}

func TestDomainOutResetsIdleCallers(t *testing.T) {
	c := newCluster(t, 3, 4, 4)
	c.open(100)
	c.configure(func(f *config.File) { f.Domains[0].State = config.DomainOut })
	resets := make(map[netip.AddrPort]bool)
	lost := 0
	for _, e := range c.engines {
		for range shardCount / shardsPerTick {
			for _, o := range e.Tick(c.now) {
				resets[o.Segment.Dst] = true
			}
		}
		for i := range e.shards {
			for id, en := range e.shards[i].flows {
				if !en.upstream.servesFlows() && e.members.Load().view.Home(id) == e.self {
					lost++
				}
			}
		}
	}
	assert.Assert(t, lost > 20)
	assert.Equal(t, len(resets), lost)
}

func TestAddressGivenToAnotherService(t *testing.T) {
	c := newCluster(t, 3, 4, 5)
	flows := c.open(200)
	address := c.file.Services[0].Upstreams[0].Address
	c.configure(func(f *config.File) {
		other := f.Services[0]
		other.Name, other.VNI, other.Address = "other", testVNI+1, netip.MustParseAddr("198.51.100.9")
		other.Upstreams = []config.Upstream{f.Services[0].Upstreams[0]}
		f.Services[0].Upstreams = f.Services[0].Upstreams[1:]
		f.Services = append(f.Services, other)
	})
	for _, f := range flows {
		was := f.at
		act, _ := c.send(f, packet.ACK)
		if was.String() == address {
			assert.Equal(t, act.Kind, Reset)
		}
	}
}

func TestColdUpstream(t *testing.T) {
	for _, vms := range []int{1, 3, 9, 40} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			c := newCluster(t, vms, 4, 6)
			c.open(1000)
			c.configure(func(f *config.File) { f.Services[0].Upstreams[2].State = config.UpstreamDrain })
			c.configure(func(f *config.File) { f.Services[0].Upstreams[2].State = config.UpstreamActive })
			cold := netip.MustParseAddrPort(c.file.Services[0].Upstreams[2].Address)
			start, limits := c.now, c.file.Services[0].WarmUp
			var times []clock.Millis
			for c.now < start+8*clock.Second {
				for range 30 {
					f := c.newFlow()
					if c.send(f, packet.SYN); f.at == cold {
						times = append(times, c.now)
					}
				}
				c.now += 20
			}
			for i := range times {
				n := 0
				for j := i; j < len(times) && times[j]-times[i] < clock.Second; j++ {
					n++
				}
				end := float64(times[i]-start+clock.Second) / float64(limits.DurationMillis)
				bears := limits.InitialPerSecond + end*(limits.FullPerSecond-limits.InitialPerSecond)
				assert.Assert(t, float64(n) <= bears+1e-9, "%d flows in the second after %d ms, want at most %.1f", n, times[i]-start, bears)
			}
			assert.Assert(t, len(times) > 40, "the cold upstream received only %d flows", len(times))
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	c := newCluster(t, 5, 2, 7)
	c.configure(func(f *config.File) {
		for i := range f.Services[0].Upstreams {
			f.Services[0].Upstreams[i].Connections = 100
		}
	})
	c.exchangeCounts()
	taken, refused := 0, 0
	for i := range 400 {
		if act, _ := c.send(c.newFlow(), packet.SYN); act.Kind == Forward {
			taken++
		} else {
			assert.Equal(t, act.Reason, AllFull)
			refused++
		}
		if i%20 == 0 {
			c.exchangeCounts()
		}
	}
	assert.Assert(t, taken <= 200 && taken > 170, "%d of 200 connections were used", taken)
	assert.Equal(t, taken+refused, 400)
}

func TestPortUsedAgain(t *testing.T) {
	c := newCluster(t, 9, 14, 8)
	flows := c.open(300)
	for _, f := range flows {
		for range 30 { // until many VMs cache the flow
			c.send(f, packet.ACK)
		}
		c.send(f, packet.FIN|packet.ACK)
	}
	c.configure(func(f *config.File) { f.Services[0].Upstreams[0].State = config.UpstreamDrain })
	for _, f := range flows {
		act, _ := c.send(f, packet.SYN)
		assert.Equal(t, act.Kind, Forward)
		c.deliver()
	}
	for range 5 {
		assert.Equal(t, c.countMoved(flows), 0)
	}
	drained := netip.MustParseAddrPort(c.file.Services[0].Upstreams[0].Address)
	for _, f := range flows {
		assert.Assert(t, f.at != drained)
	}
}

func TestUnhealthyUpstreams(t *testing.T) {
	c := newCluster(t, 1, 4, 9)
	e := c.engines["vm0"]
	ids := e.UpstreamIDs()
	count := func() map[config.UpstreamID]int64 {
		before := make(map[config.UpstreamID]int64)
		for _, id := range ids {
			before[id] = e.LocalFlows(id)
		}
		c.open(400)
		for _, id := range ids {
			before[id] = e.LocalFlows(id) - before[id]
		}
		return before
	}
	const unhealthy = 3 // warmup.Unhealthy
	e.SetVerdict(c.now, ids[0], unhealthy)
	got := count()
	assert.Equal(t, got[ids[0]], int64(0))
	for _, id := range ids {
		e.SetVerdict(c.now, id, unhealthy)
	}
	got = count()
	assert.Assert(t, got[ids[1]] > 0 && got[ids[2]] > 0, "some upstreams received no flows although all are unhealthy")
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
				c := newCluster(&testing.T{}, 9, 14, uint64(i+1), WithLimits(limits))
				c.open(10000)
				maxOverMean, _ := c.loads()
				top = max(top, maxOverMean)
				for _, e := range c.engines {
					exceptions += float64(e.stats.Exceptions.Load())
					placed += float64(e.stats.Placed.Load())
				}
			}
			b.ReportMetric(top, "max/mean")
			b.ReportMetric(exceptions/placed, "exceptions/flow")
		})
	}
}

func TestResumeDiscardsPending(t *testing.T) {
	c := newCluster(t, 3, 4, 10)
	e := c.engines["vm0"]
	e.Resume(c.now) // makes the engine query before it places a flow
	f := c.newFlow()
	for e.members.Load().view.Home(f.id) != "vm0" {
		f = c.newFlow()
	}
	p := Packet{Info: packet.Info{VNI: testVNI, ID: f.id, TCP: true, Flags: packet.SYN, Src: f.src, Dst: netip.AddrPortFrom(c.file.Services[0].Address, 443)}}
	assert.Equal(t, e.Handle(c.now, &p).Kind, Hold)
	c.now += 10 * clock.Second
	e.Resume(c.now)
	e.Tick(c.now)
	_, releases := e.DequeueAll()
	assert.Equal(t, len(releases), 1)
	assert.Assert(t, releases[0].Discard, "a SYN held before a pause was placed after it")
	assert.Equal(t, e.Flows(), int64(0))
}

// TestTickWithEarlierTimeKeepsFlows guards against open flows that are removed by a tick
// whose time was read before a packet arrived: the flow looked idle for 136 years.
func TestTickWithEarlierTimeKeepsFlows(t *testing.T) {
	c := newCluster(t, 5, 6, 1)
	list := c.open(200)
	c.now += clock.Second - c.now%clock.Second
	tick := c.now - 1
	assert.Equal(t, c.countMoved(list), 0)
	for range shardCount / shardsPerTick {
		for _, e := range c.engines {
			e.Tick(tick)
		}
	}
	assert.Equal(t, c.countMoved(list), 0)
	for _, f := range list {
		known := false
		for _, e := range c.engines {
			known = known || e.shard(f.id).flows[f.id] != nil
		}
		assert.Assert(t, known, "no VM knows the flow")
	}
}

// TestSYNWithEarlierTimeIsRetransmission guards against a retransmitted SYN that is
// taken for a new connection, since the other goroutine placed the flow at a later
// time.
func TestSYNWithEarlierTimeIsRetransmission(t *testing.T) {
	c := newCluster(t, 1, 2, 1)
	f := c.newFlow()
	c.now += clock.Second - c.now%clock.Second
	c.send(f, packet.SYN)
	first := f.at
	c.configure(func(cfg *config.File) {
		for i := range cfg.Services[0].Upstreams {
			if u := &cfg.Services[0].Upstreams[i]; u.Address == first.String() {
				u.State = config.UpstreamDrain
			}
		}
	})
	c.now--
	c.send(f, packet.SYN)
	assert.Equal(t, f.at, first)
}

// TestDuplicateAnswersCountOnce guards against flows that move to another upstream
// when the network duplicates replies. A home that just started receives each
// negative reply twice, and the replies of the VMs that know the flow last.
func TestDuplicateAnswersCountOnce(t *testing.T) {
	c := newCluster(t, 5, 6, 1)
	list := c.open(400)
	c.configure(func(f *config.File) { f.Services[0].Upstreams[0].State = config.UpstreamDrain })
	gone := c.vms[2]
	c.remove(gone, true)
	c.start(gone)
	c.shareMembership()
	moved := 0
	for _, f := range list {
		before := f.at
		p := Packet{Info: packet.Info{
			VNI: testVNI, ID: f.id, TCP: true, Flags: packet.ACK, Ack: 1, Src: f.src,
			Dst: netip.AddrPortFrom(c.file.Services[0].Address, 443),
		}}
		home := c.engines[gone]
		if home.Handle(c.now, &p).Kind != Hold {
			continue
		}
		queries, _ := home.DequeueAll()
		knows := make(map[config.VMID]Message)
		for _, q := range queries {
			other := c.engines[q.To]
			other.Receive(c.now, gone, q)
			replies, _ := other.DequeueAll()
			for _, a := range replies {
				if a.Upstream != 0 {
					knows[q.To] = a
					continue
				}
				home.Receive(c.now, q.To, a)
				home.Receive(c.now, q.To, a)
			}
		}
		for vm, a := range knows {
			home.Receive(c.now, vm, a)
		}
		home.DequeueAll()
		if act := home.Handle(c.now, &p); len(knows) > 0 && act.Kind == Forward && act.To != before {
			moved++
		}
	}
	assert.Equal(t, moved, 0, "flows moved to other upstreams")
}

// TestFlowPlacedTwiceWhenHomeWakes guards against placing a flow twice when its
// home runs again after a pause. The other VMs still find the home unreachable,
// but it answers and places the flow.
func TestFlowPlacedTwiceWhenHomeWakes(t *testing.T) {
	c := newCluster(t, 5, 6, 1)
	home := c.vms[2]
	c.setUnreachable(home)
	for range 200 {
		f := c.newFlow()
		isHome := c.engines[home].members.Load().view.Home(f.id) == home
		act, vm := c.send(f, packet.SYN)
		assert.Equal(t, act.Kind, Forward)
		assert.Assert(t, !isHome || vm == home, "%s placed a flow of %s", vm, home)
		at := f.at
		act, _ = c.send(f, packet.SYN) // retransmission
		assert.Equal(t, act.Kind, Forward)
		assert.Equal(t, f.at, at)
	}
}

// TestYoungFlowsOfUnreachableHomeStay guards against resets of open flows whose home
// cannot be reached for a moment, since it is paused or short of CPU. Another VM acts
// for the home and does not know the flows that the home has not copied yet.
func TestYoungFlowsOfUnreachableHomeStay(t *testing.T) {
	tests := []struct {
		name   string
		silent clock.Millis // time for which the home does not reply
	}{
		{"home replies", 0},
		{"home replies late", 100},
		{"home is paused", 700},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 5, 6, 1)
			list := c.open(400)
			home := c.vms[2]
			c.setUnreachable(home)
			c.lost[home] = test.silent > 0
			for end := c.now + test.silent; c.now < end; {
				assert.Equal(t, c.countMisrouted(list), 0)
				c.advance(100)
			}
			c.lost[home] = false
			assert.Equal(t, c.countMisrouted(list), 0)
			c.advance(2 * DefaultLimits().AskTimeoutMillis)
			assert.Equal(t, c.countMoved(list), 0)
		})
	}
}

// TestFlowsOfLostHomeGoOn checks that the flows of a home that stays unreachable go on
// after UnreachableMillis, on the upstreams that the lookup table gives.
func TestFlowsOfLostHomeGoOn(t *testing.T) {
	c := newCluster(t, 5, 6, 1)
	list := c.open(400)
	c.advance(5 * clock.Second) // The home copies its exceptions.
	home := c.vms[2]
	c.setUnreachable(home)
	c.lost[home] = true
	c.advance(DefaultLimits().UnreachableMillis)
	for range 2 { // The first packet of a flow causes a query.
		for _, f := range list {
			before := f.at
			c.sendVia(f, packet.ACK, c.vms[0])
			assert.Equal(t, f.at, before)
		}
		c.advance(2 * DefaultLimits().AskTimeoutMillis)
	}
	for _, f := range list {
		act, _ := c.sendVia(f, packet.ACK, c.vms[0])
		assert.Equal(t, act.Kind, Forward)
	}
}

// TestUnreachableHomeIsReplaced checks that another VM places the flows of an
// unreachable home that does not reply.
func TestUnreachableHomeIsReplaced(t *testing.T) {
	c := newCluster(t, 5, 6, 1)
	home := c.vms[2]
	c.setUnreachable(home)
	c.lost[home] = true
	f := c.newFlow()
	for c.engines[home].members.Load().view.Home(f.id) != home {
		f = c.newFlow()
	}
	act, vm := c.sendVia(f, packet.SYN, c.vms[0])
	assert.Equal(t, act.Kind, Drop)
	c.now += DefaultLimits().AskTimeoutMillis
	c.engines[vm].Tick(c.now)
	c.deliver()
	act, placedBy := c.sendVia(f, packet.SYN, c.vms[0])
	assert.Equal(t, act.Kind, Forward)
	assert.Equal(t, placedBy, vm)
}
