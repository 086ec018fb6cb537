package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/eventlog"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
)

func testRequestLog(w io.Writer, held gossip.ReplicaState) requestLog {
	lines := slog.New(eventlog.NewLimitHandler(slog.NewJSONHandler(w, nil)))
	return requestLog{log: lines, held: func() gossip.ReplicaState { return held }, clk: clock.NewManual(5000).Clock()}
}

var testPacket = forward.Packet{
	Caller: netip.MustParseAddrPort("100.64.0.1:4000"), Service: netip.MustParseAddrPort("198.51.100.1:443"),
}

// TestRequestLineTellsItsInputs checks the line of a forwarded request, and that
// no age is told of a copy that nobody confirmed.
func TestRequestLineTellsItsInputs(t *testing.T) {
	tests := []struct {
		held gossip.ReplicaState
		age  any
	}{
		{gossip.ReplicaState{Complete: 7, ConfirmedAt: 4000}, 1000.0},
		{gossip.ReplicaState{}, nil},
	}
	for _, test := range tests {
		var out bytes.Buffer
		l := testRequestLog(&out, test.held)
		u := &catalog.Entry{Upstream: catalog.Upstream{ID: "i-1"}}
		l.decided("r1", &testPacket, &forward.Decision{Action: forward.Forward}, u)
		var line map[string]any
		assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
		assert.Equal(t, line["request"], "r1")
		assert.Equal(t, line["caller"], "100.64.0.1:4000")
		assert.Equal(t, line["service"], "198.51.100.1:443")
		assert.Equal(t, line["upstream"], "i-1")
		assert.Equal(t, line["published"], true)
		assert.Equal(t, line["ageMillis"], test.age)
	}
}

// BenchmarkRequestLine measures lines of which nearly all are left out, as under
// load.
func BenchmarkRequestLine(b *testing.B) {
	l := testRequestLog(io.Discard, gossip.ReplicaState{Complete: 7, ConfirmedAt: 4000})
	d := forward.Decision{Action: forward.Forward}
	b.ReportAllocs()
	for b.Loop() {
		l.decided("r1", &testPacket, &d, nil)
	}
}
