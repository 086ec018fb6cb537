package warmup

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

const (
	signalWindow = 10 * clock.Second
	// startSkew is how much a reported start time may move without meaning a
	// restart.
	startSkew         = 2 * clock.Second
	unhealthyAfter    = 3
	coldSignalsNeeded = 2
)

// Verdict tells what a Detector concludes.
type Verdict uint8

// Verdicts of a Detector, from least to most severe.
const (
	Healthy Verdict = iota
	// Degraded means that one signal stands alone: the upstream gets less of
	// its share but stays in use.
	Degraded
	// Restarted means that signals agree that the upstream restarted.
	Restarted
	// Unhealthy means that consecutive probes failed.
	Unhealthy
)

// Detector tells from an upstream's reported start time, its refusals and its
// health whether it turned cold. No signal alone is believed, since each lags
// or misleads. It is not safe for concurrent use.
type Detector struct {
	started   clock.Millis
	restarted clock.Millis
	refused   clock.Millis
	failed    clock.Millis
	failures  int
}

// ProbeSucceeded records a successful probe that reported the start time started, or
// zero if it reported none.
func (d *Detector) ProbeSucceeded(now, started clock.Millis) {
	if d.started != 0 && started > d.started+startSkew {
		d.restarted = now
	}
	if started != 0 {
		d.started = max(d.started, started)
	}
	d.failures = 0
}

// ProbeFailed records a probe that failed or reported ill health.
func (d *Detector) ProbeFailed(now clock.Millis) {
	d.failures++
	d.failed = now
}

// RefusedAsCold records that the upstream refused work as not yet warm.
func (d *Detector) RefusedAsCold(now clock.Millis) { d.refused = now }

// Verdict weighs the signals of the last seconds.
func (d *Detector) Verdict(now clock.Millis) Verdict {
	if d.failures >= unhealthyAfter {
		return Unhealthy
	}
	signals := 0
	for _, at := range [...]clock.Millis{d.restarted, d.refused, d.failed} {
		if at != 0 && now-at <= signalWindow {
			signals++
		}
	}
	switch {
	case signals >= coldSignalsNeeded:
		return Restarted
	case signals == 1:
		return Degraded
	}
	return Healthy
}
