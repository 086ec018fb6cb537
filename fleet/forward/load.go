package forward

import (
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// loadPerRequest is the Load of one request in flight.
const loadPerRequest = 1000

// Load is the load on an upstream. Both fields are in thousandths of a request in
// flight (see loadPerRequest).
type Load struct {
	// Expected is the load that the open flows are expected to cause.
	Expected int32
	// InFlight is the moving average of the number of requests in flight. Other
	// VMs get the average because a momentary number is out of date by the time
	// they receive it.
	InFlight int32
}

// upstreamLoad is the load, health and quality of one upstream, as observed by this VM
// and reported by others.
type upstreamLoad struct {
	expected     atomic.Int32
	inFlight     atomic.Int32 // requests
	meanInFlight atomic.Int32 // thousandths of a request
	// added is the expected load added by this VM since the last reports of its
	// peers. Each peer is assumed to have added as much, which its next report
	// will include.
	added atomic.Int32
	// rejectedAt is the time in clock.Millis at which this VM last saw a rejection.
	rejectedAt atomic.Int64
	peers      atomic.Pointer[Load]
	health     health
	quality    upstreamQuality

	mu   sync.Mutex
	cold warmup.Limiter
}

// inFlightSmoothing is the weight of the newest sample in the moving average of
// requests in flight, which is sampled on each Tick.
const inFlightSmoothing = 0.1

// sample updates the moving average of requests in flight.
func (l *upstreamLoad) sample() {
	inFlight, mean := l.inFlight.Load(), l.meanInFlight.Load()
	if inFlight == 0 && mean == 0 {
		return
	}
	l.meanInFlight.Store(int32((1-inFlightSmoothing)*float64(mean) + inFlightSmoothing*loadPerRequest*float64(max(0, inFlight))))
}

// own returns the load that this VM puts on the upstream, for reports to
// others.
func (l *upstreamLoad) own() Load {
	return Load{Expected: max(0, l.expected.Load()), InFlight: l.meanInFlight.Load()}
}

// setPeers sets the load reported by other VMs. It halves added, since the
// reports include only part of what was added shortly before.
func (l *upstreamLoad) setPeers(s Load) {
	l.peers.Store(&s)
	l.added.Store(l.added.Load() / 2)
}

// total returns the estimated load over all VMs. For this VM it counts the
// requests in flight now rather than their average. localVMs is the number of
// VMs that place flows under the same policy, this one included.
func (l *upstreamLoad) total(localVMs int32) Load {
	s := Load{Expected: max(0, l.expected.Load()) + max(0, localVMs-1)*max(0, l.added.Load()), InFlight: loadPerRequest * max(0, l.inFlight.Load())}
	if o := l.peers.Load(); o != nil {
		s.Expected += o.Expected
		s.InFlight += o.InFlight
	}
	return s
}

// admitCold reports whether this VM may send one more flow to a cold upstream,
// and counts that flow. rate is the number of new flows per second over all
// VMs, and placers the number of VMs that share it.
func (l *upstreamLoad) admitCold(now clock.Millis, rate float64, placers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Allow(now, rate, placers)
}

// wouldAdmitCold returns what admitCold would, and counts nothing.
func (l *upstreamLoad) wouldAdmitCold(now clock.Millis, rate float64, placers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Allows(now, rate, placers)
}
