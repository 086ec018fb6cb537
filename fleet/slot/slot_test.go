package slot

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

var limits = Limits{LeaseMillis: 2000, QueueMillis: 5000, QueuePerSlot: 50}

// TestNeverAboveTheLimit checks that no upstream has more leases than slots
// while leases are acquired, released, renewed and expire in random order.
func TestNeverAboveTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewManager(limits, 0)
		upstreams := []UpstreamSlots{{ID: 1, Slots: 2}, {ID: 2, Slots: 4}}
		m.SetUpstreams(upstreams)
		now := clock.Millis(1)
		held := make(map[LeaseID]bool)
		n := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 400).Draw(t, "wait"))
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				n++
				id := LeaseID(fmt.Sprint(n))
				r := Request{ID: id, Holder: "vm", Owner: config.Owner(fmt.Sprint(n % 3)), Deadline: now + 1000}
				held[id] = m.Acquire(now, r).Status == Granted
			case 1:
				id := LeaseID(fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id")))
				m.Release(now, id)
			case 2:
				m.Renew(now, "vm", []LeaseID{LeaseID(fmt.Sprint(n))})
			}
			m.Tick(now)
			for _, e := range upstreams {
				assert.Assert(t, m.used[e.ID] >= 0 && m.used[e.ID] <= e.Slots, "%d of %d slots are used", m.used[e.ID], e.Slots)
			}
			waiting := 0
			for _, o := range m.owners {
				waiting += len(o.queue)
			}
			assert.Equal(t, waiting, m.queued)
		}
	})
}

func TestNewManagerWaitsForOldLeases(t *testing.T) {
	m := NewManager(limits, 2000)
	m.SetUpstreams([]UpstreamSlots{{ID: 1, Slots: 1}})
	assert.Equal(t, m.Acquire(0, Request{ID: "a", Deadline: 9000}).Status, Queued)
	assert.Equal(t, len(m.Tick(1999)), 0)
	assert.Equal(t, len(m.Tick(2000)), 1)
	next := NewManager(limits, 9000)
	next.SetUpstreams([]UpstreamSlots{{ID: 1, Slots: 1}})
	next.Import(3000, m.Export())
	assert.Equal(t, next.Acquire(3000, Request{ID: "b", Deadline: 9000}).Status, Queued, "a slot was leased twice")
}

func TestRefusesRequestsThatCannotMeetTheirDeadline(t *testing.T) {
	m := NewManager(limits, 0)
	m.SetUpstreams([]UpstreamSlots{{ID: 1, Slots: 1}})
	assert.Equal(t, m.Acquire(1, Request{ID: "a", Deadline: 1000}).Status, Granted)
	assert.Equal(t, m.Acquire(1, Request{ID: "b", Deadline: 5}).Status, Refused)
	assert.Equal(t, m.Acquire(1, Request{ID: "c", Deadline: 1000}).Status, Queued)
	results := m.Tick(1001)
	assert.Equal(t, len(results), 1)
	assert.Equal(t, results[0].Status, Refused)
}
