package forward

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

var (
	webAddress  = netip.MustParseAddrPort("198.51.100.1:443")
	bothAddress = netip.MustParseAddrPort("198.51.100.2:443")
	apiAddress  = netip.MustParseAddrPort("198.51.100.3:443")
)

// published builds a catalog with the given upstreams of the services web and
// api. bothAddress is routed to either service by weight.
func published(now clock.Millis, coldPerSecond float64, upstreams ...catalog.Upstream) *catalog.Catalog {
	return publishedWith(now, catalog.Service{Name: "web", ColdPerSecond: coldPerSecond}, upstreams...)
}

// publishedWith does so with the given configuration of the service web.
func publishedWith(now clock.Millis, web catalog.Service, upstreams ...catalog.Upstream) *catalog.Catalog {
	items := []replica.Item{{Key: "config", Revision: 1, Created: 1}}
	for i := range upstreams {
		items = append(items, replica.Item{Key: replica.Key(fmt.Sprint(i)), Revision: replica.Revision(i + 2), Created: replica.Revision(i + 2)})
	}
	b := catalog.NewBuilder(func(item replica.Item) (c catalog.Change, err error) {
		if item.Key != "config" {
			u := upstreams[item.Revision-2]
			c.Upstream = &u
			return c, nil
		}
		c.Config = &catalog.Config{
			Routes: []catalog.Route{
				{Address: webAddress, Targets: []catalog.Target{{Service: "web", Weight: 1}}},
				{Address: apiAddress, Targets: []catalog.Target{{Service: "api", Weight: 1}}},
				{Address: bothAddress, Targets: []catalog.Target{{Service: "web", Weight: 90}, {Service: "api", Weight: 10}}},
			},
			Services: []catalog.Service{web, {Name: "api"}},
		}
		return c, nil
	}, func(replica.Item, error) {}, 0)
	b.Apply(now, items, false)
	return b.Build(99)
}

func upstream(i int, service ident.ServiceName, domain ident.DomainName) catalog.Upstream {
	return catalog.Upstream{
		ID: catalog.UpstreamID(fmt.Sprint(service, domain, i)), EncapID: catalog.EncapID(i), Service: service, Domain: domain, Slots: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
	}
}

// arrives makes an upstream of the service api acknowledge an opening packet
// sent at the given time, which shows that the path of this VM works. Each call
// needs a different i.
func arrives(e *Engine, i int, sent, seen clock.Millis) {
	p := *opening(10_000+i, apiAddress)
	d := e.Handle(sent, &p)
	p.Opening, p.Token = false, d.Token
	p.Seq++
	e.Handle(seen, &p)
}

func opening(i int, service netip.AddrPort) *Packet {
	return &Packet{
		Caller:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 0, byte(i >> 8), byte(i)}), uint16(1024+i)),
		Destination: service, Opening: true, Seq: uint32(i),
	}
}

func TestHandle(t *testing.T) {
	e := New("vm", "a")
	assert.Equal(t, e.Handle(1, opening(1, webAddress)).Reason, NoCatalog)
	e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "api", "a")))
	placed := e.Handle(1, opening(1, webAddress))
	assert.Equal(t, placed.Action, Forward)
	assert.Equal(t, placed.EncapID, catalog.EncapID(1))

	follow := Packet{Caller: opening(1, webAddress).Caller, Destination: webAddress, Token: placed.Token, Seq: 2, Ack: 9}
	assert.Equal(t, e.Handle(2, &follow).EncapID, catalog.EncapID(1))
	other := New("other", "b")
	other.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "api", "a")))
	assert.Equal(t, other.Handle(2, &follow).EncapID, catalog.EncapID(1), "another VM forwards to the same upstream")

	unknown := follow
	unknown.Token++
	assert.Equal(t, e.Handle(3, &unknown).Reason, UnknownToken)
	lost := follow
	lost.Destination = netip.MustParseAddrPort("198.51.100.9:1")
	d := e.Handle(3, &lost)
	assert.Equal(t, d.Action, Refuse)
	assert.Equal(t, d.Reason, NoRoute)
	e.SetCatalog(published(4, 0, upstream(2, "api", "a")))
	assert.Equal(t, e.Handle(4, opening(2, webAddress)).Reason, NoUpstream)
}

