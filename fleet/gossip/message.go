package gossip

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
	"github.com/amaranthswitch/amaranthswitch/fleet/vmload"
)

// Peer identifies a VM and its address.
type Peer struct {
	_      struct{} `cbor:",toarray"`
	ID     ident.VMID
	Domain ident.DomainName
	Region ident.RegionName
	// Address receives both datagrams and RPCs.
	Address netip.AddrPort
}

// Load is the load that the sender puts on one upstream.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Token catalog.Token
	// Expected is the expected load of the open flows and InFlight the mean number of
	// requests in flight, both in thousandths of a request.
	Expected, InFlight int32
}

// Message is the gossip message between VMs. It is encoded as an array, which VMs with
// another number of fields cannot read. What later versions add goes into Report.
type Message struct {
	_    struct{} `cbor:",toarray"`
	From Peer
	// Started is the start time of the sender's process and tells the processes of
	// one VM apart. Seq orders the messages of one process.
	Started clock.Millis
	Seq     uint64
	// Leaving is set while the sender shuts down.
	Leaving bool
	// Stranded is set while the sender reaches neither another failure domain nor
	// an upstream.
	Stranded bool
	// PublisherUnreachable is set while the publisher does not answer the sender.
	PublisherUnreachable bool
	// Complete is the revision up to which the sender holds every change.
	Complete replica.Revision
	// Age is the time since the publisher confirmed Complete, at most maxAge.
	Age clock.Millis
	// Reader is the elected reader of the sender's region, as far as the sender
	// knows.
	Reader Reader
	// WantsReply requests an immediate reply.
	WantsReply bool
	// Peers is a sample of the VMs that the sender considers alive.
	Peers []Peer
	// DomainContacts reports when the failure domain of sender and receiver last
	// heard the others. It is not sent across failure domains.
	DomainContacts []DomainContact
	// Loads is the load that the sender puts on each upstream, or nil if it does not
	// report any.
	Loads []Load
	// Suspicions is evidence about upstreams that may have failed. It is sent only
	// within a failure domain.
	Suspicions []Suspicion
	// Update is the newest change, or nil if it is too large for a message.
	Update *replica.Update
	// Overload is the load state of the sender. EncodeMessage adds it as a tag around
	// the other fields.
	Overload vmload.State `cbor:"-"`
}

// Reader identifies the VM that watches the publisher for its region. Age is the
// time since that VM last claimed the role itself. ID is empty if no reader is
// known.
type Reader struct {
	_   struct{} `cbor:",toarray"`
	ID  ident.VMID
	Age clock.Millis
}

// ReplicaState describes a VM's replica of the published items.
type ReplicaState struct {
	// Complete is the revision up to which the replica holds every change.
	Complete replica.Revision
	// ConfirmedAt is when the publisher last confirmed that the replica is complete.
	ConfirmedAt clock.Millis
}

// Envelope is a message with its destination.
type Envelope struct {
	To      netip.AddrPort
	Message Message
}
