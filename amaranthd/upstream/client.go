package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	idleConnTimeout = 5 * time.Second
	maxIdlePerHost  = 16
	dialTimeout     = time.Second
)

// Headers that upstreams set when they refuse a request.
const (
	notRunHeader = "X-Not-Run"
	coldHeader   = "X-Cold"
)

// Attempt is one attempt to send a request to an upstream. Address is the host and
// port of the upstream, Target the path and query, and Length the length of Body
// in bytes.
type Attempt struct {
	Method  string
	Address string
	Target  string
	Host    string
	Header  http.Header
	Body    io.Reader
	Length  int64
}

// Result is the result of an attempt. Response is nil if Err is not nil.
type Result struct {
	Response *http.Response
	Err      error
	// Sent reports whether any part of the request may have reached the
	// upstream.
	Sent bool
	// Shed reports that the upstream refused the request with status 503 and
	// declared that it did not run it.
	Shed bool
	// Cold reports that the upstream refused because it is still warming up.
	Cold bool
}

// NotRun reports whether it is certain that the upstream did not run the
// request.
func (r *Result) NotRun() bool { return r.Shed || !r.Sent }

// Client sends attempts to upstreams.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client with an empty connection pool.
func NewClient() (c *Client, cleanup func()) {
	c = &Client{transport: &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
	}}
	return c, c.transport.CloseIdleConnections
}

// Do sends an attempt at most once and waits for the header of the response. The
// caller closes the response body. When ctx ends, the connection of the attempt is
// closed, so that a late response is not matched to another request.
func (c *Client) Do(ctx context.Context, a Attempt) (res Result) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+a.Target, readerOnly(a.Body))
	if err != nil {
		return Result{Err: eris.Wrap(err, "upstream: build request")}
	}
	req.Header = hideIdempotencyKey(a.Header)
	req.Host = a.Host
	req.ContentLength = a.Length
	if a.Body == nil {
		req.ContentLength = 0
	}
	resp, err := c.transport.RoundTrip(req)
	res = Result{Response: resp, Sent: sent.Load()}
	if err != nil {
		res.Err = eris.Wrapf(err, "upstream: attempt at %s", a.Address)
		return res
	}
	res.Shed = resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(notRunHeader) != ""
	res.Cold = resp.Header.Get(coldHeader) != ""
	return res
}

// readerOnly hides all methods of body but Read, so that the transport cannot rewind
// the body and send the request a second time.
func readerOnly(body io.Reader) io.Reader {
	if body == nil {
		return nil
	}
	return struct{ io.Reader }{body}
}

// hideIdempotencyKey returns a copy of the header with the idempotency key under
// a non-canonical name, which http.Transport does not recognize. The transport
// would otherwise treat the key as permission to retry the request after a
// failure.
func hideIdempotencyKey(h http.Header) http.Header {
	const canonical = "Idempotency-Key"
	h = h.Clone()
	if h == nil {
		h = make(http.Header)
	}
	if v := h[canonical]; v != nil {
		delete(h, canonical)
		h["idempotency-key"] = v
	}
	return h
}
