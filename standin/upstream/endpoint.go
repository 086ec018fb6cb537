package upstream

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
)

const socketBufferBytes = 4 << 20

// Endpoint receives and answers the packets of one upstream.
type Endpoint struct {
	Name config.UpstreamName
	VNI  config.VNI

	conn    *net.UDPConn
	replyTo netip.AddrPort

	mu     sync.Mutex
	conns  map[netip.AddrPort]bool
	opened []time.Time
	stats  EndpointStats
}

// EndpointStats holds the counts of an endpoint.
type EndpointStats struct {
	Packets int
	// Opened counts all connections opened so far, and Open those open now.
	Opened int
	Open   int
	// Resets counts the resets sent for segments of unknown connections.
	Resets int
	// WrongService counts the packets with the VNI of another service, which are dropped.
	WrongService int
	LastPacket   time.Time
}

// StartEndpoint serves packets on address and sends answers to replyTo until the
// returned function is called.
func StartEndpoint(ctx context.Context, name config.UpstreamName, vni config.VNI, address string, replyTo netip.AddrPort) (e *Endpoint, stop func(), err error) {
	defer func() { err = eris.Wrapf(err, "upstream: start %s", name) }()
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	e = &Endpoint{Name: name, VNI: vni, conn: conn, replyTo: replyTo, conns: make(map[netip.AddrPort]bool)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.serve(ctx)
	}()
	return e, func() { _ = conn.Close(); <-done }, nil
}

func (e *Endpoint) serve(ctx context.Context) {
	buf := make([]byte, 1<<16)
	for ctx.Err() == nil {
		n, _, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		s, err := packet.Decode(buf[:n])
		if err != nil {
			continue
		}
		e.handle(s)
	}
}

func (e *Endpoint) handle(s packet.Segment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.stats.Packets++
	e.stats.LastPacket = now
	if s.VNI != e.VNI {
		e.stats.WrongService++
		return
	}
	if !s.TCP {
		e.reply(s, 0)
		return
	}
	connected := e.conns[s.Src]
	switch {
	case s.Flags.Has(packet.RST):
		delete(e.conns, s.Src)
	case s.Flags.Has(packet.SYN):
		if !connected {
			e.conns[s.Src] = true
			e.stats.Opened++
			e.opened = append(e.opened, now)
		}
		e.reply(s, packet.SYN|packet.ACK)
	case !connected:
		e.stats.Resets++
		e.reply(s, packet.RST)
	case s.Flags.Has(packet.FIN):
		delete(e.conns, s.Src)
		e.reply(s, packet.FIN|packet.ACK)
	default:
		e.reply(s, packet.ACK)
	}
}

func (e *Endpoint) reply(s packet.Segment, flags packet.Flags) {
	data, err := packet.Build(packet.Segment{
		VNI: s.VNI, Src: s.Dst, Dst: s.Src, TCP: s.TCP, Flags: flags,
		Seq: s.Ack, Ack: s.Seq + uint32(len(s.Payload)), Payload: []byte(e.Name),
	})
	if err == nil {
		_, _ = e.conn.WriteToUDPAddrPort(data, e.replyTo)
	}
}

// Stats returns the counts so far.
func (e *Endpoint) Stats() EndpointStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.stats
	st.Open = len(e.conns)
	return st
}

// Restart drops the state of all connections, like a crash and restart of the upstream.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns = make(map[netip.AddrPort]bool)
}

// OpenedAt returns the times at which connections were opened, from since on.
func (e *Endpoint) OpenedAt(since time.Time) (list []time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.opened {
		if !at.Before(since) {
			list = append(list, at)
		}
	}
	return list
}