// TestCopiesStay retransmits opening packets. Each retransmission must go to
// the upstream that got the original, so that a flow never opens on two
// upstreams.
func TestCopiesStay(t *testing.T) {
	e := New("vm", "a")
	var list []catalog.Upstream
	for i := range 8 {
		list = append(list, upstream(i+1, "web", "a"))
	}
	e.SetCatalog(published(1, 0, list...))
	for i := range 200 {
		first := e.Handle(1000, opening(i, webAddress))
		e.Handle(1100, opening(1000+i, webAddress))
		copied := opening(i, webAddress)
		copied.Retransmits = 1
		assert.Equal(t, e.Handle(1120, copied).EncapID, first.EncapID)
	}
}

// TestSecondCopyLeavesUpstream sends an opening packet and two retransmissions
// without an answer. The second one must go to another upstream, but only if
// other traffic shows that the VM's own link works.
func TestSecondCopyLeavesUpstream(t *testing.T) {
	for _, linkWorks := range []bool{false, true} {
		e := New("vm", "a")
		e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "web", "a"), upstream(3, "api", "a")))
		first := e.Handle(1000, opening(1, webAddress)).EncapID
		copied := opening(1, webAddress)
		copied.Retransmits = 1
		assert.Equal(t, e.Handle(1200, copied).EncapID, first)
		if linkWorks {
			arrives(e, 1, 1210, 1215)
		}
		copied.Retransmits = 2
		assert.Equal(t, e.Handle(1600, copied).EncapID != first, linkWorks)
	}
}

// TestRetransmitLeavesSilentUpstream retransmits an opening packet after other flows
// to the same upstream have stalled.
func TestRetransmitLeavesSilentUpstream(t *testing.T) {
	e := New("vm", "a")
	e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "web", "a")))
	byName := make(map[catalog.EncapID][]int)
	for i := range 8 {
		d := e.Handle(1000, opening(i, webAddress))
		byName[d.EncapID] = append(byName[d.EncapID], i)
	}
	again := func(now clock.Millis, i int) catalog.EncapID {
		p := opening(i, webAddress)
		p.Retransmits = 1
		return e.Handle(now, p).EncapID
	}
	assert.Equal(t, again(1200, byName[1][0]), catalog.EncapID(1), "a single stall does not make an upstream silent")
	assert.Equal(t, again(1200, byName[1][1]), catalog.EncapID(2))
}

func TestWeightsAgree(t *testing.T) {
	list := []catalog.Upstream{upstream(1, "web", "a"), upstream(2, "api", "a")}
	a, b := New("vm1", "a"), New("vm2", "b")
	a.SetCatalog(published(1, 0, list...))
	b.SetCatalog(published(1, 0, list...))
	api := 0
	for i := range 2000 {
		da, db := a.Handle(1, opening(i, bothAddress)), b.Handle(1, opening(i, bothAddress))
		assert.Equal(t, da.EncapID, db.EncapID)
		if da.EncapID == 2 {
			api++
		}
	}
	assert.Assert(t, api > 140 && api < 260, "%d of 2000 at weight 10 of 100", api)
}

// TestRetransmitsInOneBurst handles a queue of packets that built up while the
// process was paused, originals and retransmissions together. They must not
// count as stalls.
func TestRetransmitsInOneBurst(t *testing.T) {
	e := New("vm", "a")
	e.SetCatalog(published(1, 0, upstream(1, "web", "a")))
	for i := range 50 {
		d := e.Handle(1000, opening(i, webAddress))
		for range 3 {
			data := Packet{Caller: opening(i, webAddress).Caller, Destination: webAddress, Token: d.Token, Seq: uint32(i) + 1, Bytes: 100}
			assert.Equal(t, e.Handle(1001, &data).Action, Forward)
		}
	}
	assert.Equal(t, len(e.PendingResets(1001)), 0)
}

