package entry

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

const (
	// minSeniority is how much earlier than this VM another one must have started to
	// know what was removed before. VMs that started at about the same time may have
	// been restarted by the same event.
	minSeniority = 1 * clock.Second
	// anyPeerAfter is the time after its start from which a VM asks any other one,
	// since the clocks of the VMs may differ by more than minSeniority.
	anyPeerAfter = 1 * clock.Second
	// contactTimeout is the time after its start for which a VM holds packets until an
	// older VM sends a message, and historyTimeout until that VM has sent the history.
	contactTimeout clock.Millis = 60
	historyTimeout clock.Millis = 250
)

// historyState is the state of a removalHistory.
type historyState uint8

const (
	historyMissing historyState = iota
	historyRequested
	historyKnown
)

// removalHistory tracks whether this VM has got the tombstones of an older VM since its
// start. The source does not return them. They name removed upstreams to which open
// flows may still lead, and failure domains that returned to service a moment ago,
// whose upstreams may be cold.
type removalHistory struct {
	clk     clock.Clock
	started clock.Millis

	mu    sync.Mutex
	state historyState
	// settled is closed once packets need not be held any longer.
	settled chan struct{}
}

// newRemovalHistory returns the history of a VM that starts now. It holds no packets if
// the VM knows no other one to ask.
func newRemovalHistory(clk clock.Clock, alone bool) *removalHistory {
	h := &removalHistory{clk: clk, started: clk.Now(), settled: make(chan struct{})}
	if alone {
		h.settle()
	}
	return h
}

// begin reports whether the history is to be requested now from a VM that started at
// the given time and holds the published items up to a revision. If so, the caller must
// call finish with the result.
func (h *removalHistory) begin(started clock.Millis, complete replica.Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	older := started+minSeniority <= h.started || h.clk.Now()-h.started >= anyPeerAfter
	if h.state != historyMissing || complete == 0 || !older {
		return false
	}
	h.state = historyRequested
	return true
}

// finish records whether a request returned the history. After a failure it is
// requested again.
func (h *removalHistory) finish(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ok {
		h.state = historyMissing
		return
	}
	h.state = historyKnown
	h.settle()
}

// settle ends all waits. The caller holds mu, except in newRemovalHistory.
func (h *removalHistory) settle() {
	select {
	case <-h.settled:
	default:
		close(h.settled)
	}
}

// wait blocks until the history is known or no longer expected.
func (h *removalHistory) wait(ctx context.Context) {
	for {
		limit := h.remaining()
		if limit <= 0 {
			return
		}
		select {
		case <-h.settled:
			return
		case <-ctx.Done():
			return
		case <-time.After(limit.Duration()):
		}
	}
}

// await waits like wait and reports whether the history is known.
func (h *removalHistory) await(ctx context.Context) bool {
	h.wait(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == historyKnown
}

// remaining returns how long packets are held at most from now on. It ends all waits
// once that time is over.
func (h *removalHistory) remaining() clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	until := h.started + contactTimeout
	if h.state == historyRequested {
		until = h.started + historyTimeout
	}
	left := until - h.clk.Now()
	if left <= 0 {
		h.settle()
	}
	return left
}
