package caller

import (
	"time"
)

// BrokenFlow records when and how a flow broke.
type BrokenFlow struct {
	At     time.Time `json:"at"`
	Source string    `json:"source"`
	Server string    `json:"server"`
	// Answer is the upstream whose answer broke the flow, or empty for a reset that
	// names none.
	Answer string        `json:"answer"`
	Age    time.Duration `json:"age"`
}

// maxBrokenFlows is the maximum number of broken flows that a FlowSummary lists.
const maxBrokenFlows = 50

// FlowSummary holds the counts of all flows of a FlowDriver.
type FlowSummary struct {
	Opened int `json:"opened"`
	Open   int `json:"open"`
	Closed int `json:"closed"`
	// Broken counts the flows that broke unexpectedly: Reset by a reset, Misrouted by
	// an answer from another upstream.
	Broken    int `json:"broken"`
	Reset     int `json:"reset"`
	Misrouted int `json:"moved"`
	// Stalled counts the flows whose answer is outstanding for more than two
	// retransmission timeouts.
	Stalled int `json:"waiting"`
	// ExpectedBreaks counts the broken flows on upstreams given to ExpectBreaks, whose
	// shutdown breaks flows intentionally.
	ExpectedBreaks int `json:"excused"`
	// LongestStall is the longest time for which a flow waited for an answer.
	LongestStall time.Duration `json:"longestStall"`
	// FirstBroken lists the first unexpectedly broken flows.
	FirstBroken []BrokenFlow `json:"firstBroken,omitempty"`
	// ByServer counts the open flows of each upstream.
	ByServer map[string]int `json:"byServer"`
}

// Summary returns the counts of all flows so far.
func (f *FlowDriver) Summary() FlowSummary {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := FlowSummary{
		Opened: f.opened, Closed: f.closed, Broken: f.broken, Reset: f.reset, Misrouted: f.misrouted,
		ExpectedBreaks: f.expectedBreaks, FirstBroken: append([]BrokenFlow(nil), f.brokenFlows...), LongestStall: f.longestStall, ByServer: make(map[string]int),
	}
	now := time.Now()
	for _, fl := range f.queue {
		if fl.state == open {
			r.Open++
			r.ByServer[fl.server]++
		}
		if fl.awaiting && now.Sub(fl.lastAnswer) > 2*fl.plan.RetransmitTimeout {
			r.Stalled++
		}
	}
	return r
}
