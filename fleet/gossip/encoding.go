package gossip

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/document"
	"github.com/amaranthswitch/amaranthswitch/fleet/vmload"
)

const (
	// overloadTag plus the load state of the sender is the number of the CBOR tag around
	// a message. It lies in the range of numbers that anyone may use.
	overloadTag = 0x616d6c00
	// tagHead is the first byte of a CBOR tag whose number takes the next four bytes.
	tagHead      = 0xda
	tagHeadBytes = 5
)

// EncodeMessage encodes a message as an array, within a tag unless the load state is
// Normal. A VM of an earlier version rejects an array with another number of elements but
// ignores tags, so it reads all the other fields.
func EncodeMessage(m *Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil || m.Overload == vmload.Normal {
		return data, err
	}
	tagged := make([]byte, 0, tagHeadBytes+len(data))
	tagged = binary.BigEndian.AppendUint32(append(tagged, tagHead), overloadTag+uint32(m.Overload))
	return append(tagged, data...), nil
}

// DecodeMessage decodes a message into m. The load state is Normal if the message has no
// tag or an unknown one.
func DecodeMessage(data []byte, m *Message) error {
	if err := document.DecodeCBOR(data, m); err != nil {
		return err
	}
	m.Overload = vmload.Normal
	if len(data) < tagHeadBytes || data[0] != tagHead {
		return nil
	}
	if state := binary.BigEndian.Uint32(data[1:]) - overloadTag; state < uint32(vmload.StateCount) {
		m.Overload = vmload.State(state)
	}
	return nil
}
