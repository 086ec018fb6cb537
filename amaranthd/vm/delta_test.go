package vm

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestDelta(t *testing.T) {
	base := make([]byte, 300_000)
	for i := range base {
		base[i] = byte(i * i >> 3)
	}
	next := append([]byte(nil), base...)
	next[150_000] ^= 1
	frame, err := Compress(next, base)
	assert.NilError(t, err)
	assert.Assert(t, len(frame) < 1000, "a change of one byte takes %d bytes", len(frame))
	body, err := Decompress(frame, base)
	assert.NilError(t, err)
	assert.DeepEqual(t, body, next)
	_, err = Decompress([]byte("no frame"), nil)
	assert.Assert(t, err != nil)
}
