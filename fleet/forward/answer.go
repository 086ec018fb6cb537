package forward

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// recordAnswer records that the request in flight of f was answered, for the quality of
// the upstream and for admission control. bytes is the size of the part of the answer
// that the caller acknowledged first.
func (e *Engine) recordAnswer(now clock.Millis, f *flow, bytes uint32) {
	took := now - f.sentAt
	e.hooks.Answered(took)
	answer := f.route.quality.Record(now, took, bytes)
	f.rejected = f.rejected || answer.Rejected
	if answer.Rejected {
		e.RejectedAnswers.Add(1)
	}
	f.target.load.quality.record(now, answer)
	e.recordAdmission(now, f, answer.Rejected)
}
