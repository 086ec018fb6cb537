package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// maxHeldBody is the part of a body that is held, so that a small body can be
// sent again.
const maxHeldBody = 64 << 10

// body is a caller's request body.
type body struct {
	held   []byte
	rest   io.Reader // nil if held is the whole body
	length int64
	digest config.Digest // empty if the body is not held whole
}

// readBody reads the body as far as it is held.
func readBody(r *http.Request) (b *body, err error) {
	b = &body{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		b.digest = digestOf(nil)
		return b, nil
	}
	b.held = make([]byte, maxHeldBody)
	n, err := io.ReadFull(r.Body, b.held)
	b.held = b.held[:n]
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		if r.ContentLength > int64(n) {
			return nil, eris.Errorf("caller: body ended after %d of %d bytes", n, r.ContentLength)
		}
		b.length = int64(n)
		b.digest = digestOf(b.held)
		return b, nil
	case err != nil:
		return nil, eris.Wrap(err, "caller: read body")
	}
	b.rest = r.Body
	return b, nil
}

func digestOf(data []byte) config.Digest {
	sum := sha256.Sum256(data)
	return config.Digest(hex.EncodeToString(sum[:8]))
}

// repeatable reports whether the body can be sent more than once.
func (b *body) repeatable() bool { return b.rest == nil }

// reader returns the body for one attempt, or nil if it is empty.
func (b *body) reader() io.Reader {
	switch {
	case b.rest != nil:
		return io.MultiReader(bytes.NewReader(b.held), b.rest)
	case len(b.held) == 0:
		return nil
	}
	return bytes.NewReader(b.held)
}
