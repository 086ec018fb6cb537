package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

func TestReading(t *testing.T) {
	tests := []struct {
		name string
		r    Reading
		want Call
	}{
		{"packets wait for the first copy", Reading{Rank: 9, Empty: true, Asked: true}, ReadAll},
		{"a starting VM hears others first", Reading{Rank: 1, Empty: true, Started: 299}, NoCall},
		{"nobody had a copy", Reading{Rank: 1, Empty: true, Started: 300}, ReadAll},
		{"a higher VM reads first", Reading{Rank: 3, Empty: true, Started: 499}, NoCall},
		{"it did not", Reading{Rank: 3, Empty: true, Started: 500}, ReadAll},
		{"the last of a large fleet", Reading{Rank: 200, Empty: true, Started: 1300}, ReadAll},
		{"the reader follows", Reading{Rank: 0, Started: 9000, Age: 5000}, Follow},
		{"the reader reads again", Reading{Rank: 0, Due: true}, ReadAll},
		{"the copy is confirmed", Reading{Rank: 1, Started: 9000, Age: 1199, Failed: true}, NoCall},
		{"the reader may have stopped", Reading{Rank: 1, Started: 9000, Age: 1200}, Check},
		{"a failure may have hidden changes", Reading{Rank: 1, Started: 9000, Age: 1200, Failed: true}, ReadAll},
		{"the fourth checks last", Reading{Rank: 4, Started: 9000, Age: 1949}, NoCall},
		{"the fourth checks", Reading{Rank: 4, Started: 9000, Age: 1950}, Check},
		{"the others wait for word of these", Reading{Rank: 5, Started: 9000, Age: 2399}, NoCall},
		{"nobody is answered", Reading{Rank: 5, Started: 9000, Age: 4999, Away: true}, NoCall},
		{"nobody is answered for long", Reading{Rank: 5, Started: 9000, Age: 5000, Away: true}, Check},
		{"a checker asks nevertheless", Reading{Rank: 4, Started: 9000, Age: 1950, Away: true}, Check},
		{"the first copy came from a VM that is cut off", Reading{Rank: 200, Started: 400, Age: 1200, Away: true}, Check},
		{"no word came", Reading{Rank: 200, Started: 9000, Age: 2400}, Check},
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
			r := Reading{Rank: rank, Started: 9000, Age: age, Away: true}
			if age < next || r.Next() == NoCall {
				continue
			}
			calls++
			failures++
			next = age + Retry(rank, failures, false)
		}
	}
	t.Logf("%.1f calls a VM", float64(calls)/295)
	assert.Assert(t, calls < 4*295)
}
