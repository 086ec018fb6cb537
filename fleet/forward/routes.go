package forward

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

const (
	// maxAnswers bounds the count of a flow's answers.
	maxAnswers = 1000
	// routeSample is the number of flows after which older ones count half.
	routeSample = 256
	// routeKnown is the number of ended flows that tell what a route carries.
	routeKnown = 16
	// firstSteady is the load that a flow of an unknown route is expected to
	// cause, in thousandths of a request under way. It is low, so that flows
	// leave the own failure domain only for a load that was seen.
	firstSteady = 20
	// learnEvery is the period at which the load of flows is learned, and
	// learnShare the weight of the newest value.
	learnEvery clock.Millis = 250
	learnShare              = 0.1
)

// routeStat learns what the flows of a route are like.
type routeStat struct {
	mu sync.Mutex
	// ended flows carried one request at most, repeats are flows that carried
	// more.
	ended, repeats int
	// open counts open flows that had an answer, busy those of them with a
	// request under way. A flow that has just opened is busier than later.
	open, busy atomic.Int32
	steady     atomic.Int32
}

// repeated counts a flow that makes its second request.
func (r *routeStat) repeated() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeats++
	r.age()
}

// endedShort counts a flow that ended with one request or none.
func (r *routeStat) endedShort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended++
	r.age()
}

func (r *routeStat) age() {
	if r.ended+r.repeats > routeSample {
		r.ended, r.repeats = r.ended/2, r.repeats/2
	}
}

// short reports whether flows of the route carry one request each. An unknown
// route counts as long, so that its flows spread evenly.
func (r *routeStat) short() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended >= routeKnown && r.ended > r.repeats
}

// learn updates the load that an open flow causes.
func (r *routeStat) learn() {
	open := r.open.Load()
	if open <= 0 {
		return
	}
	now := 1000 * float64(max(0, r.busy.Load())) / float64(open)
	r.steady.Store(int32((1-learnShare)*float64(r.steady.Load()) + learnShare*now))
}

// routeTable holds the statistics of all routes that carried a flow.
type routeTable struct {
	mu    sync.RWMutex
	stats map[netip.AddrPort]*routeStat
}

// of returns the statistics of the route to address.
func (t *routeTable) of(address netip.AddrPort) *routeStat {
	t.mu.RLock()
	r := t.stats[address]
	t.mu.RUnlock()
	if r != nil {
		return r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r = t.stats[address]; r == nil {
		r = &routeStat{}
		r.steady.Store(firstSteady)
		if t.stats == nil {
			t.stats = make(map[netip.AddrPort]*routeStat)
		}
		t.stats[address] = r
	}
	return r
}

// learn updates what all routes' flows are like.
func (t *routeTable) learn() {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, r := range t.stats {
		r.learn()
	}
}

// keep forgets the routes that are no longer published.
func (t *routeTable) keep(published func(netip.AddrPort) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address := range t.stats {
		if !published(address) {
			delete(t.stats, address)
		}
	}
}
