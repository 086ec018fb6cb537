package forward

import (
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// Load is a load on an upstream, in thousandths of a request under way.
type Load struct {
	// Expected is what the open flows are expected to cause.
	Expected int32
	// InFlight is the mean number of requests under way lately. The number of one
	// moment is of no use to others, since it is past when they hear of it.
	InFlight int32
}

// upstreamLoad is what this VM sees of one upstream, and hears from others.
type upstreamLoad struct {
	steady   atomic.Int32
	busy     atomic.Int32 // requests under way
	meanBusy atomic.Int32 // thousandths
	// added is the steady load added since others told theirs. They add about
	// as much each, which they will only tell.
	added  atomic.Int32
	others atomic.Pointer[Load]
	health health

	mu   sync.Mutex
	cold warmup.Limiter
}

// busyShare is the weight of the newest sample in the mean of requests under
// way, which is taken at each tick.
const busyShare = 0.1

// sample updates the mean of requests under way.
func (l *upstreamLoad) sample() {
	busy, mean := l.busy.Load(), l.meanBusy.Load()
	if busy == 0 && mean == 0 {
		return
	}
	l.meanBusy.Store(int32((1-busyShare)*float64(mean) + busyShare*1000*float64(max(0, busy))))
}

// own returns the load that passes this VM, for others.
func (l *upstreamLoad) own() Load {
	return Load{Expected: max(0, l.steady.Load()), InFlight: l.meanBusy.Load()}
}

// setOthers sets the load that other VMs told. What was added shortly before is
// only partly in it.
func (l *upstreamLoad) setOthers(s Load) {
	l.others.Store(&s)
	l.added.Store(l.added.Load() / 2)
}

// sum returns the load over all VMs, as far as it is known, with the requests
// under way on this VM's account as they are now. near is the number of VMs
// that place flows as this one does.
func (l *upstreamLoad) sum(near int32) Load {
	s := Load{Expected: max(0, l.steady.Load()) + max(0, near-1)*max(0, l.added.Load()), InFlight: 1000 * max(0, l.busy.Load())}
	if o := l.others.Load(); o != nil {
		s.Expected += o.Expected
		s.InFlight += o.InFlight
	}
	return s
}

// takeCold reports whether a cold upstream may get one more flow from this VM.
func (l *upstreamLoad) takeCold(now clock.Millis, rate float64, placers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Allow(now, rate, placers)
}