// TestPendingResetsKeepAnswerableFlows marks an upstream lost while one flow
// waits for an answer to a request sent before the last acknowledged packet.
// That request may still be answered, so the flow must not be reset.
func TestPendingResetsKeepAnswerableFlows(t *testing.T) {
	e := New("vm", "a")
	e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "api", "a")))
	send := func(now clock.Millis, i, ack int, bytes int) Decision {
		token := e.view.Load().catalog.Serving("web")[0].Token
		return e.Handle(now, &Packet{
			Caller: opening(i, webAddress).Caller, Destination: webAddress, Token: token,
			Seq: uint32(i) + 1, Ack: uint32(ack), Bytes: bytes,
		})
	}
	for i := range 5 {
		e.Handle(1000, opening(i, webAddress))
	}
	send(1010, 0, 1, 100) // may still be answered
	send(1020, 4, 1, 0)   // the last acknowledged packet
	for i := 1; i <= 3; i++ {
		send(1030, i, 1, 100)
	}
	arrives(e, 1, 1200, 1210)
	for i := 1; i <= 3; i++ {
		send(1300, i, 1, 100)
	}
	resets := e.PendingResets(1300)
	assert.Equal(t, len(resets), 2, "the third was reset by its own packet")
	for _, p := range resets {
		assert.Assert(t, p.Caller != opening(0, webAddress).Caller)
	}
}

// TestOldAcksKeepStalls cuts the path to an upstream while its answers to
// earlier requests still reach the callers, as in a partition that callers can
// bridge. These answers must not clear the stalls.
func TestOldAcksKeepStalls(t *testing.T) {
	e := New("vm", "a")
	var seen []string
	e.hooks.Health = func(b HealthChange) {
		if !b.WholeDomain {
			seen = append(seen, b.To)
		}
	}
	e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "api", "a")))
	token := e.view.Load().catalog.Serving("web")[0].Token
	send := func(now clock.Millis, i, ack, bytes int) {
		e.Handle(now, &Packet{
			Caller: opening(i, webAddress).Caller, Destination: webAddress, Token: token,
			Seq: uint32(i) + 1, Ack: uint32(ack), Bytes: bytes,
		})
	}
	for i := range 5 {
		e.Handle(1000, opening(i, webAddress))
		send(1005, i, 1, 0)
	}
	send(1100, 4, 1, 100) // arrives before the cut
	for i := range 3 {
		send(1200, i, 1, 100)
	}
	arrives(e, 1, 1300, 1310)
	for i := range 3 {
		send(1400, i, 1, 100)
		send(1401, 4, 100+100*i, 0) // the earlier answer continues to arrive
	}
	assert.DeepEqual(t, seen, []string{"silent", "lost"})
}

// TestSameMillisecond lets an upstream fail in the millisecond in which it
// answers an opening packet. Packets sent in that millisecond may not have
// arrived, so they must still count as stalls.
func TestSameMillisecond(t *testing.T) {
	assert.Equal(t, resetAfterSilence(true), 3)
}

// TestOwnLinkHoldsAllUp delays everything that a VM sends, as its own link does
// while a large configuration is distributed. All callers retransmit, and no
// flow may be reset.
func TestOwnLinkHoldsAllUp(t *testing.T) {
	assert.Equal(t, resetAfterSilence(false), 0)
}

// resetAfterSilence opens three flows to one upstream, after which nothing
// arrives there, and returns the number of flows reset. If othersAnswer is set,
// packets to another upstream still arrive.
func resetAfterSilence(othersAnswer bool) (n int) {
	e := New("vm", "a")
	e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "api", "a")))
	token := e.view.Load().catalog.Serving("web")[0].Token
	for i := range 3 {
		e.Handle(1000, opening(i, webAddress))
		e.Handle(1000, &Packet{Caller: opening(i, webAddress).Caller, Destination: webAddress, Token: token, Seq: uint32(i) + 1, Ack: 1, Bytes: 100})
	}
	for round := range clock.Millis(4) {
		now := 1300 + 200*round
		if othersAnswer {
			arrives(e, int(round), now-50, now-10)
		}
		for i := range 3 {
			d := e.Handle(now, &Packet{Caller: opening(i, webAddress).Caller, Destination: webAddress, Token: token, Seq: uint32(i) + 1, Ack: 1, Bytes: 100})
			if d.Reason == UpstreamLost {
				n++
			}
		}
		n += len(e.PendingResets(now))
	}
	return n
}

