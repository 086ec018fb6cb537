package caller

import (
	"time"
)

// BrokenFlow tells how a flow broke.
type BrokenFlow struct {
	At     time.Time `json:"at"`
	Source string    `json:"source"`
	Server string    `json:"server"`
	// Answer is the back end whose answer broke the flow, empty for a reset
	// that names none.
	Answer string        `json:"answer"`
	Age    time.Duration `json:"age"`
}

// keptBroken bounds the broken flows that a Result lists.
const keptBroken = 50

// FlowSummary sums up flows.
type FlowSummary struct {
	Opened    int `json:"opened"`
	Open      int `json:"open"`
	Closed    int `json:"closed"`
	Broken    int `json:"broken"`
	Reset     int `json:"reset"`
	Misrouted int `json:"moved"`
	Stalled   int `json:"waiting"`
	// ExpectedBreaks counts broken flows that were on back ends whose end breaks
	// them by intent.
	ExpectedBreaks int `json:"excused"`
	// LongestStall is the longest time in which an open flow got no answer.
	LongestStall time.Duration `json:"longestStall"`
	// FirstBroken lists the first broken flows.
	FirstBroken []BrokenFlow `json:"firstBroken,omitempty"`
	// ByServer counts open flows of each back end.
	ByServer map[string]int `json:"byServer"`
}

// Summary sums up all flows so far.
func (f *FlowDriver) Summary() FlowSummary {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := FlowSummary{
		Opened: f.opened, Closed: f.closed, Broken: f.broken, Reset: f.reset, Misrouted: f.moved,
		ExpectedBreaks: f.excused, FirstBroken: append([]BrokenFlow(nil), f.list...), LongestStall: f.stall, ByServer: make(map[string]int),
	}
	now := time.Now()
	for _, fl := range f.queue {
		if fl.state == open {
			r.Open++
			r.ByServer[fl.server]++
		}
		if fl.waits && now.Sub(fl.last) > 2*fl.plan.RetransmitTimeout {
			r.Stalled++
		}
	}
	return r
}
