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
	// EncapBytes is the room that goes before a packet to an upstream.
	EncapBytes int
	// MaxPacketBytes is the length of the longest packet.
	MaxPacketBytes int
	// Encapsulate writes what goes before a packet to the named upstream.
	Encapsulate func(head []byte, name catalog.PacketName)
	// Parse reads a caller's packet.
	Parse func(data []byte, p *forward.Packet) error
	// SetToken writes a token into an opening packet.
	SetToken func(data []byte, t catalog.Token)
	// AppendReset appends a reset of the flow of p towards its caller.
	AppendReset func(buf []byte, p *forward.Packet) []byte
	// RequestID returns the request's identifier if a packet shows it.
	RequestID func(data []byte) string
}

// Source reads what is published.
type Source struct {
	// Read returns everything published.
	Read func(ctx context.Context) (replica.Update, error)
	// Watch returns what changed after the given revision, waiting for a
	// change for at most the given time. ErrForgotten tells that the changes
	// are no longer known, so that Read must follow.
	Watch func(ctx context.Context, after replica.Revision, wait clock.Millis) (replica.Update, error)
	// Reconnect replaces the connections, since one may have fallen silent.
	Reconnect func()
}

// Adapter is what a platform speaks.
type Adapter struct {
	Codec  Codec
	Source Source
	Decode catalog.Decode
	// ReadyPath is the path at which the fabric asks for readiness.
	ReadyPath string
}
