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

// Headers that upstreams set on refusals.
const (
	notRunHeader = "X-Not-Run"
	coldHeader   = "X-Cold"
)

// Attempt is one request as it is sent.
type Attempt struct {
	Method  string
	Address string
	Target  string
	Host    string
	Header  http.Header
	Body    io.Reader
	Length  int64
}

// Result is what came of an attempt. Response is nil if Err is not.
type Result struct {
	Response *http.Response
	Err      error
	// Sent reports whether any part of the request may have reached the
	// upstream.
	Sent bool
	// Shed reports that the upstream refused the request and did not run it.
	Shed bool
	// Cold reports that it refused because it is not warm.
	Cold bool
}

// NotRun reports whether it is certain that the upstream did not run the
// request.
func (r *Result) NotRun() bool { return r.Shed || !r.Sent }

// Client sends attempts.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client with an empty pool of connections.
func NewClient() (c *Client, cleanup func()) {
	c = &Client{transport: &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
	}}
	return c, c.transport.CloseIdleConnections
}

// Do sends an attempt and waits for the head of the answer. The caller closes
// the response's body. When ctx ends, the attempt's connection is closed, so
// that no late answer is taken for another one's.
func (c *Client) Do(ctx context.Context, a Attempt) (res Result) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+a.Target, once(a.Body))
	if err != nil {
		return Result{Err: eris.Wrap(err, "upstream: build request")}
	}
	req.Header = noReplay(a.Header)
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

// once hides all but Read, so that the transport cannot rewind the body and
// send the request a second time.
func once(body io.Reader) io.Reader {
	if body == nil {
		return nil
	}
	return struct{ io.Reader }{body}
}

// noReplay returns the header with the idempotency key under a name that the
// transport does not recognize. It takes that key for a permission to send the
// request again after a failure.
func noReplay(h http.Header) http.Header {
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
