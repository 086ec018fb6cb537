package forward

import (
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

const (
	// silentFlows is the number of flows that must wait in vain for an answer
	// before an upstream counts as silent: a lost datagram stalls only one.
	silentFlows = 2
	// firstTrial is the wait before a silent upstream gets a flow again. It
	// doubles with each trial up to lastTrial.
	firstTrial = 1 * clock.Second
	lastTrial  = 4 * clock.Second
)

// Sum counts the flows and the requests under way on an upstream.
type Sum struct {
	Open, Busy int32
}

// upstreamLoad is what this VM sees of one upstream, and hears from others.
type upstreamLoad struct {
	open, busy   atomic.Int32
	others       atomic.Pointer[Sum]
	othersAt     atomic.Int64
	mu           sync.Mutex
	proved       clock.Millis // last sign that the upstream answered
	stalled      int          // flows that wait in vain since then
	silentSince  clock.Millis // 0 while the upstream is believed to answer
	nextTrial    clock.Millis
	trialBackoff clock.Millis
	cold         warmup.Share
}

// sum returns the load over all VMs, as far as it is known.
func (l *upstreamLoad) sum() Sum {
	s := Sum{Open: max(0, l.open.Load()), Busy: max(0, l.busy.Load())}
	if o := l.others.Load(); o != nil {
		s.Open += o.Open
		s.Busy += o.Busy
	}
	return s
}

// answered records a sign that the upstream answers.
func (l *upstreamLoad) answered(now clock.Millis) (recovered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recovered = l.silentSince != 0
	l.proved, l.stalled, l.silentSince, l.trialBackoff = now, 0, 0, 0
	return recovered
}

// stall records that one more flow waits in vain. A flow must be counted once
// between two signs of life.
func (l *upstreamLoad) stall(now clock.Millis) (fellSilent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled++
	if l.stalled < silentFlows || l.silentSince != 0 {
		return false
	}
	l.silentSince = now
	l.trialBackoff = firstTrial
	l.nextTrial = now + firstTrial
	return true
}

// provedAt returns the time of the last sign of life.
func (l *upstreamLoad) provedAt() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proved
}

// silent reports whether the upstream does not answer.
func (l *upstreamLoad) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silentSince != 0
}

// trial reports whether a silent upstream may be tried with one flow, and
// counts the trial if so.
func (l *upstreamLoad) trial(now clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silentSince == 0 || now < l.nextTrial {
		return false
	}
	l.trialBackoff = min(2*l.trialBackoff, lastTrial)
	l.nextTrial = now + l.trialBackoff
	return true
}

// takeCold reports whether a cold upstream may get one more flow from this VM.
func (l *upstreamLoad) takeCold(now clock.Millis, rate float64, placers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Take(now, rate, placers)
}
