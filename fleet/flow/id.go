package flow

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/dchest/siphash"
)

// ID identifies a flow. Hi selects the home and the shard of the flow, Lo its
// slot in the lookup table. The zero ID is not a valid identifier.
type ID struct {
	Hi, Lo uint64
}

// Key is the secret key of the hash. All VMs use the key in the configuration.
type Key struct {
	K0, K1 uint64
}

// ParseKey decodes a key of 32 hexadecimal digits. It returns the zero key for the
// empty string and an error for any other text.
func ParseKey(text string) (k Key, err error) {
	if text == "" {
		return Key{}, nil
	}
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != 16 {
		return Key{}, fmt.Errorf("flow: hash key %q is not 32 hexadecimal digits", text)
	}
	return Key{K0: binary.BigEndian.Uint64(raw), K1: binary.BigEndian.Uint64(raw[8:])}, nil
}

// Hash returns the identifier of the flow with the given canonical encoding.
func (k Key) Hash(tuple []byte) ID {
	hi, lo := siphash.Hash128(k.K0, k.K1, tuple)
	return ID{Hi: hi, Lo: lo}
}
