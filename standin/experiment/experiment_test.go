package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const small = `
seeds = [1, 2]
lengthMillis = 9000
warmMillis = 2000
[fleet]
slots = 2
queue = 8
domains = [{name = "a", vms = 4, upstreams = 12}, {name = "b", vms = 4, upstreams = 12}]
[[load]]
callers = 60
pauseMillis = 500
workMillis = 20
aimMillis = 300
deadlineMillis = 1500
retries = 2
[[fault]]
kind = "dark"
atMillis = 4000
forMillis = 2300
share = 0.25
[[policy]]
name = "together"
[[policy]]
name = "alone"
alone = true
`

func TestRun(t *testing.T) {
	f, err := Parse([]byte(small))
	assert.NilError(t, err)
	r := Run(f)
	assert.Equal(t, len(r.Results), 2)
	for _, x := range r.Results {
		assert.Equal(t, len(x.Steps), 7)
		assert.Assert(t, x.Sum.OnTime > 1000)
		assert.Equal(t, x.SpuriousResets, 0)
		assert.Assert(t, x.worst() < x.Steps[0].OnTimeShare(), "the fault shows")
	}
	assert.DeepEqual(t, Run(f), r)

	var table, js bytes.Buffer
	assert.NilError(t, r.Table(&table))
	assert.Assert(t, strings.Contains(table.String(), "together"))
	assert.NilError(t, r.JSON(&js))
	path := filepath.Join(t.TempDir(), "x.svg")
	assert.NilError(t, r.Plot(path))
	drawn, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(drawn, []byte("<svg")))
}

func TestParseNamesTheField(t *testing.T) {
	tests := []struct{ old, bad, want string }{
		{"seeds = [1, 2]", "seeds = []", "field seeds"},
		{"seeds = [1, 2]", "seed = [1]", "field seed: is not known"},
		{"lengthMillis = 9000", "lengthMillis = 1000", "field lengthMillis"},
		{"slots = 2", "slots = 0", "field fleet.slots"},
		{"vms = 4", "vms = 0", "field fleet.domains[0]"},
		{"callers = 60", `domain = "x"`, "field load[0].domain"},
		{"callers = 60", "callers = 0", "field load[0]"},
		{`kind = "dark"`, `kind = "odd"`, "field fault[0].kind"},
		{"share = 0.25", "share = 2", "field fault[0].share"},
		{`kind = "dark"`, `kind = "cut"`, "field fault[0].domain"},
		{`kind = "dark"`, `kind = "slow"`, "field fault[0].times"},
		{"alone = true", `placement = "odd"`, "field policy[1].placement"},
		{"seeds = [1, 2]", "seeds = 7", "seeds"},
	}
	for _, test := range tests {
		_, err := Parse([]byte(strings.Replace(small, test.old, test.bad, 1)))
		assert.ErrorContains(t, err, test.want)
	}
}
