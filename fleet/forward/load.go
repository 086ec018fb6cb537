package forward

import (
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// Sum is the load on an upstream.
type Sum struct {
	// Steady is the mean number of requests under way that the open flows are
	// expected to cause, in thousandths.
	Steady int32
	// Busy is the number of requests under way.
	Busy int32
}

// upstreamLoad is what this VM sees of one upstream, and hears from others.
type upstreamLoad struct {
	steady, busy atomic.Int32
	others       atomic.Pointer[Sum]
	health       health

	mu   sync.Mutex
	cold warmup.Share
}

// own returns the load that passes this VM.
func (l *upstreamLoad) own() Sum {
	return Sum{Steady: max(0, l.steady.Load()), Busy: max(0, l.busy.Load())}
}

// sum returns the load over all VMs, as far as it is known.
func (l *upstreamLoad) sum() Sum {
	s := l.own()
	if o := l.others.Load(); o != nil {
		s.Steady += o.Steady
		s.Busy += o.Busy
	}
	return s
}

// takeCold reports whether a cold upstream may get one more flow from this VM.
func (l *upstreamLoad) takeCold(now clock.Millis, rate float64, placers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Take(now, rate, placers)
}
