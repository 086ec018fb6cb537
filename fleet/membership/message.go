package membership

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// State is the state of a VM as seen by another one.
type State uint8

// States of a VM. At the same incarnation a later state overrides an earlier one.
const (
	Unknown State = iota
	Alive
	Suspect
	Leaving
	Dead
)

// String returns the name of the state in status pages.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "leaving", "dead"}[s]
}

// Incarnation orders the updates about one VM. It starts as the VM's start time in
// milliseconds since the Unix epoch, and the VM raises it to refute an update.
type Incarnation uint64

// VM is an entry of the platform's list, with the addresses of the VM.
type VM struct {
	ID      config.VMID       `json:"id"`
	Domain  config.DomainName `json:"domain"`
	Region  config.RegionName `json:"region,omitempty"`
	Tunnel  netip.AddrPort    `json:"tunnel"`
	Peer    netip.AddrPort    `json:"peer"`
	RPC     netip.AddrPort    `json:"rpc"`
	Gateway netip.AddrPort    `json:"gateway"`
	// GatewayTunnel is the address of the VM's own Geneve device, which receives
	// the flows of services of kind request. It is optional.
	GatewayTunnel netip.AddrPort `json:"gatewayTunnel,omitzero"`
	Leaving       bool           `json:"leaving,omitempty"`
}

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	Ping Kind = iota + 1
	Ack
	PingRequest
)

// Update is a membership update about a VM.
type Update struct {
	_           struct{} `cbor:",toarray"`
	ID          config.VMID
	Incarnation Incarnation
	State       State
	// Home is set if the VM may be the home of flows.
	Home bool
}

// Message is a message between VMs. In a PingRequest, Target is the VM to probe. In
// the Ping that it causes and in the Ack to that Ping, Target is the VM that sent
// the PingRequest; in the Ack that is relayed to the latter, Target is the probed VM.
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

// Envelope is a message with its destination.
type Envelope struct {
	To  VM
	Msg Message
}
