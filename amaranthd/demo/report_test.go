package demo

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/standin/caller"
)

// TestRandomImbalance compares the approximation with a simulation.
func TestRandomImbalance(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	sum, expected := 0.0, 0.0
	const draws = 200
	for range draws {
		loads := make([]float64, 14)
		for range 3000 {
			loads[rng.IntN(len(loads))]++
		}
		top, _ := Imbalance(loads)
		sum += top / draws
		expected += randomImbalance(loads) / draws
	}
	assert.Assert(t, expected > sum && expected < sum+0.05, "%.3f drawn, %.3f expected", sum, expected)
}

func TestAvailability(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	results := []caller.RequestResult{{Sent: at(1), Outcome: caller.Failed}, {Sent: at(5), Outcome: caller.Answered}, {Sent: at(6), Outcome: caller.NotRun}}
	assert.Equal(t, availability(results, at(5)), 0.5)
	assert.Equal(t, availability(nil, at(5)), 0.0)
}

// TestReportFieldsAndUnits checks the field names and units of the JSON and
// table output.
func TestReportFieldsAndUnits(t *testing.T) {
	r := Report{BrokenFlows: 2, Imbalance: 1.03, Availability: 0.99, LongestStallMillis: 7}
	var out bytes.Buffer
	assert.NilError(t, write(&out, Options{JSON: true}, r))
	var fields map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &fields))
	assert.Equal(t, fields["broken"], 2.0)
	assert.Equal(t, fields["imbalance"], 1.03)
	assert.Equal(t, fields["service"], 0.99)
	assert.Equal(t, fields["longestStallMillis"], 7.0)
	out.Reset()
	assert.NilError(t, write(&out, Options{}, r))
	assert.Assert(t, strings.Contains(out.String(), "longest stall of a flow              7 ms"), out.String())
}
