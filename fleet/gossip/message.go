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
	Region ident.RegionName
	// Address takes datagrams and calls.
	Address netip.AddrPort
}

// Load is what the sender puts on one upstream.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Token catalog.Token
	// Steady is the expected load of the open flows, InFlight the mean number of
	// requests under way, both in thousandths of a request.
	Steady, InFlight int32
}

// Message is what VMs tell each other.
type Message struct {
	_    struct{} `cbor:",toarray"`
	From Peer
	// Started tells the processes of one VM apart, and Number orders the
	// messages of one process.
	Started clock.Millis
	Seq     uint64
	// Leaving is set while the VM stops.
	Leaving bool
	// Stranded is set while the VM reaches neither another failure domain nor
	// an upstream.
	Stranded bool
	// PublisherUnreachable is set while the publisher does not answer the sender.
	PublisherUnreachable bool
	// Complete is the revision up to which the sender holds every change.
	Complete replica.Revision
	// Age is how long ago the publisher confirmed that, at most maxAge.
	Age clock.Millis
	// Reader is the VM of the sender's region that reads for all, as far as the
	// sender knows.
	Reader Reader
	// WantsReply wants an answer at once.
	WantsReply bool
	Peers      []Peer
	// DomainContacts is how long ago the failure domain of sender and receiver heard the
	// others. It is not told between failure domains.
	DomainContacts []DomainContact
	// Loads is what the sender puts on each upstream, nil if it does not tell.
	Loads []Load
	// Suspicions tell of upstreams that may be silent, within a failure domain.
	Suspicions []Suspicion
	// Update is the newest change, if it is small.
	Update *replica.Update
}

// Reader is a VM that reads what is published for its region, and how long ago
// it said so itself. ID is empty if none is known.
type Reader struct {
	_   struct{} `cbor:",toarray"`
	ID  ident.VMID
	Age clock.Millis
}

// ReplicaState is what a VM holds of what is published.
type ReplicaState struct {
	Complete replica.Revision
	// ConfirmedAt is when the publisher confirmed that the copy is complete.
	ConfirmedAt clock.Millis
}

// Envelope is a message on its way out.
type Envelope struct {
	To      netip.AddrPort
	Message Message
}
