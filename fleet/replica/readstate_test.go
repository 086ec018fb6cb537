package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

func TestReadState(t *testing.T) {
	tests := []struct {
		name string
		r    ReadState
		want Call
	}{
		{"requested without a copy", ReadState{Rank: 9, Empty: true, Requested: true}, ReadAll},
		{"starting VM waits for a copy of another VM", ReadState{Rank: 1, Empty: true, Uptime: 299}, NoCall},
		{"no other VM had a copy", ReadState{Rank: 1, Empty: true, Uptime: 300}, ReadAll},
		{"VMs of lower rank read first", ReadState{Rank: 3, Empty: true, Uptime: 499}, NoCall},
		{"no VM of lower rank has read", ReadState{Rank: 3, Empty: true, Uptime: 500}, ReadAll},
		{"last rank of a large fleet", ReadState{Rank: 200, Empty: true, Uptime: 1300}, ReadAll},
		{"reader watches", ReadState{Rank: 0, Uptime: 9000, Age: 5000}, Watch},
		{"reader reads again", ReadState{Rank: 0, Due: true}, ReadAll},
		{"copy is confirmed", ReadState{Rank: 1, Uptime: 9000, Age: 1199, Failed: true}, NoCall},
		{"reader may have stopped", ReadState{Rank: 1, Uptime: 9000, Age: 1200}, Poll},
		{"failed call may have hidden changes", ReadState{Rank: 1, Uptime: 9000, Age: 1200, Failed: true}, ReadAll},
		{"another VM has a newer copy", ReadState{Rank: 1, Uptime: 9000, Age: 300, Behind: 1199}, NoCall},
		{"another VM does not pass its newer copy on", ReadState{Rank: 1, Uptime: 9000, Age: 300, Behind: 1200}, Poll},
		{"last checker waits longest", ReadState{Rank: 4, Uptime: 9000, Age: 1949}, NoCall},
		{"last checker polls", ReadState{Rank: 4, Uptime: 9000, Age: 1950}, Poll},
		{"other VMs wait for the checkers", ReadState{Rank: 5, Uptime: 9000, Age: 2399}, NoCall},
		{"publisher does not answer", ReadState{Rank: 5, Uptime: 9000, Age: 4999, PublisherAway: true}, NoCall},
		{"publisher has not answered for long", ReadState{Rank: 5, Uptime: 9000, Age: 5000, PublisherAway: true}, Poll},
		{"checker polls nevertheless", ReadState{Rank: 4, Uptime: 9000, Age: 1950, PublisherAway: true}, Poll},
		{"first copy may come from a VM that is cut off", ReadState{Rank: 200, Uptime: 400, Age: 1200, PublisherAway: true}, Poll},
		{"checkers reported nothing", ReadState{Rank: 200, Uptime: 9000, Age: 2400}, Poll},
	}
	for _, test := range tests {
		assert.Equal(t, test.r.Next(), test.want, test.name)
	}
}

// TestCallsWhilePublisherIsAway counts the calls of a large fleet to a
// publisher that does not answer for 10 s. Fewer than 4 calls per VM are
// allowed, so that the fleet does not overload a publisher that is already
// failing.
func TestCallsWhilePublisherIsAway(t *testing.T) {
	calls := 0
	for rank := 1; rank <= 295; rank++ {
		failures, next := 0, clock.Millis(0)
		for age := clock.Millis(0); age < 10*clock.Second; age += 50 {
			r := ReadState{Rank: rank, Uptime: 9000, Age: age, PublisherAway: true}
			if age < next || r.Next() == NoCall {
				continue
			}
			calls++
			failures++
			next = age + RetryDelay(rank, failures, false)
		}
	}
	t.Logf("%.1f calls per VM", float64(calls)/295)
	assert.Assert(t, calls < 4*295)
}
