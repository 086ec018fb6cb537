package membership

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// State is what a VM believes of another.
type State uint8

// States of a VM, in the order in which one replaces another at the same
// incarnation.
const (
	Unknown State = iota
	Alive
	Suspect
	Leaving
	Dead
)

// String returns the state as status pages show it.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "leaving", "dead"}[s]
}

// Incarnation orders the statements about one VM. It begins with the time of
// the VM's start in milliseconds, and the VM raises it to refute a statement.
type Incarnation uint64

// VM is a line of the platform's list.
type VM struct {
	ID      config.VMID       `json:"id"`
	Domain  config.DomainName `json:"domain"`
	Region  config.RegionName `json:"region,omitempty"`
	Tunnel  netip.AddrPort    `json:"tunnel"`
	Peer    netip.AddrPort    `json:"peer"`
	RPC     netip.AddrPort    `json:"rpc"`
	Gateway netip.AddrPort    `json:"gateway"`
	// GatewayTunnel is the address of the VM's own Geneve device, which takes
	// flows of services of kind request. It may be absent.
	GatewayTunnel netip.AddrPort `json:"gatewayTunnel,omitzero"`
	Leaving       bool           `json:"leaving,omitempty"`
}

// Kind tells what a message asks for.
type Kind uint8

// Kinds of messages.
const (
	Ping Kind = iota + 1
	Ack
	PingRequest
)

// Update is a statement about a VM.
type Update struct {
	_           struct{} `cbor:",toarray"`
	ID          config.VMID
	Incarnation Incarnation
	State       State
	// Home tells whether the VM may be home of flows.
	Home bool
}

// Message travels between VMs. Target is set in a PingRequest, and in a Ping
// or Ack made on its behalf it names the VM that asked.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	From    config.VMID
	Seq     uint64
	Target  config.VMID
	Self    Update
	Updates []Update
	Version config.Version
	Digest  config.ShortDigest
}

// Envelope is a message on its way out.
type Envelope struct {
	To  VM
	Msg Message
}
