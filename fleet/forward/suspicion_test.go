package forward

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// suspected returns an engine that has one upstream of the service web, and that
// upstream's token.
func suspected() (*Engine, catalog.Token) {
	e := New("vm", "a")
	e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "api", "a")))
	return e, e.Handle(1000, opening(1, webAddress)).Token
}

func (e *Engine) conditionOf(token catalog.Token) condition {
	return e.view.Load().tokens[token].load.health.condition()
}

// TestOthersStallsMakeSilentThenLost tells a VM of three flows, each of which
// another VM saw waiting: more than any VM of a large fleet sees itself.
func TestOthersStallsMakeSilentThenLost(t *testing.T) {
	e, token := suspected()
	tell := func(now clock.Millis, flow uint32, sentAt clock.Millis) {
		e.MergeSuspicions(now, []Suspicion{{Token: token, Stalls: []Stall{{Flow: flow, SentAt: sentAt}}}})
	}
	tell(2200, 1, 2000)
	tell(2210, 1, 2000)
	assert.Equal(t, e.conditionOf(token), answering, "one flow may have lost a packet")
	tell(2300, 2, 2100)
	assert.Equal(t, e.conditionOf(token), silent)
	tell(2350, 3, 2150)
	e.Suspicions(2400)
	assert.Equal(t, e.conditionOf(token), silent, "another VM may know better")
	e.Suspicions(2350 + settleAfter)
	assert.Equal(t, e.conditionOf(token), lost)
	p := Packet{Caller: opening(7, webAddress).Caller, Service: webAddress, Token: token, Seq: 9, Ack: 9, Bytes: 100}
	assert.Equal(t, e.Handle(2700, &p).Reason, UpstreamLost, "a flow that this VM never saw")
}

// TestContraryProofIsTold tells a VM of stalls that are older than an answer that
// it saw. It tells the others.
func TestContraryProofIsTold(t *testing.T) {
	e, token := suspected()
	p := Packet{Caller: opening(1, webAddress).Caller, Service: webAddress, Token: token, Seq: 2, Ack: 9}
	e.Handle(1010, &p)
	stalls := []Stall{{Flow: 1, SentAt: 900}, {Flow: 2, SentAt: 950}, {Flow: 3, SentAt: 960}}
	e.MergeSuspicions(1200, []Suspicion{{Token: token, Stalls: stalls, Broadcast: true}})
	assert.Equal(t, e.conditionOf(token), answering)
	told := e.Suspicions(1250)
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].AckedAt, clock.Millis(1000))

	other, _ := suspected()
	other.MergeSuspicions(1200, []Suspicion{{Token: token, Stalls: stalls, Broadcast: true}})
	assert.Equal(t, other.conditionOf(token), silent)
	other.MergeSuspicions(1300, told)
	assert.Equal(t, other.conditionOf(token), answering)
	other.Suspicions(1200 + settleAfter + 1)
	assert.Equal(t, other.conditionOf(token), answering)
}

// TestSuspicionsMerge hands the same news to two VMs in different orders. They
// conclude alike.
func TestSuspicionsMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 10_000
		a, token := suspected()
		b, _ := suspected()
		var news []Suspicion
		for range rapid.IntRange(1, 6).Draw(t, "news") {
			s := Suspicion{Token: token, AckedAt: clock.Millis(rapid.IntRange(7500, 9500).Draw(t, "proved"))}
			for range rapid.IntRange(0, 1).Draw(t, "stalls") {
				s.Stalls = append(s.Stalls, Stall{
					Flow:   uint32(rapid.IntRange(1, maxStalls).Draw(t, "flow")),
					SentAt: clock.Millis(rapid.IntRange(7500, 9500).Draw(t, "sent")),
				})
			}
			news = append(news, s)
		}
		// A flow that waits has sent one thing that is not answered.
		sent := make(map[uint32]clock.Millis)
		for i := range news {
			for j := range news[i].Stalls {
				stall := &news[i].Stalls[j]
				if sent[stall.Flow] == 0 {
					sent[stall.Flow] = stall.SentAt
				}
				stall.SentAt = sent[stall.Flow]
			}
		}
		a.MergeSuspicions(now, news)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rng.Shuffle(len(news), func(i, j int) { news[i], news[j] = news[j], news[i] })
		b.MergeSuspicions(now, news)
		ha, hb := &a.view.Load().tokens[token].load.health, &b.view.Load().tokens[token].load.health
		assert.Equal(t, ha.proved, hb.proved)
		assert.Equal(t, len(ha.shared.stalls), len(hb.shared.stalls))
	})
}

