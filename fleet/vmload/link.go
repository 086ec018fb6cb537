package vmload

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

const (
	// maxLinkDelay is the queueing delay above which a link counts as full. Together with
	// the time between two samples it is half of the 200 ms after which callers retransmit.
	maxLinkDelay clock.Millis = 50
	// A link counts as full while at least fullShare of its capacity arrives over
	// runInterval. Packets queue before they are received, so that queue is not seen itself.
	fullShare                = 0.9
	runInterval clock.Millis = 100
)

// LinkQueue estimates how long packets wait at the link of a VM. It models each direction
// as a fluid queue that the link drains at its capacity. It is not safe for concurrent use.
type LinkQueue struct {
	bytesPerMilli  float64
	sent, received float64 // bytes that wait
	// samples are the recorded ones, the oldest first. All but the oldest are younger
	// than runInterval.
	samples []linkSample
}

type linkSample struct {
	at             clock.Millis
	sent, received int64
}

// LinkState is the estimated state of a link.
type LinkState struct {
	// Delay is the queueing delay in the direction in which it is longer.
	Delay clock.Millis
	// Full is set if packets wait too long to tell an upstream that is silent from one
	// whose packets are late.
	Full bool
}

// NewLinkQueue returns the queue of the link of a VM with the given limits. Without a limit
// of the link nothing ever waits.
func NewLinkQueue(limits Limits) *LinkQueue {
	return &LinkQueue{bytesPerMilli: limits.LinkMbps * bitsPerMilli / 8}
}

// Record records the usage at now and returns the state of the link. It is to be called
// every SampleInterval. The first call sets the start of the measurement.
func (q *LinkQueue) Record(now clock.Millis, u Usage) (s LinkState) {
	if q.bytesPerMilli <= 0 {
		return s
	}
	current := linkSample{at: now, sent: u.SentBytes, received: u.ReceivedBytes}
	if len(q.samples) > 0 {
		last := q.samples[len(q.samples)-1]
		drained := q.bytesPerMilli * float64(now-last.at)
		q.sent = max(0, q.sent+float64(current.sent-last.sent)-drained)
		q.received = max(0, q.received+float64(current.received-last.received)-drained)
	}
	q.samples = append(q.samples, current)
	for len(q.samples) > 2 && now-q.samples[1].at >= runInterval {
		q.samples = q.samples[1:]
	}
	s.Delay = clock.Millis(max(q.sent, q.received) / q.bytesPerMilli)
	s.Full = s.Delay > maxLinkDelay || q.isRun()
	return s
}

// isRun reports whether bytes arrived at about the capacity of the link for runInterval.
func (q *LinkQueue) isRun() bool {
	first, last := q.samples[0], q.samples[len(q.samples)-1]
	elapsed := last.at - first.at
	return elapsed >= runInterval && float64(last.received-first.received) >= fullShare*q.bytesPerMilli*float64(elapsed)
}
