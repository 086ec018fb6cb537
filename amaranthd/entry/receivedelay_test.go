package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// TestReceiveDelay reads probes, sent every 250 ms, with a delay, and then none.
func TestReceiveDelay(t *testing.T) {
	tests := []struct {
		name              string
		delay, sinceProbe clock.Millis
		want              clock.Millis
	}{
		{"not delayed", 0, 0, 0},
		{"next probe is not due", 2, 249, 2},
		{"delayed", 700, 0, 700},
		{"next probe is overdue", 2, 1248, 1000},
		{"more overdue than the last one was delayed", 700, 450, 900},
	}
	for _, test := range tests {
		manual := clock.NewManual(1000)
		r := receiveDelay{clk: manual.Clock(), interval: 250}
		assert.Equal(t, r.estimate(), clock.Millis(0), test.name)
		sentAt := manual.Clock().Now()
		manual.Advance(test.delay)
		r.recordProbe(sentAt)
		manual.Advance(test.sinceProbe)
		assert.Equal(t, r.estimate(), test.want, test.name)
	}
}
