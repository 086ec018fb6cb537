package rpc

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func startServer(t *testing.T, address string) netip.AddrPort {
	t.Helper()
	s := NewServer()
	s.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
	s.Handle("wait", func(ctx context.Context, params json.RawMessage) (any, error) {
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
		return params, nil
	})
	to := netip.MustParseAddrPort(address)
	cleanup, err := s.Serve(t.Context(), to)
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	return to
}

// TestCancelKeepsConnection cancels one of two calls on a connection. The other
// must not be cut by that.
func TestCancelKeepsConnection(t *testing.T) {
	to := startServer(t, "127.250.1.1:7947")
	p, cleanup := NewPool(netip.Addr{}, 2000)
	defer cleanup()
	var got string
	assert.NilError(t, p.Call(t.Context(), to, "echo", "first", &got))
	ended := make(chan error, 1)
	go func() {
		var reply string
		ended <- p.Call(context.Background(), to, "wait", "second", &reply)
	}()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, p.Call(ctx, to, "wait", "third", &got) != nil)
	assert.NilError(t, <-ended)
}

// TestSilentConnectionIsReplaced has a call time out and the next one succeed on
// a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	to := startServer(t, "127.250.1.2:7947")
	p, cleanup := NewPool(netip.Addr{}, 2000)
	defer cleanup()
	silent := 0
	p.OnTimeout = func(netip.AddrPort) { silent++ }
	var got string
	assert.Assert(t, p.CallTimeout(t.Context(), 50, to, "wait", "x", &got) != nil)
	assert.Equal(t, silent, 1)
	assert.NilError(t, p.Call(t.Context(), to, "echo", "again", &got))
	assert.Equal(t, got, "again")
}