// TestSharesStayWithinRate lets up to 12 VMs place flows on a cold upstream.
// Since each VM counts all the VMs that place flows, their sum must stay within
// the rate of the upstream.
func TestSharesStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "vms")
		rate := rapid.Float64Range(0, 40).Draw(t, "rate")
		var ids []ident.VMID
		for i := range n {
			ids = append(ids, ident.VMID(fmt.Sprint("vm", i)))
		}
		cold := upstream(1, "web", "a")
		cold.RemainingColdMillis = 3000
		engines := make([]*Engine, n)
		for i := range engines {
			engines[i] = New(ids[i], "a")
			engines[i].SetCatalog(published(0, rate, cold))
			engines[i].SetVMs(ids)
		}
		var placed []clock.Millis
		for now := clock.Millis(1); now < 3000; now += 5 {
			for i, e := range engines {
				if e.Handle(now, opening(int(now)*n+i, webAddress)).Action == Forward {
					placed = append(placed, now)
				}
			}
		}
		first := 0
		for i, at := range placed {
			for at-placed[first] >= clock.Second {
				first++
			}
			assert.Assert(t, float64(i-first+1) <= max(rate, 0), "%d in a second at %g", i-first+1, rate)
		}
	})
}

// TestNewVMsAvoidColdUpstreams starts a VM that does not know the other VMs
// yet, as after a power loss. If each such VM used the full rate, they would
// overload a cold upstream.
func TestNewVMsAvoidColdUpstreams(t *testing.T) {
	cold := upstream(1, "web", "a")
	cold.RemainingColdMillis = 3000
	e := New("vm", "a")
	e.SetCatalog(published(0, 10, cold))
	assert.Equal(t, e.Handle(100, opening(1, webAddress)).Reason, NoUpstream)
	e.SetVMs([]ident.VMID{"other", "vm"})
	placed := 0
	for now := clock.Millis(200); now < 2200; now += 5 {
		if e.Handle(now, opening(int(now), webAddress)).Action == Forward {
			placed++
		}
	}
	assert.Assert(t, placed > 0)
}

// TestLoadsReturnToZero opens and ends flows in all possible ways. The load
// counts must return to 0.
func TestLoadsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New("vm", "a")
		e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "web", "b")))
		now := clock.Millis(1000)
		tokens := make(map[int]catalog.Token)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "wait"))
			i := rapid.IntRange(0, 5).Draw(t, "flow")
			p := *opening(i, webAddress)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if d := e.Handle(now, &p); d.Action == Forward {
					tokens[i] = d.Token
				}
			case 1:
				p.Opening, p.Token, p.Seq, p.Bytes = false, tokens[i], rapid.Uint32Range(0, 500).Draw(t, "seq"), 100
				p.Ack = rapid.Uint32Range(0, 500).Draw(t, "ack")
				e.Handle(now, &p)
			case 2:
				p.Opening, p.Token, p.Closing = false, tokens[i], true
				e.Handle(now, &p)
			default:
				e.Tick(now)
				e.PendingResets(now)
			}
		}
		for range 2 * shardCount {
			now += idleTimeout
			e.Tick(now)
		}
		for _, target := range e.view.Load().targets {
			assert.Equal(t, target.load.inFlight.Load(), int32(0))
			assert.Equal(t, target.load.expected.Load(), int32(0))
		}
		assert.Equal(t, e.routes.get(webAddress).open.Load(), int32(0))
		assert.Equal(t, e.routes.get(webAddress).inFlight.Load(), int32(0))
	})
}

func TestHandleDoesNotAllocate(t *testing.T) {
	e := New("vm", "a")
	e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "web", "a")))
	d := e.Handle(1, opening(1, webAddress))
	p := Packet{Caller: opening(1, webAddress).Caller, Destination: webAddress, Token: d.Token, Seq: 2, Ack: 9, Bytes: 100}
	now := clock.Millis(1)
	allocs := testing.AllocsPerRun(1000, func() {
		now++
		p.Ack++
		e.Handle(now, &p)
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkFollow(b *testing.B) {
	e := New("vm", "a")
	e.SetCatalog(published(1, 0, upstream(1, "web", "a")))
	d := e.Handle(1, opening(1, webAddress))
	p := Packet{Caller: opening(1, webAddress).Caller, Destination: webAddress, Token: d.Token, Seq: 2, Ack: 9, Bytes: 100}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Ack++
		e.Handle(clock.Millis(i/1000), &p)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{14, 120, 3300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := New("vm", "a")
			var list []catalog.Upstream
			for i := range n {
				list = append(list, upstream(i+1, "web", "a"))
			}
			e.SetCatalog(published(1, 0, list...))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e.Handle(1, opening(i%60000, webAddress))
			}
		})
	}
}
