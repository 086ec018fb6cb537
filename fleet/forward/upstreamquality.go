package forward

import (
	"math"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/quality"
)

const (
	// rejectionPenalty is the cost of an upstream that rejected all recent requests of
	// this VM, in requests in flight per slot. Only the VM's own answers count, so that
	// VMs do not all turn to the same upstream.
	rejectionPenalty = 1
	// excessPenalty is the cost of an upstream that rejects every request of all VMs while
	// the others reject none. One that fails fast has no load of its own that would
	// keep flows away.
	excessPenalty = 4
	// usualRejections is the share of rejections, relative to the mean share in the
	// service, above which excessPenalty applies.
	usualRejections = 1.5
	// slownessOffset is added to the load that slowness multiplies, so that a slow
	// upstream without load costs more than a fast one without load.
	slownessOffset = 0.5
	// peersAfterTicks is the number of Ticks, 2 s, for which an upstream that is new or
	// has restarted counts without the reports of other VMs, since these may describe
	// the process before.
	peersAfterTicks = 40
)

// upstreamQuality is the quality of one upstream, as observed by this VM and reported by
// others. The zero value is that of an upstream without answers.
type upstreamQuality struct {
	own   quality.Upstream
	peers atomic.Pointer[quality.Sample]
	// ticks counts the Ticks of the upstream up to peersAfterTicks.
	ticks atomic.Int32
	// active is set while there may be samples.
	active atomic.Bool
	// merged is the sum of all samples and ownRejected the share of rejections that this
	// VM saw, as of the last Tick, which alone uses them.
	merged      quality.Sample
	ownRejected float64
	// excess is the slowness less 1, and rejected the cost of the rejections, as the bits
	// of a float32. Tick updates them, so that cost needs no exponentials.
	excess, rejected atomic.Uint32
	// ownShare and excessShare are the shares of rejections that rejected consists of, as
	// the bits of a float32.
	ownShare, excessShare atomic.Uint32
	// minLoad is the load per slot that the upstream counts as having, nil if it does not
	// reject more than others. One that rejects at once has no load of its own.
	minLoad atomic.Pointer[Load]
}

// record adds an answer that this VM observed.
func (q *upstreamQuality) record(now clock.Millis, a quality.Answer) {
	q.own.Record(now, a)
	q.active.Store(true)
}

// setPeers sets the sum of the samples that other VMs reported.
func (q *upstreamQuality) setPeers(s quality.Sample) {
	if q.ticks.Load() < peersAfterTicks {
		return
	}
	if old := q.peers.Load(); old == nil && s == (quality.Sample{}) || old != nil && *old == s {
		return
	}
	q.peers.Store(&s)
	q.active.Store(true)
}

// tick updates the sum of all samples. It reports whether there were any since the last
// Tick, in which case weigh is to be called.
func (q *upstreamQuality) tick(now clock.Millis) (changed bool) {
	if q.ticks.Load() < peersAfterTicks {
		q.ticks.Add(1)
	}
	if !q.active.Swap(false) { // before the samples are read, since record may add one
		return false
	}
	q.merged = q.own.Sample(now)
	q.ownRejected = q.merged.RejectedShare()
	if o := q.peers.Load(); o != nil {
		q.merged = q.merged.Add(*o)
	}
	if q.merged != (quality.Sample{}) {
		q.active.Store(true)
	}
	return true
}

// weigh updates what cost uses from the sum of all samples and from the state of the
// service.
func (q *upstreamQuality) weigh(s *serviceQuality) {
	slowness := q.merged.SignificantSlowness()
	if s.rejecting {
		slowness = q.merged.Slowness()
	}
	q.excess.Store(math.Float32bits(float32(slowness - 1)))
	q.rejected.Store(math.Float32bits(float32(q.weighRejections(s))))
}

// weighRejections returns the cost of the rejections.
func (q *upstreamQuality) weighRejections(s *serviceQuality) float64 {
	excess := max(0, q.merged.RejectedShare()-usualRejections*s.rejectedShare)
	q.ownShare.Store(math.Float32bits(float32(q.ownRejected)))
	q.excessShare.Store(math.Float32bits(float32(excess)))
	if excess == 0 {
		q.minLoad.Store(nil)
	} else {
		q.minLoad.Store(s.load)
	}
	return rejectionPenalty*q.ownRejected + excessPenalty*excess
}

// rejections returns the share of the recent requests of this VM that the upstream
// rejected, and the share above what is usual in the service.
func (q *upstreamQuality) rejections() (own, excess float64) {
	return float64(math.Float32frombits(q.ownShare.Load())), float64(math.Float32frombits(q.excessShare.Load()))
}

// slowness returns the time of answers relative to other upstreams.
func (q *upstreamQuality) slowness() float64 {
	return 1 + float64(math.Float32frombits(q.excess.Load()))
}

// atLeast returns the load on an upstream of the given slots, or minLoad if that is
// higher.
func (q *upstreamQuality) atLeast(s Load, slots int) Load {
	if l := q.minLoad.Load(); l != nil {
		s.Expected, s.InFlight = max(s.Expected, l.Expected*int32(slots)), max(s.InFlight, l.InFlight*int32(slots))
	}
	return s
}

// cost returns the cost of the upstream at the given load, both in requests in flight
// per slot. It is exactly the load if the upstream is like the others.
func (q *upstreamQuality) cost(load float64) float64 {
	excess, rejected := q.excess.Load(), q.rejected.Load()
	if excess == 0 && rejected == 0 {
		return load
	}
	return load + (load+slownessOffset)*float64(math.Float32frombits(excess)) + float64(math.Float32frombits(rejected))
}
