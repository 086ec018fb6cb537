package forward

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
)

// Packet is what a decision needs of a caller's packet.
type Packet struct {
	// Caller is the caller's end of the flow, Service the end that it called.
	Caller, Service netip.AddrPort
	// Token names the upstream. It is meaningless in an opening packet.
	Token catalog.Token
	// Seq and Ack are sequence numbers in bytes, modulo 2^32. In an opening
	// packet Seq tells flows of the same ends apart.
	Seq, Ack uint32
	// Bytes is the length of the data.
	Bytes int
	// Retransmits is how often an opening packet was sent before.
	Retransmits int
	// Opening, Closing and Resetting packets begin, end and abort a flow.
	Opening, Closing, Resetting bool
}

// Action is what happens to a packet.
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

// Reason tells why a packet was not forwarded.
type Reason uint8

// Reasons not to forward a packet.
const (
	NoReason Reason = iota
	// NoCatalog means that nothing published is known yet.
	NoCatalog
	// NoRoute means that the address leads to no service.
	NoRoute
	// NoUpstream means that no upstream of the service takes new flows.
	NoUpstream
	// UnknownToken means that the token names no known upstream.
	UnknownToken
	// UpstreamLost means that the upstream is gone or silent, so that the flow
	// cannot go on.
	UpstreamLost
	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the reason as logs and metrics show it.
func (r Reason) String() string {
	return [...]string{"none", "noCatalog", "noRoute", "noUpstream", "unknownToken", "upstreamLost"}[r]
}

// Decision is what to do with a packet.
type Decision struct {
	Action Action
	Reason Reason
	// To and Name tell where a forwarded packet goes.
	To   netip.AddrPort
	Name catalog.PacketName
	// Token is to be written into the packet if it is opening.
	Token catalog.Token
}
