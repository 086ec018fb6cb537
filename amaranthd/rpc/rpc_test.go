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

// TestCancelKeepsConnection cancels one of two calls on a connection. The
// connection must stay open, so that the other call succeeds.
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

// TestCallOutlivesContext guards against calls that end as soon as their VM starts
// to stop. The call must last until the cleanup of the server.
func TestCallOutlivesContext(t *testing.T) {
	s := NewServer()
	started, ended := make(chan struct{}), make(chan struct{})
	s.Handle("wait", func(ctx context.Context, _ json.RawMessage) (any, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, nil
	})
	to := netip.MustParseAddrPort("127.250.1.3:7947")
	ctx, cancel := context.WithCancel(t.Context())
	stop, err := s.Serve(ctx, to)
	assert.NilError(t, err)
	p, closePool := NewPool(netip.Addr{}, 2000)
	defer closePool()
	go func() { _ = p.Call(t.Context(), to, "wait", nil, nil) }()
	<-started
	cancel()
	select {
	case <-ended:
		t.Error("the call ended with the context")
	case <-time.After(50 * time.Millisecond):
	}
	stop()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the call did not end with the server")
	}
}

// TestCallAfterRestart guards against a call that fails only because the other VM
// restarted since the last one.
func TestCallAfterRestart(t *testing.T) {
	to := netip.MustParseAddrPort("127.250.1.4:7947")
	p, closePool := NewPool(netip.Addr{}, 2000)
	defer closePool()
	for range 2 {
		s := NewServer()
		s.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) { return params, nil })
		stop, err := s.Serve(t.Context(), to)
		assert.NilError(t, err)
		var got string
		assert.NilError(t, p.Call(t.Context(), to, "echo", "x", &got))
		stop()
		time.Sleep(50 * time.Millisecond) // until the pool's end of the connection is closed
	}
}

// TestTimedOutConnectionIsReplaced has a call time out. The next call must succeed
// on a new connection.
func TestTimedOutConnectionIsReplaced(t *testing.T) {
	to := startServer(t, "127.250.1.2:7947")
	p, cleanup := NewPool(netip.Addr{}, 2000)
	defer cleanup()
	timeouts := 0
	p.OnTimeout = func(netip.AddrPort) { timeouts++ }
	var got string
	assert.Assert(t, p.CallTimeout(t.Context(), 50, to, "wait", "x", &got) != nil)
	assert.Equal(t, timeouts, 1)
	assert.NilError(t, p.Call(t.Context(), to, "echo", "again", &got))
	assert.Equal(t, got, "again")
}
