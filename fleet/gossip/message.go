package gossip

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// Peer is a VM that others can talk to.
type Peer struct {
	_      struct{} `cbor:",toarray"`
	ID     ident.VMID
	Domain ident.DomainName
	// Address takes datagrams and calls.
	Address netip.AddrPort
}

// Load is what the sender puts on one upstream.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Token catalog.Token
	// Open counts flows, Busy requests under way.
	Open, Busy int32
}

// Message is what VMs tell each other.
type Message struct {
	_    struct{} `cbor:",toarray"`
	From Peer
	// Started tells the processes of one VM apart, and Number orders the
	// messages of one process.
	Started clock.Millis
	Number  uint64
	// Leaving is set while the VM stops.
	Leaving bool
	// Complete is the revision up to which the sender holds every change.
	Complete replica.Revision
	// Asks wants an answer at once.
	Asks  bool
	Known []Peer
	Loads []Load
}

// Send is a message on its way out.
type Send struct {
	To      netip.AddrPort
	Message Message
}
