package forward

import (
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

const (
	// lateThreshold is the delay of a Tick from which on the VM counts as late. It is
	// half of the time after which callers retransmit.
	lateThreshold clock.Millis = 100
	// A VM distrusts its evidence for minDistrust after it was found wrong, and twice
	// as long after each further time within maxDistrust, up to maxDistrust.
	minDistrust = 3 * clock.Second
	maxDistrust = 24 * clock.Second
	// fullLinkDistrust is how long a VM distrusts its evidence after its link was full.
	// Packets that waited there up to 450 ms are retransmitted 200 ms and 600 ms after
	// they were sent.
	fullLinkDistrust = clock.Second
)

// DistrustCause tells why a VM distrusts its evidence. If all fields are zero, the evidence
// was refuted.
type DistrustCause struct {
	// Late is the delay of a late Tick.
	Late clock.Millis
	// FullLink is set if packets queue at the link of the VM, and LinkDelay is the
	// estimated delay by that. It may be 0, since a queue before the link is not seen.
	FullLink  bool
	LinkDelay clock.Millis
}

// localHealth tells whether the evidence of this VM against upstreams can be trusted
// (local health awareness, as in Lifeguard's extension of SWIM). It cannot if the
// processor is withheld from the VM, packets are delayed around it or its link is full:
// callers then retransmit although their upstreams answer.
type localHealth struct {
	tickedAt        atomic.Int64 // clock.Millis of the last Tick, 0 before the first
	distrustedUntil atomic.Int64 // clock.Millis

	mu       sync.Mutex   // guards the fields below and stores to distrustedUntil
	wrongAt  clock.Millis // when the evidence was last found wrong
	distrust clock.Millis // how long that causes distrust, 0 before the first time
}

// recordTick records a Tick, and returns by how much it was late if that is
// lateThreshold or more, 0 otherwise.
func (h *localHealth) recordTick(now clock.Millis) (late clock.Millis) {
	last := clock.Millis(h.tickedAt.Swap(int64(now)))
	late = now - last - TickInterval
	if last == 0 || late < lateThreshold {
		return 0
	}
	return late
}

// recordWrong records that the evidence may be wrong, and reports whether it was
// trusted before.
func (h *localHealth) recordWrong(now clock.Millis) (trusted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	trusted = !h.isDistrusted(now)
	if h.distrust > 0 && now-h.wrongAt < maxDistrust {
		h.distrust = min(2*h.distrust, maxDistrust)
	} else {
		h.distrust = minDistrust
	}
	h.wrongAt = now
	h.distrustedUntil.Store(int64(now + h.distrust))
	return trusted
}

// distrustUntil distrusts the evidence until the given time at least, and reports whether
// it was trusted before. Unlike recordWrong it does not prolong later distrust.
func (h *localHealth) distrustUntil(now, until clock.Millis) (trusted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	trusted = !h.isDistrusted(now)
	h.distrustedUntil.Store(max(int64(until), h.distrustedUntil.Load()))
	return trusted
}

// trusts reports whether the evidence can be trusted: no Tick is overdue, and nothing
// was found wrong a short time ago.
func (h *localHealth) trusts(now clock.Millis) bool {
	last := clock.Millis(h.tickedAt.Load())
	overdue := last != 0 && now-last-TickInterval >= lateThreshold
	return !overdue && !h.isDistrusted(now)
}

func (h *localHealth) isDistrusted(now clock.Millis) bool {
	return now < clock.Millis(h.distrustedUntil.Load())
}
