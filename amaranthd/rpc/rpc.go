package rpc

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/document"
)

// discardLog disables logging by package jsonrpc2: closed connections are part of
// normal operation, and failed calls are returned as errors.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Method is the name of an RPC method.
type Method string

// Handler handles calls of one method. Its result is encoded as JSON. An error is
// returned to the caller.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server serves calls. It is safe for concurrent use.
type Server struct {
	mu       sync.RWMutex
	handlers map[Method]Handler
	conns    sync.Map
	// BytesIn and BytesOut count the bytes of all connections.
	BytesIn, BytesOut atomic.Int64
}

// NewServer returns a server without methods.
func NewServer() *Server { return &Server{handlers: make(map[Method]Handler)} }

// Handle registers the handler of a method and replaces an earlier one.
func (s *Server) Handle(m Method, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[m] = h
}

// Serve accepts connections on address until cleanup is called, which also closes
// the connections and ends the contexts of calls in progress. The end of ctx does
// not end them, since a VM that stops still serves the others. Serve returns an
// error if it cannot listen on address.
func (s *Server) Serve(ctx context.Context, address netip.AddrPort) (cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "rpc: serve %s", address) }()
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	calls, endCalls := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.accept(calls, ln)
	}()
	return func() {
		_ = ln.Close()
		<-ended
		endCalls()
		s.conns.Range(func(key, _ any) bool {
			_ = key.(*jsonrpc2.Conn).Close()
			return true
		})
	}, nil
}

func (s *Server) accept(ctx context.Context, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		stream := jsonrpc2.NewBufferedStream(&countingConn{Conn: c, in: &s.BytesIn, out: &s.BytesOut}, jsonrpc2.VarintObjectCodec{})
		conn := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle)), discardLog)
		s.conns.Store(conn, true)
		go func() {
			<-conn.DisconnectNotify()
			s.conns.Delete(conn)
		}()
	}
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	s.mu.RLock()
	h := s.handlers[Method(req.Method)]
	s.mu.RUnlock()
	if h == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "rpc: unknown method " + req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return h(ctx, params)
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// Pool makes calls to other VMs over pooled connections. When a call times out or
// its connection fails, the connection is closed, so that the next call dials
// anew: a connection may hang while new ones work.
type Pool struct {
	local   netip.Addr
	timeout clock.Millis
	// OnTimeout is called for each connection that is closed because a call timed
	// out.
	OnTimeout func(to netip.AddrPort)

	mu    sync.Mutex
	conns map[netip.AddrPort]*poolConn

	// BytesIn and BytesOut count the bytes of all connections.
	BytesIn, BytesOut atomic.Int64
}

// poolConn is a pooled connection.
type poolConn struct {
	conn     *jsonrpc2.Conn
	lastUsed time.Time
}

// closed reports whether the other VM has closed the connection.
func (c *poolConn) closed() bool {
	select {
	case <-c.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// maxIdleTime is the time without calls after which a connection is not used
// again.
const maxIdleTime = 10 * time.Second

// NewPool returns a pool that dials from the local address if that is valid, and
// limits each call to timeout. The cleanup function closes all connections.
func NewPool(local netip.Addr, timeout clock.Millis) (p *Pool, cleanup func()) {
	p = &Pool{local: local, timeout: timeout, OnTimeout: func(netip.AddrPort) {}, conns: make(map[netip.AddrPort]*poolConn)}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, c := range p.conns {
		_ = c.conn.Close()
		delete(p.conns, to)
	}
}

// Call calls method m of the VM at to with the timeout of the pool. After an error
// the call may or may not have been executed.
func (p *Pool) Call(ctx context.Context, to netip.AddrPort, m Method, params, result any) (err error) {
	return p.CallTimeout(ctx, p.timeout, to, m, params, result)
}

// CallTimeout calls method m of the VM at to with the given timeout. After an
// error the call may or may not have been executed.
func (p *Pool) CallTimeout(ctx context.Context, timeout clock.Millis, to netip.AddrPort, m Method, params, result any) (err error) {
	defer func() { err = eris.Wrapf(err, "rpc: call %s of %s", m, to) }()
	bounded, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	conn, err := p.conn(bounded, to)
	if err != nil {
		return err
	}
	var raw json.RawMessage
	err = conn.Call(bounded, string(m), params, &raw)
	if err == nil {
		return document.Decode(raw, result)
	}
	var remote *jsonrpc2.Error
	if eris.As(err, &remote) || ctx.Err() != nil {
		return err // A canceled call does not mean that the connection failed.
	}
	p.discard(to, conn)
	if eris.Is(err, context.DeadlineExceeded) {
		p.OnTimeout(to)
	}
	return err
}

func (p *Pool) conn(ctx context.Context, to netip.AddrPort) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	c := p.conns[to]
	if c != nil && (c.closed() || time.Since(c.lastUsed) > maxIdleTime) {
		_ = c.conn.Close()
		delete(p.conns, to)
		c = nil
	}
	if c != nil {
		c.lastUsed = time.Now()
		p.mu.Unlock()
		return c.conn, nil
	}
	p.mu.Unlock()
	return p.dial(ctx, to)
}

func (p *Pool) dial(ctx context.Context, to netip.AddrPort) (*jsonrpc2.Conn, error) {
	var d net.Dialer
	if p.local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.local, 0))
	}
	raw, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(&countingConn{Conn: raw, in: &p.BytesIn, out: &p.BytesOut}, jsonrpc2.VarintObjectCodec{})
	conn := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(rejectCall), discardLog)
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.conns[to]; old != nil {
		_ = conn.Close()
		return old.conn, nil
	}
	p.conns[to] = &poolConn{conn: conn, lastUsed: time.Now()}
	return conn, nil
}

func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "rpc: the caller serves no methods"}
}

func (p *Pool) discard(to netip.AddrPort, conn *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[to]; c != nil && c.conn == conn {
		delete(p.conns, to)
	}
	_ = conn.Close()
}
