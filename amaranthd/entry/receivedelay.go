package entry

import (
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// receiveDelay estimates how long messages of other VMs wait in the socket before this
// VM reads them. The VM sends probes to its own socket, which queue with the messages.
// Without the estimate a slow VM would take old messages for new, and pass their age
// on as too low.
type receiveDelay struct {
	clk clock.Clock
	// interval is the period at which probes are sent.
	interval clock.Millis

	mu     sync.Mutex
	sentAt clock.Millis // of the last probe that was read, 0 if there is none
	delay  clock.Millis // of that probe
}

// recordProbe records that a probe sent at sentAt was read.
func (r *receiveDelay) recordProbe(sentAt clock.Millis) {
	now := r.clk.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentAt, r.delay = sentAt, max(0, now-sentAt)
}

// estimate returns the delay of a message that was just read. It is at least the delay
// of the last probe, and grows while the next probe is overdue. Before the first probe
// it is 0.
func (r *receiveDelay) estimate() clock.Millis {
	now := r.clk.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sentAt == 0 {
		return 0
	}
	return max(r.delay, now-r.sentAt-r.interval)
}
