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
	// EnvelopeBytes is the room that goes before a packet to an upstream.
	EnvelopeBytes int
	// PacketBytes is the length of the longest packet.
	PacketBytes int
	// Envelope writes what goes before a packet to the named upstream.
	Envelope func(head []byte, name catalog.PacketName)
	// Parse reads a caller's packet.
	Parse func(data []byte, p *forward.Packet) error
	// Mark writes a token into an opening packet.
	Mark func(data []byte, t catalog.Token)
	// Reset appends a reset of the flow of p towards its caller.
	Reset func(buf []byte, p *forward.Packet) []byte
	// Request returns the request's identifier if a packet shows it.
	Request func(data []byte) string
}

// Source reads what is published.
type Source struct {
	// Read returns everything published.
	Read func(ctx context.Context) (replica.Update, error)
	// Watch returns what changed after the given revision, waiting for a
	// change for at most the given time. ErrForgotten tells that the changes
	// are no longer known, so that Read must follow.
	Watch func(ctx context.Context, after replica.Revision, wait clock.Millis) (replica.Update, error)
	// Renew replaces the connections, since one may have fallen silent.
	Renew func()
}

// Adapter is what a platform speaks.
type Adapter struct {
	Codec  Codec
	Source Source
	Decode catalog.Decode
	// ReadyPath is the path at which the fabric asks for readiness.
	ReadyPath string
}
