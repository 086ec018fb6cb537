package steering

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
)

// Packet is a parsed packet that a VM receives from the fabric or from another
// VM.
type Packet struct {
	packet.Info
	// From is the VM that detoured the packet, or empty if it came from the
	// fabric.
	From config.VMID
	// Hops is the number of detours of the packet.
	Hops uint8
	// CachedUpstream is the upstream in the detouring VM's entry for the flow,
	// or zero if it has none.
	CachedUpstream config.UpstreamID
}

// startsConnection reports whether the packet is the initial SYN of a TCP
// connection.
func (p *Packet) startsConnection() bool {
	return p.TCP && p.Flags.Has(packet.SYN) && !p.Flags.Has(packet.ACK)
}

// closesConnection reports whether the packet is a TCP segment with FIN or RST.
func (p *Packet) closesConnection() bool { return p.TCP && p.Flags&(packet.FIN|packet.RST) != 0 }

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// Drop discards the packet for Reason.
	Drop ActionKind = iota
	// Forward sends the packet to the upstream address To.
	Forward
	// Detour sends the packet to VM, together with CachedUpstream.
	Detour
	// Hold buffers the packet until the engine releases its flow.
	Hold
	// Reset discards the packet and answers it with a TCP reset.
	Reset
)

// String returns the name of the kind in traces.
func (k ActionKind) String() string {
	return [...]string{"drop", "forward", "detour", "hold", "reset"}[k]
}

// DropReason is the reason for which a packet is discarded.
type DropReason uint8

// Reasons for discarding a packet.
const (
	NoReason DropReason = iota
	UnknownService
	NoUpstream
	AllFull
	Unresolved
	TableFull
	HoldFull
	PathUnusable
	Paused
	reasonCount
)

// ReasonCount is the number of drop reasons, including NoReason.
const ReasonCount = int(reasonCount)

// String returns the label of the reason in metrics.
func (r DropReason) String() string {
	return [...]string{
		"none", "unknownService", "noUpstream", "allFull", "unresolved",
		"tableFull", "holdFull", "pathUnusable", "paused",
	}[r]
}

// Action is the decision for one packet. If Learn is not zero, a Learn message
// with that upstream is sent to the VM that detoured the packet.
type Action struct {
	Kind           ActionKind
	Reason         DropReason
	To             netip.AddrPort
	VM             config.VMID
	CachedUpstream config.UpstreamID
	Learn          config.UpstreamID
}

func drop(r DropReason) Action { return Action{Kind: Drop, Reason: r} }

// MessageKind is the kind of a Message.
type MessageKind uint8

// Kinds of messages between engines.
const (
	// Query asks the receiver for the upstream of the flow.
	Query MessageKind = iota
	// Reply is the response to a Query. A zero upstream means that the flow is unknown.
	Reply
	// Learn gives a VM the upstream of the flow to cache.
	Learn
	// Copy stores a copy of an exception on another VM.
	Copy
	// Handover transfers an exception to its new home.
	Handover
)

// Message is a message about one flow to another VM. VNI is set in a Query and a
// Reply; for the other kinds it follows from the upstream.
type Message struct {
	To       config.VMID
	Kind     MessageKind
	ID       flow.ID
	VNI      config.VNI
	Upstream config.UpstreamID
}

// Release ends the hold on the packets of a flow. They are handled again, detoured
// to VM if it is not empty, or discarded for Reason if Discard is set.
type Release struct {
	ID      flow.ID
	VM      config.VMID
	Discard bool
	Reason  DropReason
}

// ResetOrder requests a TCP reset to a caller whose upstream no longer serves its
// flow. It is sent without a packet from the caller.
type ResetOrder struct {
	Segment packet.Segment
}
