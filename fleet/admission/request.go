package admission

import "github.com/amaranthswitch/amaranthswitch/fleet/catalog"

// Request is a packet that asks to open a flow.
type Request struct {
	Priority catalog.Priority
	// Long is set if flows of the route carry more than one request.
	Long bool
	// Flow is a hash of the flow, which is the same for all copies of the packet.
	Flow uint64
	// Retransmits is the number of times that the packet was sent before.
	Retransmits int
}

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
