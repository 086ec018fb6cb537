package wire

import (
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/document"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
)

// Kind is the first byte of a datagram.
type Kind byte

// Kinds of datagrams.
const (
	Detour Kind = iota + 1
	Membership
	Flows
	Tally
	Health
	// KindCount is the number of kinds, including the unused zero kind.
	KindCount
)

// String returns the label of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"none", "detour", "membership", "flows", "tally", "health"}[k]
}

// ErrDetour is returned for a datagram that is not a valid detour.
var ErrDetour = errors.New("wire: not a detour")

const (
	detourFixedBytes = 1 + 1 + 8 + 1
	// MaxDetourBytes is the size of the longest detour header.
	MaxDetourBytes = detourFixedBytes + 255
)

// DetourHeader precedes a detoured packet.
type DetourHeader struct {
	// From is the VM that sends the detour.
	From config.VMID
	// Hops is the number of detours of the packet, including this one.
	Hops uint8
	// CachedUpstream is the upstream in the flow table entry that From has for the
	// flow, or 0 if it has none.
	CachedUpstream config.UpstreamID
}

// AppendDetour appends the encoded header to buf. It panics if the identifier of the
// VM is longer than 255 bytes, which the settings do not allow.
func AppendDetour(buf []byte, h DetourHeader) []byte {
	if len(h.From) > 255 {
		panic("wire: VM identifier is longer than 255 bytes")
	}
	buf = append(buf, byte(Detour), h.Hops)
	buf = binary.BigEndian.AppendUint64(buf, uint64(h.CachedUpstream))
	buf = append(buf, byte(len(h.From)))
	return append(buf, h.From...)
}

// ParseDetour splits a datagram of kind Detour into its header and packet. The intern
// function maps the bytes of the sender's identifier to the identifier without
// allocating, and reports whether the sender is known. ParseDetour returns ErrDetour
// if data is truncated or the sender is unknown. packet refers to data.
func ParseDetour(data []byte, intern func([]byte) (config.VMID, bool)) (h DetourHeader, packet []byte, err error) {
	if len(data) < detourFixedBytes || len(data) < detourFixedBytes+int(data[10]) {
		return h, nil, ErrDetour
	}
	end := detourFixedBytes + int(data[10])
	from, ok := intern(data[detourFixedBytes:end])
	if !ok {
		return h, nil, ErrDetour
	}
	h = DetourHeader{From: from, Hops: data[1], CachedUpstream: config.UpstreamID(binary.BigEndian.Uint64(data[2:]))}
	return h, data[end:], nil
}

// FlowBatch carries flow messages to one VM.
type FlowBatch struct {
	_     struct{} `cbor:",toarray"`
	From  config.VMID
	Items []FlowItem
}

// FlowItem is the encoded form of a steering.Message.
type FlowItem struct {
	_        struct{} `cbor:",toarray"`
	Kind     steering.MessageKind
	Hi, Lo   uint64
	VNI      config.VNI
	Upstream config.UpstreamID
}

// NewFlowItem converts a steering.Message to its encoded form.
func NewFlowItem(m steering.Message) FlowItem {
	return FlowItem{Kind: m.Kind, Hi: m.ID.Hi, Lo: m.ID.Lo, VNI: m.VNI, Upstream: m.Upstream}
}

// Message converts the item back to a steering.Message.
func (i FlowItem) Message() steering.Message {
	return steering.Message{Kind: i.Kind, ID: flow.ID{Hi: i.Hi, Lo: i.Lo}, VNI: i.VNI, Upstream: i.Upstream}
}

// Encode returns a datagram of kind k with v as its body.
func Encode(k Kind, v any) (data []byte, err error) {
	defer func() { err = eris.Wrapf(err, "wire: encode kind %d", k) }()
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(k)}, body...), nil
}

// Decode decodes the body of a datagram into v, which must be a pointer. It returns an
// error if data is empty or its body does not match v.
func Decode(data []byte, v any) (err error) {
	defer func() { err = eris.Wrap(err, "wire: decode") }()
	if len(data) == 0 {
		return errors.New("empty datagram")
	}
	return document.DecodeCBOR(data[1:], v)
}
