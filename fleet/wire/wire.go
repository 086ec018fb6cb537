package wire

import (
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
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
	// KindCount is the number of kinds, with the zero kind.
	KindCount
)

// String returns the kind as metrics label it.
func (k Kind) String() string {
	return [...]string{"none", "detour", "membership", "flows", "tally", "health"}[k]
}

// ErrDetour means that a datagram is no usable detour.
var ErrDetour = errors.New("wire: not a detour")

const (
	detourFixedBytes = 1 + 1 + 8 + 1
	// MaxDetourBytes is the longest detour header.
	MaxDetourBytes = detourFixedBytes + 255
)

// DetourHeader goes before a detoured packet.
type DetourHeader struct {
	From             config.VMID
	Hops             uint8
	RecordedUpstream config.UpstreamID
}

// AppendDetour appends the header to buf. It panics if the identifier of the
// VM is longer than 255 bytes, which the settings rule out.
func AppendDetour(buf []byte, h DetourHeader) []byte {
	if len(h.From) > 255 {
		panic("wire: identifier of a VM is too long")
	}
	buf = append(buf, byte(Detour), h.Hops)
	buf = binary.BigEndian.AppendUint64(buf, uint64(h.RecordedUpstream))
	buf = append(buf, byte(len(h.From)))
	return append(buf, h.From...)
}

// ParseDetour splits a datagram of kind Detour. The intern function maps the
// sender's bytes to its identifier without allocating.
func ParseDetour(data []byte, intern func([]byte) (config.VMID, bool)) (h DetourHeader, packet []byte, err error) {
	if len(data) < detourFixedBytes || len(data) < detourFixedBytes+int(data[10]) {
		return h, nil, ErrDetour
	}
	end := detourFixedBytes + int(data[10])
	from, ok := intern(data[detourFixedBytes:end])
	if !ok {
		return h, nil, ErrDetour
	}
	h = DetourHeader{From: from, Hops: data[1], RecordedUpstream: config.UpstreamID(binary.BigEndian.Uint64(data[2:]))}
	return h, data[end:], nil
}

// FlowBatch carries messages about flows to one VM.
type FlowBatch struct {
	_     struct{} `cbor:",toarray"`
	From  config.VMID
	Items []FlowItem
}

// FlowItem is one message about a flow.
type FlowItem struct {
	_        struct{} `cbor:",toarray"`
	Kind     steering.MessageKind
	Hi, Lo   uint64
	VNI      config.VNI
	Upstream config.UpstreamID
}

// NewFlowItem converts a message for the wire.
func NewFlowItem(m steering.Message) FlowItem {
	return FlowItem{Kind: m.Kind, Hi: m.ID.Hi, Lo: m.ID.Lo, VNI: m.VNI, Upstream: m.Upstream}
}

// Message converts an item from the wire.
func (i FlowItem) Message() steering.Message {
	return steering.Message{Kind: i.Kind, ID: flow.ID{Hi: i.Hi, Lo: i.Lo}, VNI: i.VNI, Upstream: i.Upstream}
}

// Encode returns a datagram of the given kind with v as its body.
func Encode(k Kind, v any) (data []byte, err error) {
	defer func() { err = eris.Wrapf(err, "wire: encode kind %d", k) }()
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append([]byte{byte(k)}, body...), nil
}

// Decode reads the body of a datagram into v.
func Decode(data []byte, v any) (err error) {
	defer func() { err = eris.Wrap(err, "wire: decode") }()
	if len(data) == 0 {
		return errors.New("empty datagram")
	}
	return cbor.Unmarshal(data[1:], v)
}