// TestFewVMsTryASilentUpstream counts the VMs of a large failure domain that send
// a flow to an upstream that is silent for all of them.
func TestFewVMsTryASilentUpstream(t *testing.T) {
	var ids []ident.VMID
	for i := range 59 {
		ids = append(ids, ident.VMID(rune('A'+i)))
	}
	tries := 0
	for _, id := range ids {
		e := New(id, "a")
		e.SetNeighbours(ids)
		e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "web", "a")))
		token := e.view.Load().serving["web"][0].entry.Token
		e.MergeSuspicions(1200, []Suspicion{{Token: token, Stalls: []Stall{{Flow: 1, SentAt: 1000}, {Flow: 2, SentAt: 1000}}}})
		for i := range 50 {
			if e.Handle(1200+clock.Millis(20*i)+firstTrial, opening(i, webAddress)).Token == token {
				tries++
			}
		}
	}
	assert.Equal(t, tries, judgesEach)
}

// TestUnknownUpstreamsAreIgnored hands over word of an upstream that is not known,
// before and after the first catalog.
func TestUnknownUpstreamsAreIgnored(t *testing.T) {
	word := []Suspicion{{Token: 4711, Stalls: []Stall{{Flow: 1, SentAt: 1}}, Broadcast: true}}
	New("vm", "a").MergeSuspicions(2, word)
	e, _ := suspected()
	e.MergeSuspicions(2, word)
	assert.Equal(t, len(e.Suspicions(3)), 0)
}

// TestLostPacketsAreForgotten tells of a single stall of each of many upstreams,
// which must not be looked at for ever.
func TestLostPacketsAreForgotten(t *testing.T) {
	e := New("vm", "a")
	var list []catalog.Upstream
	for i := range 50 {
		list = append(list, upstream(i+1, "web", "a"))
	}
	e.SetCatalog(published(1, 0, list...))
	for token := range e.view.Load().tokens {
		e.MergeSuspicions(2000, []Suspicion{{Token: token, Stalls: []Stall{{Flow: 1, SentAt: 1800}}}})
	}
	e.Suspicions(2050)
	e.Suspicions(2100)
	assert.Assert(t, len(e.suspects) >= 50)
	e.Suspicions(1800 + stallLife + 1)
	assert.Equal(t, len(e.suspects), 0)
}

// TestOldEvidenceResetsNothing finds an upstream lost that then answers other VMs
// again. Nobody tells this one, which sees a packet of an open flow later.
func TestOldEvidenceResetsNothing(t *testing.T) {
	e, token := suspected()
	var stalls []Stall
	for i := range uint32(lostFlows) {
		stalls = append(stalls, Stall{Flow: i, SentAt: 2000})
	}
	e.MergeSuspicions(2200, []Suspicion{{Token: token, Stalls: stalls}})
	e.Suspicions(2200 + settleAfter)
	assert.Equal(t, e.conditionOf(token), lost)
	send := func(now clock.Millis) Action {
		p := Packet{Caller: opening(int(now), webAddress).Caller, Service: webAddress, Token: token, Seq: 9, Ack: 9, Bytes: 100}
		return e.Handle(now, &p).Action
	}
	assert.Equal(t, send(4000), Refuse)
	assert.Equal(t, send(2000+stallLife+1), Forward)
}
