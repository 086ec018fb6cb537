package forward

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// recordAnswer records that the request in flight of f was answered. bytes is the size
// of the part of the answer that the caller acknowledged first.
func (e *Engine) recordAnswer(now clock.Millis, f *flow, bytes uint32) {
	took := now - f.sentAt
	e.hooks.Answered(took)
	e.recordAdmission(now, f, f.route.quality.Record(now, took, bytes).Rejected)
}
