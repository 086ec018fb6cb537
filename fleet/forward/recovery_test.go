package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	testSlowStart = 2 * clock.Second
	// crashAt is when an upstream stops answering, and backAt when it answers again.
	crashAt clock.Millis = 2000
	backAt  clock.Millis = 4000
	// spareFlow is the number of the first flow to the upstream that does not crash.
	spareFlow = 900
)

// recoveryEngine returns an engine with two upstreams of the service web, one of which
// crashes at crashAt, and the token of that. Flow 1 is open to it, four flows to the other.
func recoveryEngine() (e *Engine, crashed catalog.Token) {
	e = New("vm", "a")
	e.SetVMs([]ident.VMID{"vm"})
	web := catalog.Service{Name: "web", SlowStartMillis: testSlowStart}
	e.SetCatalog(publishedWith(1, web, upstream(1, "web", "a"), upstream(2, "web", "a"), upstream(3, "api", "a")))
	serving := e.view.Load().serving["web"]
	crashed = serving[0].entry.Token
	acknowledge(e, 1500, crashed, 1, 2)
	for i := range 4 { // so that the crashed one is the least loaded
		acknowledge(e, 1500, serving[1].entry.Token, spareFlow+i, 2)
	}
	for i := 10; i < 13; i++ {
		sendRequest(e, crashAt, crashed, i)
	}
	arrives(e, 1, crashAt+100, crashAt+110)
	for i := 10; i < 13; i++ {
		sendRequest(e, crashAt+200, crashed, i)
	}
	e.PendingResets(crashAt + 200)
	return e, crashed
}

// acknowledge sends a packet without data on flow i to an upstream.
func acknowledge(e *Engine, now clock.Millis, token catalog.Token, i int, ack uint32) {
	p := Packet{Caller: opening(i, webAddress).Caller, Destination: webAddress, Token: token, Seq: uint32(i) + 1, Ack: ack}
	e.Handle(now, &p)
}

// answersOpening makes the upstream that a VM chooses for flow i answer its opening packet
// and the request that follows.
func answersOpening(e *Engine, now clock.Millis, i int) catalog.Token {
	d := e.Handle(now, opening(i, webAddress))
	acknowledge(e, now+2, d.Token, i, 1)
	acknowledge(e, now+3, d.Token, i, 2)
	return d.Token
}

// openUntilPlacedOn opens flows until an upstream gets one.
func openUntilPlacedOn(e *Engine, token catalog.Token, now clock.Millis) {
	i := 500
	for answersOpening(e, now, i) != token {
		i++
	}
}

// placedOn counts the new flows that an upstream gets of one every 10 ms.
func placedOn(e *Engine, token catalog.Token, from, until clock.Millis) (n int) {
	for now := from; now < until; now += 10 {
		i := 1000 + int(now)
		if answersOpening(e, now, i) == token {
			n++
		}
		p := *opening(i, webAddress)
		p.Opening, p.Closing, p.Token = false, true, token
		e.Handle(now+4, &p)
	}
	return n
}

// TestRestartInASilence guards against new flows at the full rate to a cold upstream that
// crashed and started again under its identifier, while its entry still says that it is
// warm.
func TestRestartInASilence(t *testing.T) {
	e, crashed := recoveryEngine()
	assert.Equal(t, e.conditionOf(crashed), lost)
	assert.Equal(t, answersOpening(e, backAt, 500), crashed, "a probe")
	assert.Equal(t, e.conditionOf(crashed), answering)
	assert.Equal(t, placedOn(e, crashed, backAt+10, backAt+testSlowStart), 0)
	assert.Assert(t, placedOn(e, crashed, backAt+testSlowStart+10, backAt+testSlowStart+1000) > 20)
}

// TestAllUpstreamsRecover guards against refused flows after a failure of the path to all
// upstreams of a service, which all count as recovering then.
func TestAllUpstreamsRecover(t *testing.T) {
	e, crashed := recoveryEngine()
	other := e.view.Load().serving["web"][1].entry.Token
	for _, token := range []catalog.Token{crashed, other} {
		stalls := []Stall{{Flow: 7, SentAt: crashAt + 500}, {Flow: 8, SentAt: crashAt + 500}}
		e.MergeSuspicions(crashAt+700, []Suspicion{{Token: token, Stalls: stalls, Broadcast: true}})
	}
	used := make(map[catalog.Token]int)
	for now := backAt; now < backAt+testSlowStart; now += 10 {
		used[answersOpening(e, now, 1000+int(now))]++
	}
	assert.Assert(t, used[crashed] > 50 && used[other] > 50, "%v", used)
}

