package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNeverSentTwice guards against a second send of a request. The upstream closes
// a reused connection after it has read the request, in which case http.Transport
// would retry a request that has an idempotency key.
func TestNeverSentTwice(t *testing.T) {
	ln, err := net.Listen("tcp", "127.250.2.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	var orders atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerOnce(c, &orders)
		}
	}()
	client, cleanup := NewClient()
	defer cleanup()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	attempt := func(body string) Result {
		return client.Do(ctx, Attempt{
			Method: http.MethodPost, Address: ln.Addr().String(), Target: "/order", Host: "dispatch",
			Header: http.Header{"Idempotency-Key": {"k"}}, Body: strings.NewReader(body), Length: int64(len(body)),
		})
	}
	first := attempt("one")
	assert.NilError(t, first.Err)
	_ = first.Response.Body.Close()
	second := attempt("two")
	assert.Assert(t, second.Err != nil)
	assert.Assert(t, second.Sent && !second.NotRun())
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, orders.Load(), int32(2))
}

// answerOnce answers the first request of a connection, and closes the connection
// after reading the second.
func answerOnce(c net.Conn, orders *atomic.Int32) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body := make([]byte, req.ContentLength)
		_, _ = req.Body.Read(body)
		orders.Add(1)
		if n == 0 {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	client, cleanup := NewClient()
	defer cleanup()
	res := client.Do(t.Context(), Attempt{Method: http.MethodPost, Address: "127.250.2.2:9", Target: "/", Host: "x"})
	assert.Assert(t, res.Err != nil && res.NotRun())
}
