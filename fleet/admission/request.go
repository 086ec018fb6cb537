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