// TestSilenceWithoutRestart checks that an upstream gets new flows at once when a flow that
// was open before its silence makes progress.
func TestSilenceWithoutRestart(t *testing.T) {
	tests := []struct {
		name     string
		progress func(e *Engine, crashed catalog.Token)
		resumed  bool
	}{
		{"none", func(*Engine, catalog.Token) {}, false},
		{"acknowledges an answer", func(e *Engine, crashed catalog.Token) {
			acknowledge(e, backAt+100, crashed, 1, 500)
		}, true},
		{"sends another request", func(e *Engine, crashed catalog.Token) {
			sendAcknowledging(e, backAt+100, crashed, 1, 500)
		}, false}, // it may acknowledge what came before the silence
		{"sends a request that is answered", func(e *Engine, crashed catalog.Token) {
			sendAcknowledging(e, backAt+100, crashed, 1, 2)
			acknowledge(e, backAt+150, crashed, 1, 500)
		}, true},
		{"a flow opened since", func(e *Engine, crashed catalog.Token) {
			acknowledge(e, backAt+100, crashed, 500, 3)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, crashed := recoveryEngine()
			answersOpening(e, backAt, 500)
			test.progress(e, crashed)
			assert.Equal(t, placedOn(e, crashed, backAt+200, backAt+1000) > 0, test.resumed)
		})
	}
}

// sendAcknowledging sends a request on flow i to an upstream and acknowledges data.
func sendAcknowledging(e *Engine, now clock.Millis, token catalog.Token, i int, ack uint32) {
	p := Packet{Caller: opening(i, webAddress).Caller, Destination: webAddress, Token: token, Seq: uint32(i) + 1, Ack: ack, Bytes: 100}
	e.Handle(now, &p)
}

// TestPeerReportsASilence guards against new flows at the full rate to an upstream that
// restarted, from a VM that saw answers both before and after the silence.
func TestPeerReportsASilence(t *testing.T) {
	e, token := recoveryPeer()
	stalls := []Stall{{Flow: 7, SentAt: crashAt}, {Flow: 8, SentAt: crashAt + 50}}
	e.MergeSuspicions(crashAt+700, []Suspicion{{Token: token, Stalls: stalls, Broadcast: true}})
	assert.Equal(t, e.conditionOf(token), answering)
	assert.Equal(t, placedOn(e, token, crashAt+700, crashAt+700+testSlowStart), 0)
}

// recoveryPeer returns an engine that sees no silence of its two upstreams, and the token of
// one of them.
func recoveryPeer() (e *Engine, token catalog.Token) {
	e = New("vm", "a")
	e.SetVMs([]ident.VMID{"vm"})
	e.SetCatalog(publishedWith(1, catalog.Service{Name: "web", SlowStartMillis: testSlowStart}, upstream(1, "web", "a"), upstream(2, "web", "a")))
	token = e.view.Load().serving["web"][0].entry.Token
	placedOn(e, token, 1000, crashAt)
	placedOn(e, token, crashAt+500, crashAt+700)
	return e, token
}

// TestHealedPartitionProvesNothing guards against an upstream that counts as warm because
// its failure domain is heard again, although it may have restarted meanwhile.
func TestHealedPartitionProvesNothing(t *testing.T) {
	e, crashed := recoveryEngine()
	e.ResetDomainHealth(backAt, "a")
	assert.Equal(t, e.conditionOf(crashed), answering)
	openUntilPlacedOn(e, crashed, backAt+10)
	assert.Equal(t, placedOn(e, crashed, backAt+20, backAt+testSlowStart), 0)
}

// TestRecoveriesAreTold guards against new flows at the full rate to an upstream that
// restarted, from a VM that started after the silence.
func TestRecoveriesAreTold(t *testing.T) {
	for _, answered := range []bool{true, false} {
		old, token := recoveryEngine()
		if answered {
			answersOpening(old, backAt, 500)
		}
		e := New("new", "a")
		e.SetVMs([]ident.VMID{"vm", "new"})
		e.SetCatalog(old.Catalog())
		e.SetRecoveries(backAt, old.Recoveries(backAt))
		if !answered {
			openUntilPlacedOn(e, token, backAt+10)
		}
		assert.Equal(t, placedOn(e, token, backAt+20, backAt+testSlowStart), 0, "answered: %t", answered)
		assert.Equal(t, len(e.Recoveries(backAt+testSlowStart+20)), 0)
	}
}

// TestRestartBetweenTwoPackets guards against new flows at the full rate to an upstream that
// restarted so fast that only one packet was lost. A single upstream must get them all the
// same, since a lost datagram looks alike.
func TestRestartBetweenTwoPackets(t *testing.T) {
	for _, upstreams := range []int{1, 2} {
		e := New("vm", "a")
		e.SetVMs([]ident.VMID{"vm"})
		list := []catalog.Upstream{upstream(9, "api", "a")}
		for i := range upstreams {
			list = append(list, upstream(i+1, "web", "a"))
		}
		e.SetCatalog(publishedWith(1, catalog.Service{Name: "web", SlowStartMillis: testSlowStart}, list...))
		placedOn(e, 0, 1000, crashAt)
		lost := opening(1, webAddress)
		token := e.Handle(crashAt, lost).Token
		placedOn(e, token, crashAt+50, crashAt+200)
		lost.Retransmits = 1
		assert.Equal(t, e.Handle(crashAt+200, lost).Token, token)
		for _, other := range e.view.Load().serving["web"] {
			for i := 0; i < 3 && other.entry.Token != token; i++ { // so that it costs more
				sendRequest(e, crashAt+205, other.entry.Token, spareFlow+i)
			}
		}
		n := placedOn(e, token, crashAt+210, crashAt+testSlowStart)
		if upstreams > 1 {
			assert.Assert(t, n <= 1, "%d flows after the first answer", n-1)
		} else {
			assert.Assert(t, n > 100)
		}
	}
}
