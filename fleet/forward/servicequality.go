package forward

// rejectingUnits is the number of recent rejections, in hundredths, from which on a
// service counts as rejecting requests.
const rejectingUnits = 50

// serviceQuality holds what the quality of an upstream is compared with.
type serviceQuality struct {
	// rejecting is set if the upstreams of the service rejected requests recently.
	rejecting bool
	// rejectedShare is the mean share of rejections of the upstreams with samples. Each
	// upstream has the same weight, since one that rejects at once may get most requests.
	rejectedShare float64
	// load is the mean load per slot of all upstreams, nil unless rejecting is set.
	load *Load
}

// serviceQuality returns the state of the service with the given upstreams, of which
// those in sampled have samples.
func (e *Engine) serviceQuality(all, sampled []*target) (s serviceQuality) {
	rejections := 0
	for _, t := range sampled {
		rejections += int(t.load.quality.merged.Rejections)
		s.rejectedShare += t.load.quality.merged.RejectedShare() / float64(len(sampled))
	}
	if rejections < rejectingUnits {
		return s
	}
	s.rejecting = true
	var expected, inFlight, slots int64
	for _, t := range all {
		l := t.load.total(e.localVMCount.Load())
		expected, inFlight, slots = expected+int64(l.Expected), inFlight+int64(l.InFlight), slots+int64(max(1, t.entry.Slots))
	}
	s.load = &Load{Expected: int32(expected / slots), InFlight: int32(inFlight / slots)}
	return s
}
