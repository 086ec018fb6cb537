package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

func TestReading(t *testing.T) {
	tests := []struct {
		name string
		r    ReadState
		want Call
	}{
		{"packets wait for the first copy", ReadState{Rank: 9, Empty: true, Requested: true}, ReadAll},
		{"a starting VM hears others first", ReadState{Rank: 1, Empty: true, Uptime: 299}, NoCall},
		{"nobody had a copy", ReadState{Rank: 1, Empty: true, Uptime: 300}, ReadAll},
		{"a higher VM reads first", ReadState{Rank: 3, Empty: true, Uptime: 499}, NoCall},
		{"it did not", ReadState{Rank: 3, Empty: true, Uptime: 500}, ReadAll},
		{"the last of a large fleet", ReadState{Rank: 200, Empty: true, Uptime: 1300}, ReadAll},
		{"the reader follows", ReadState{Rank: 0, Uptime: 9000, Age: 5000}, Watch},
		{"the reader reads again", ReadState{Rank: 0, Due: true}, ReadAll},
		{"the copy is confirmed", ReadState{Rank: 1, Uptime: 9000, Age: 1199, Failed: true}, NoCall},
		{"the reader may have stopped", ReadState{Rank: 1, Uptime: 9000, Age: 1200}, Poll},
		{"a failure may have hidden changes", ReadState{Rank: 1, Uptime: 9000, Age: 1200, Failed: true}, ReadAll},
		{"the fourth checks last", ReadState{Rank: 4, Uptime: 9000, Age: 1949}, NoCall},
		{"the fourth checks", ReadState{Rank: 4, Uptime: 9000, Age: 1950}, Poll},
		{"the others wait for word of these", ReadState{Rank: 5, Uptime: 9000, Age: 2399}, NoCall},
		{"nobody is answered", ReadState{Rank: 5, Uptime: 9000, Age: 4999, PublisherAway: true}, NoCall},
		{"nobody is answered for long", ReadState{Rank: 5, Uptime: 9000, Age: 5000, PublisherAway: true}, Poll},
		{"a checker asks nevertheless", ReadState{Rank: 4, Uptime: 9000, Age: 1950, PublisherAway: true}, Poll},
		{"the first copy came from a VM that is cut off", ReadState{Rank: 200, Uptime: 400, Age: 1200, PublisherAway: true}, Poll},
		{"no word came", ReadState{Rank: 200, Uptime: 9000, Age: 2400}, Poll},
	}
	for _, test := range tests {
		assert.Equal(t, test.r.Next(), test.want, test.name)
	}
}

// TestCallsWhilePublisherIsAway counts the calls of a large fleet in 10 s in which
// the publisher answers nobody: they must not grow with the fleet as fast as it.
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
	t.Logf("%.1f calls a VM", float64(calls)/295)
	assert.Assert(t, calls < 4*295)
}
