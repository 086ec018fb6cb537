package forward

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

const (
	// The first probing flow is due after probeBackoffMin. The interval doubles with
	// each probe up to probeBackoffMax.
	probeBackoffMin = 1 * clock.Second
	probeBackoffMax = 4 * clock.Second
)

// probeSchedule schedules the probing flows to an upstream or a failure domain that does
// not answer. The zero value schedules none.
type probeSchedule struct {
	next    clock.Millis
	backoff clock.Millis // 0 while no probes are due
}

// start schedules the first probe.
func (s *probeSchedule) start(now clock.Millis) {
	s.backoff = probeBackoffMin
	s.next = now + s.backoff
}

// stop ends the probes.
func (s *probeSchedule) stop() { s.backoff = 0 }

// due reports whether a probe is due.
func (s *probeSchedule) due(now clock.Millis) bool { return s.backoff > 0 && now >= s.next }

// take reports whether a probe is due, and if so schedules the next one.
func (s *probeSchedule) take(now clock.Millis) bool {
	if !s.due(now) {
		return false
	}
	s.backoff = min(2*s.backoff, probeBackoffMax)
	s.next = now + s.backoff
	return true
}
