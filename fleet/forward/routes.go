package forward

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/quality"
)

const (
	// maxResponses bounds the count of a flow's answered requests.
	maxResponses = 1000
	// routeWindow is the number of flows after which the counts of a route are
	// halved.
	routeWindow = 256
	// routeMinSamples is the number of ended flows needed to classify a route.
	routeMinSamples = 16
	// initialExpected is the expected load of a flow of an unknown route, in
	// thousandths of a request in flight. It is low, so that flows leave their
	// own failure domain only for observed load.
	initialExpected = 20
	// routeUpdateInterval is the interval at which the expected load per flow
	// is updated, and routeSmoothing the weight of the newest value.
	routeUpdateInterval clock.Millis = 250
	routeSmoothing                   = 0.1
)

// routeStat estimates the load of the flows of a route.
type routeStat struct {
	mu sync.Mutex
	// shortFlows counts ended flows that carried at most one request, and
	// longFlows counts flows that carried more.
	shortFlows, longFlows int
	// open counts open flows with at least one answer, and inFlight those of
	// them with a request in flight. Flows without an answer are left out
	// because a new flow is busier than it is later.
	open, inFlight atomic.Int32
	expected       atomic.Int32
	quality        quality.Route
	// priorityPlusOne is 0 until the priority of the route is known.
	priorityPlusOne atomic.Int64
}

// setPriority sets the priority of the route as published.
func (r *routeStat) setPriority(p catalog.Priority) { r.priorityPlusOne.Store(int64(p) + 1) }

// priority returns the priority of the route. known is false before an opening packet
// of the route was handled.
func (r *routeStat) priority() (p catalog.Priority, known bool) {
	n := r.priorityPlusOne.Load()
	return catalog.Priority(n - 1), n > 0
}

// recordLong counts a flow that sends its second request.
func (r *routeStat) recordLong() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longFlows++
	r.decay()
}

// recordShort counts a flow that ended after at most one request.
func (r *routeStat) recordShort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shortFlows++
	r.decay()
}

func (r *routeStat) decay() {
	if r.shortFlows+r.longFlows > routeWindow {
		r.shortFlows, r.longFlows = r.shortFlows/2, r.longFlows/2
	}
}

// short reports whether flows of the route carry one request each. An unknown
// route is treated as long, so that its flows spread evenly.
func (r *routeStat) short() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shortFlows >= routeMinSamples && r.shortFlows > r.longFlows
}

// updateExpected updates the expected load of an open flow.
func (r *routeStat) updateExpected() {
	open := r.open.Load()
	if open <= 0 {
		return
	}
	now := 1000 * float64(max(0, r.inFlight.Load())) / float64(open)
	r.expected.Store(int32((1-routeSmoothing)*float64(r.expected.Load()) + routeSmoothing*now))
}

// routeTable holds the statistics of all routes that have carried a flow.
type routeTable struct {
	mu    sync.RWMutex
	stats map[netip.AddrPort]*routeStat
}

// get returns the statistics of the route to address, creating them if needed.
func (t *routeTable) get(address netip.AddrPort) *routeStat {
	r := t.find(address)
	if r != nil {
		return r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r = t.stats[address]; r == nil {
		r = &routeStat{}
		r.expected.Store(initialExpected)
		if t.stats == nil {
			t.stats = make(map[netip.AddrPort]*routeStat)
		}
		t.stats[address] = r
	}
	return r
}

// find returns the statistics of the route to address, or nil if it has carried no flow.
func (t *routeTable) find(address netip.AddrPort) *routeStat {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.stats[address]
}

// updateExpected updates the expected load per flow of all routes.
func (t *routeTable) updateExpected() {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, r := range t.stats {
		r.updateExpected()
	}
}

// retain removes the routes that are no longer published.
func (t *routeTable) retain(published func(netip.AddrPort) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address := range t.stats {
		if !published(address) {
			delete(t.stats, address)
		}
	}
}
