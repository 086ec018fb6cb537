package admission

// Verdict is the decision on a Request.
type Verdict uint8

// Verdicts.
const (
	// Place admits the flow.
	Place Verdict = iota
	// Wait drops the packet, so that a retransmission of the caller is decided anew.
	Wait
	// Reject resets the flow at once, before anything of it was executed.
	Reject
)

// String returns the verdict as written to explanations.
func (v Verdict) String() string { return [...]string{"place", "wait", "reject"}[v] }
