package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// TestLateVMResetsNothing guards against resets of healthy flows by a VM from which the
// processor is withheld, or at whose link packets queue. The same stalls must lead to resets
// while the VM is in time and its link has room.
func TestLateVMResetsNothing(t *testing.T) {
	tests := []struct {
		name   string
		ticks  []clock.Millis // times of Tick, from the first packet on
		fullAt clock.Millis   // time of RecordFullLink, in the same way
		resets int
	}{
		{"in time", []clock.Millis{0, 50, 100, 150, 200, 250}, -fullLinkDistrust, 3},
		{"a little late", []clock.Millis{0, 50, 190, 240}, -fullLinkDistrust, 3},
		{"late", []clock.Millis{0, 50, 200, 250}, -fullLinkDistrust, 0},
		{"next tick overdue", []clock.Millis{0, 50}, -fullLinkDistrust, 0},
		{"full link", []clock.Millis{0, 50, 100, 150, 200, 250}, 50, 0},
		{"full link before", []clock.Millis{0, 50, 100, 150, 200, 250}, 259 - fullLinkDistrust, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := New("vm", "a")
			e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "api", "a")))
			token := e.view.Load().serving["web"][0].entry.Token
			resets := 0
			send := func(now clock.Millis) {
				for i := range lostStalls {
					if sendRequest(e, now, token, i) == Refuse {
						resets++
					}
				}
				resets += len(e.PendingResets(now))
			}
			e.RecordFullLink(2000+test.fullAt, 60)
			send(2000)
			for _, at := range test.ticks {
				e.Tick(2000 + at)
			}
			arrives(e, 1, 2190, 2199)
			send(2260)
			assert.Equal(t, resets, test.resets)
		})
	}
}

// TestDistrustGrows checks how long a VM distrusts its evidence: longer if it is found
// wrong again and again, and no longer than maxDistrust.
func TestDistrustGrows(t *testing.T) {
	var h localHealth
	now := clock.Millis(1000)
	for _, want := range []clock.Millis{minDistrust, 2 * minDistrust, 4 * minDistrust, maxDistrust, maxDistrust} {
		now += clock.Second
		h.recordWrong(now)
		assert.Assert(t, !h.trusts(now+want-1))
		assert.Assert(t, h.trusts(now+want))
	}
	now += maxDistrust
	assert.Assert(t, h.recordWrong(now), "trusted until then")
	assert.Assert(t, !h.recordWrong(now), "distrusted since")
	now += maxDistrust
	h.recordWrong(now)
	assert.Assert(t, h.trusts(now+minDistrust), "after a time without fault")
}

// TestRefutedEvidenceIsDistrusted guards against resets of healthy flows where packets
// are late. A VM that saw open flows stall, and then one of them answered, resets none on
// such evidence for a while.
func TestRefutedEvidenceIsDistrusted(t *testing.T) {
	e := New("vm", "a")
	e.SetCatalog(published(1, 0, upstream(1, "web", "a"), upstream(2, "api", "a")))
	token := e.view.Load().serving["web"][0].entry.Token
	send := func(now clock.Millis, i, ack, bytes int) Action {
		p := Packet{Caller: opening(i, webAddress).Caller, Destination: webAddress, Token: token, Seq: uint32(i) + 1, Ack: uint32(ack), Bytes: bytes}
		return e.Handle(now, &p).Action
	}
	// stall lets three flows stall, and returns how many are reset.
	stall := func(now clock.Millis, firstFlow int) (resets int) {
		for i := range lostStalls {
			send(now, firstFlow+i, 1, 100)
		}
		arrives(e, firstFlow, now+100, now+110)
		for i := range lostStalls {
			if send(now+250, firstFlow+i, 1, 100) == Refuse {
				resets++
			}
		}
		return resets + len(e.PendingResets(now+250))
	}
	for i := range silentStalls {
		send(2000, i, 1, 100)
		send(2200, i, 1, 100)
	}
	assert.Assert(t, e.TrustsEvidence(2200))
	answer := func(now clock.Millis, flows ...int) {
		for _, i := range flows {
			send(now, i, 500, 0)
		}
	}
	answer(2210, 0, 1)
	assert.Assert(t, !e.TrustsEvidence(2210))
	assert.Equal(t, stall(2220, 10), 0)
	answer(2480, 10, 11, 12)
	assert.Equal(t, stall(2480+maxDistrust, 20), lostStalls)
}
