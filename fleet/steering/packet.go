package steering

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
)

// Packet is a parsed packet as it reaches a VM, from the fabric or from
// another VM.
type Packet struct {
	packet.Info
	// From is the VM that detoured the packet, empty for the fabric.
	From config.VMID
	// Hops counts the detours that the packet made.
	Hops uint8
	// CachedUpstream is the upstream that the detouring VM has on record, or zero.
	CachedUpstream config.UpstreamID
}

// opens reports whether the packet starts a TCP connection.
func (p *Packet) opens() bool { return p.TCP && p.Flags.Has(packet.SYN) && !p.Flags.Has(packet.ACK) }

// ends reports whether the packet closes a TCP connection.
func (p *Packet) ends() bool { return p.TCP && p.Flags&(packet.FIN|packet.RST) != 0 }

// ActionKind tells what to do with a packet.
type ActionKind uint8

// Kinds of actions.
const (
	// Drop discards the packet for Reason.
	Drop ActionKind = iota
	// Forward sends the packet to the upstream address To.
	Forward
	// Detour sends the packet to VM with Belief.
	Detour
	// Hold keeps the packet until the engine releases its flow.
	Hold
	// Reset discards the packet and answers it with a TCP reset.
	Reset
)

// String returns the kind as traces show it.
func (k ActionKind) String() string {
	return [...]string{"drop", "forward", "detour", "hold", "reset"}[k]
}

// DropReason tells why a packet is discarded.
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

// ReasonCount is the number of drop reasons.
const ReasonCount = int(reasonCount)

// String returns the reason as metrics label it.
func (r DropReason) String() string {
	return [...]string{
		"none", "unknownService", "noUpstream", "allFull", "unresolved",
		"tableFull", "holdFull", "pathUnusable", "paused",
	}[r]
}

// Action is the decision for one packet. If Learn is not zero, the VM that
// detoured the packet is told that the flow is on that upstream.
type Action struct {
	Kind           ActionKind
	Reason         DropReason
	To             netip.AddrPort
	VM             config.VMID
	CachedUpstream config.UpstreamID
	Learn          config.UpstreamID
}

func drop(r DropReason) Action { return Action{Kind: Drop, Reason: r} }

// MessageKind tells what a Message says.
type MessageKind uint8

// Kinds of messages between engines.
const (
	// Query asks whether the receiver knows the flow.
	Query MessageKind = iota
	// Reply answers an Ask. A zero upstream means that the flow is unknown.
	Reply
	// Learn tells a VM that the flow is on the upstream.
	Learn
	// Copy leaves an exception with the second home.
	Copy
	// Handover gives an exception to a new home.
	Handover
)

// Message is a statement about one flow for another VM. VNI is set in an Ask
// and an Answer; for the others it follows from the upstream.
type Message struct {
	To       config.VMID
	Kind     MessageKind
	ID       flow.ID
	VNI      config.VNI
	Upstream config.UpstreamID
}

// Release ends the hold on a flow's packets. They are handled anew unless
// Discard is set.
type Release struct {
	ID      flow.ID
	Discard bool
	Reason  DropReason
}

// ResetOrder asks for an unprompted TCP reset towards a caller whose flow
// ended with its failure domain.
type ResetOrder struct {
	Segment packet.Segment
}
