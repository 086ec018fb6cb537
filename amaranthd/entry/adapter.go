package entry

import (
	"context"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// Codec reads and writes the packets of a platform.
type Codec struct {
	// EncapBytes is the length of the encapsulation header that precedes a packet
	// sent to an upstream.
	EncapBytes int
	// MaxPacketBytes is the length of the longest packet, without the
	// encapsulation header.
	MaxPacketBytes int
	// Encapsulate writes the encapsulation header for the upstream with the given
	// encapsulation identifier to head, which has at least EncapBytes bytes.
	Encapsulate func(head []byte, encapID catalog.EncapID)
	// Parse decodes a packet sent by a caller into p. It returns an error if the
	// packet is malformed.
	Parse func(data []byte, p *forward.Packet) error
	// SetToken writes the token of an upstream into an opening packet.
	SetToken func(data []byte, t catalog.Token)
	// AppendReset appends to buf a packet that resets the flow of p towards its
	// caller.
	AppendReset func(buf []byte, p *forward.Packet) []byte
	// RequestID returns the identifier of the request that starts in a packet, or
	// "" if the packet shows none.
	RequestID func(data []byte) string
}

// Source reads the published items from the platform's store.
type Source struct {
	// Read returns all published items. If the source does not tell its era, that is
	// known, the last one of which this VM knows.
	Read func(ctx context.Context, known replica.Era) (replica.Update, error)
	// Watch returns the changes after the given revision. It waits for a change
	// for at most wait. It returns ErrCompacted if the source no longer has those
	// changes; the caller then calls Read.
	Watch func(ctx context.Context, after replica.Revision, wait clock.Millis) (replica.Update, error)
	// DomainChanges returns, at once, the changes after the given revision of the items that
	// take failure domains out of service, in the order of their revisions. It returns
	// ErrCompacted like Watch.
	DomainChanges func(ctx context.Context, after replica.Revision) (replica.Update, error)
	// Reconnect closes pooled connections, so that the next call dials anew. It is
	// called after each failure, since a connection may hang while new ones work.
	Reconnect func()
}

// Adapter supplies the packet format, the item format and the store of a platform.
type Adapter struct {
	Codec  Codec
	Source Source
	Decode catalog.Decode
	// ReadyPath is the HTTP path of the readiness probe of the fabric.
	ReadyPath string
}
