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

func newTestRequestLog(w io.Writer, local gossip.ReplicaState) requestLog {
	lines := slog.New(eventlog.NewLimitHandler(slog.NewJSONHandler(w, nil)))
	return requestLog{log: lines, localCopy: func() gossip.ReplicaState { return local }, clk: clock.NewManual(5000).Clock()}
}

var testPacket = forward.Packet{
	Caller: netip.MustParseAddrPort("100.64.0.1:4000"), Destination: netip.MustParseAddrPort("198.51.100.1:443"),
}

// TestRequestLogAttributes checks the attributes of the line for a forwarded
// request. The line has no age if the copy was never confirmed.
func TestRequestLogAttributes(t *testing.T) {
	tests := []struct {
		local gossip.ReplicaState
		age   any
	}{
		{gossip.ReplicaState{Complete: 7, ConfirmedAt: 4000}, 1000.0},
		{gossip.ReplicaState{}, nil},
	}
	for _, test := range tests {
		var out bytes.Buffer
		l := newTestRequestLog(&out, test.local)
		u := &catalog.Entry{Upstream: catalog.Upstream{ID: "i-1"}}
		l.logDecision("r1", &testPacket, &forward.Decision{Action: forward.Forward}, u)
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

// BenchmarkRequestLog measures lines that the rate limit omits, which are most
// lines under load.
func BenchmarkRequestLog(b *testing.B) {
	l := newTestRequestLog(io.Discard, gossip.ReplicaState{Complete: 7, ConfirmedAt: 4000})
	d := forward.Decision{Action: forward.Forward}
	b.ReportAllocs()
	for b.Loop() {
		l.logDecision("r1", &testPacket, &d, nil)
	}
}
