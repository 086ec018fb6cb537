package quality

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// TestRejections guards against rejections that go unnoticed, and against answers that
// count as rejections for good since a release of the service made them shorter.
func TestRejections(t *testing.T) {
	var r Route
	for _, tt := range []struct {
		at       clock.Millis
		bytes    uint32
		rejected bool
	}{
		{1000, 1200, false},
		{2000, 800, false},
		{3000, 120, true},
		{32_000, 120, true},
		{32_001, 120, false},
		{32_002, 1200, false},
	} {
		assert.Equal(t, r.Record(tt.at, 20, tt.bytes).Rejected, tt.rejected, "%+v", tt)
	}
}
