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

// maxBufferedBytes is how much of a body is buffered. Requests with longer bodies
// are not retried.
const maxBufferedBytes = 64 << 10

// body is the body of a caller's request.
type body struct {
	buffered []byte
	rest     io.Reader // nil if the whole body is buffered
	length   int64
	digest   config.Digest // empty unless the whole body is buffered
}

// readBody buffers the first maxBufferedBytes of the body. It returns an error if
// the body is shorter than announced.
func readBody(r *http.Request) (b *body, err error) {
	b = &body{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		b.digest = digestOf(nil)
		return b, nil
	}
	b.buffered = make([]byte, maxBufferedBytes)
	n, err := io.ReadFull(r.Body, b.buffered)
	b.buffered = b.buffered[:n]
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		if r.ContentLength > int64(n) {
			return nil, eris.Errorf("caller: body ended after %d of %d bytes", n, r.ContentLength)
		}
		b.length = int64(n)
		b.digest = digestOf(b.buffered)
		return b, nil
	case err != nil:
		return nil, eris.Wrap(err, "caller: read body")
	}
	b.rest = r.Body
	return b, nil
}

// digestOf returns the first 64 bits of the SHA-256 hash of data in hexadecimal.
func digestOf(data []byte) config.Digest {
	sum := sha256.Sum256(data)
	return config.Digest(hex.EncodeToString(sum[:8]))
}

// replayable reports whether the body can be sent more than once.
func (b *body) replayable() bool { return b.rest == nil }

// reader returns a reader of the body for one attempt, or nil if it is empty.
func (b *body) reader() io.Reader {
	switch {
	case b.rest != nil:
		return io.MultiReader(bytes.NewReader(b.buffered), b.rest)
	case len(b.buffered) == 0:
		return nil
	}
	return bytes.NewReader(b.buffered)
}
