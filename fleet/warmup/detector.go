package warmup

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

const (
	// signalWindowMillis is the time for which a signal counts.
	signalWindowMillis = 10 * clock.Second
	// startToleranceMillis is the increase of a reported start time that does
	// not count as a restart.
	startToleranceMillis = 2 * clock.Second
	// unhealthyFailures is the number of consecutive failed probes that make an
	// upstream Unhealthy.
	unhealthyFailures = 3
	// restartSignals is the number of signals that make an upstream Restarted.
	restartSignals = 2
)

// Verdict is the state of an upstream that a Detector derives.
type Verdict uint8

// Verdicts of a Detector, from least to most severe.
const (
	Healthy Verdict = iota
	// Degraded means that there is only one signal. The upstream gets a reduced
	// share of new flows.
	Degraded
	// Restarted means that at least two signals indicate that the upstream
	// restarted and is cold.
	Restarted
	// Unhealthy means that several consecutive probes failed.
	Unhealthy
)

// Detector derives from an upstream's reported start time, refused requests and
// health probes whether it restarted and is cold. A single signal is not enough,
// since each may be late or wrong. It is not safe for concurrent use.
type Detector struct {
	reportedStart       clock.Millis
	restartedAt         clock.Millis
	refusedAt           clock.Millis
	failedAt            clock.Millis
	consecutiveFailures int
}

// ProbeSucceeded records a successful probe. The argument started is the start
// time that the upstream reported, or zero if it reported none.
func (d *Detector) ProbeSucceeded(now, started clock.Millis) {
	if d.reportedStart != 0 && started > d.reportedStart+startToleranceMillis {
		d.restartedAt = now
	}
	if started != 0 {
		d.reportedStart = max(d.reportedStart, started)
	}
	d.consecutiveFailures = 0
}

// ProbeFailed records a probe that failed or reported that the upstream is
// unhealthy.
func (d *Detector) ProbeFailed(now clock.Millis) {
	d.consecutiveFailures++
	d.failedAt = now
}

// RefusedAsCold records that the upstream refused a request because it is cold.
func (d *Detector) RefusedAsCold(now clock.Millis) { d.refusedAt = now }

// Verdict returns the verdict of the signals in the last signalWindowMillis.
func (d *Detector) Verdict(now clock.Millis) Verdict {
	if d.consecutiveFailures >= unhealthyFailures {
		return Unhealthy
	}
	signals := 0
	for _, at := range [...]clock.Millis{d.restartedAt, d.refusedAt, d.failedAt} {
		if at != 0 && now-at <= signalWindowMillis {
			signals++
		}
	}
	switch {
	case signals >= restartSignals:
		return Restarted
	case signals == 1:
		return Degraded
	}
	return Healthy
}
