package config

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies the exact bytes of a file. It is the first 16 bytes of
// their SHA-256 sum in hexadecimal.
type Digest string

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:16]))
}

// ShortDigest is the first 64 bits of a digest, big-endian, so it sorts like the
// digest.
type ShortDigest uint64

// Short returns the first 64 bits of d, or zero if d is empty or malformed.
func (d Digest) Short() ShortDigest {
	raw, err := hex.DecodeString(string(d))
	if err != nil || len(raw) < 8 {
		return 0
	}
	return ShortDigest(binary.BigEndian.Uint64(raw))
}
