package quality

import "math"

const (
	// sampleUnit is the unit of the fields of a Sample. Integers make sums of samples
	// independent of their order.
	sampleUnit = 100
	// maxSampleAnswers bounds Sample.Answers, so that sums of samples do not overflow.
	maxSampleAnswers = 10_000 * sampleUnit
	// priorAnswers is the number of neutral answers that a Sample is taken to hold
	// beside its own.
	priorAnswers = 1 * sampleUnit
	// minSlowness and maxSlowness bound the slowness of a single answer, and maxSlowness
	// that of an upstream.
	minSlowness, maxSlowness = 0.3, 10
	// slownessStep is the ratio between two steps of the slowness of an upstream.
	// Upstreams of about the same slowness are on the same step, so that VMs with the
	// same samples do not send all new flows to the one that happens to be the fastest.
	slownessStep = 1.3
	// answerDeviation is the deviation of Answer.LogSlowness that counts as chance for a
	// single answer, since service times and queues of equal upstreams vary. The mean of
	// n answers deviates by the square root of n less.
	answerDeviation = 2.5
)

var minLogSlowness, maxLogSlowness, logSlownessStep = math.Log(minSlowness), math.Log(maxSlowness), math.Log(slownessStep)

// Sample sums up recent answers of an upstream. All fields are in hundredths. Samples of
// several VMs can be added in any order.
type Sample struct {
	// Answers is the number of answers, rejections included.
	Answers int32
	// LogSum is the sum of Answer.LogSlowness.
	LogSum int32
	// Rejections is the number of rejections.
	Rejections int32
}

// Add returns the sum of two samples.
func (s Sample) Add(o Sample) Sample {
	return Sample{Answers: s.Answers + o.Answers, LogSum: s.LogSum + o.LogSum, Rejections: s.Rejections + o.Rejections}
}

// Valid reports whether an Upstream can have produced the sample.
func (s Sample) Valid() bool {
	if s.Rejections < 0 || s.Answers < s.Rejections || s.Answers > maxSampleAnswers {
		return false
	}
	accepted := float64(s.Answers - s.Rejections)
	return float64(s.LogSum) >= minLogSlowness*accepted-1 && float64(s.LogSum) <= maxLogSlowness*accepted+1
}

// Slowness returns the geometric mean of the time of answers relative to the recent time
// of their routes. It is never below 1, since VMs that cannot see each other's load would
// crowd on the upstream that happens to be the fastest.
func (s Sample) Slowness() float64 { return math.Exp(min(maxLogSlowness, max(0, s.meanLog()))) }

// SignificantSlowness is like Slowness, but shrinks the mean towards 1 by the deviation
// that chance causes, as in a James-Stein estimate, and rounds it down to a power of
// slownessStep. It falls to 1 steadily as the answers decay.
func (s Sample) SignificantSlowness() float64 {
	mean := s.meanLog()
	variance := answerDeviation * answerDeviation / (s.accepted() / sampleUnit)
	if mean*mean <= variance {
		return 1
	}
	return stepped(mean * (1 - variance/(mean*mean)))
}

// RejectedShare returns the share of rejections among the answers.
func (s Sample) RejectedShare() float64 {
	return float64(s.Rejections) / float64(s.Answers+priorAnswers)
}

// accepted returns the number of answers that are not rejections, with the prior ones.
func (s Sample) accepted() float64 { return float64(s.Answers - s.Rejections + priorAnswers) }

func (s Sample) meanLog() float64 { return float64(s.LogSum) / s.accepted() }

// stepped returns the slowness of the given logarithm, rounded down to a step.
func stepped(logSlowness float64) float64 {
	steps := math.Floor(max(0, logSlowness) / logSlownessStep)
	return min(maxSlowness, math.Exp(steps*logSlownessStep))
}
