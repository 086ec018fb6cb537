package forward

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
)

// Packet holds the fields of a caller's packet that a decision depends on.
type Packet struct {
	// Caller is the address of the caller, and Destination the address that it
	// connected to.
	Caller, Destination netip.AddrPort
	// Token names the upstream. It is ignored in an opening packet.
	Token catalog.Token
	// Seq and Ack are sequence numbers in bytes, modulo 2^32. In an opening
	// packet Seq distinguishes successive flows between the same addresses.
	Seq, Ack uint32
	// Bytes is the length of the payload.
	Bytes int
	// Retransmits is the number of times that an opening packet was sent
	// before.
	Retransmits int
	// Opening, Closing and Resetting packets open, close and abort a flow.
	Opening, Closing, Resetting bool
}

// Action is what to do with a packet.
type Action uint8

// Actions on packets.
const (
	// Drop discards the packet.
	Drop Action = iota
	// Forward sends the packet to an upstream.
	Forward
	// Refuse resets the flow towards the caller.
	Refuse
)

// String returns the action as written to explanations.
func (a Action) String() string { return [...]string{"drop", "forward", "refuse"}[a] }

// Reason is why a packet was not forwarded.
type Reason uint8

// Reasons not to forward a packet.
const (
	NoReason Reason = iota
	// NoCatalog means that no catalog is available yet.
	NoCatalog
	// NoRoute means that the destination address belongs to no service.
	NoRoute
	// NoUpstream means that no upstream of the service accepts new flows.
	NoUpstream
	// UnknownToken means that the token matches no upstream in the catalog.
	UnknownToken
	// UpstreamLost means that the upstream is lost or was removed, so that the
	// flow cannot continue.
	UpstreamLost
	// NoRoom means that the upstreams reject requests, and that the flow is not among
	// those admitted.
	NoRoom
	// AwaitRoom means the same, for a flow whose opening packet the caller will repeat
	// in time.
	AwaitRoom
	// VMOverloaded means that the VM is near its own limits and dropped an opening.
	VMOverloaded
	// ReasonCount is the number of reasons, NoReason included.
	ReasonCount
)

// String returns the reason as written to logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "noCatalog", "noRoute", "noUpstream", "unknownToken", "upstreamLost", "noRoom", "awaitRoom", "vmOverloaded"}[r]
}

// Decision is what to do with a packet.
type Decision struct {
	Action Action
	Reason Reason
	// To is the address of the upstream of a forwarded packet, and EncapID its
	// number in the encapsulation header.
	To      netip.AddrPort
	EncapID catalog.EncapID
	// Token is to be written into an opening packet. It is 0 for other packets.
	Token catalog.Token
}
