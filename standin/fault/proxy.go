package fault

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
)

// Rule describes the faults of the traffic from one sender. The zero Rule forwards
// everything unchanged. Loss, Duplicate, Delay and Jitter apply to datagrams only.
type Rule struct {
	// Block drops datagrams and closes connections, new ones included.
	Block bool
	// Blackhole accepts data and connections but forwards nothing. It outlasts the rule
	// for the connections that it affected; connections opened later work.
	Blackhole bool
	// Loss and Duplicate are probabilities per datagram, from 0 to 1.
	Loss, Duplicate float64
	// Delay is added to each datagram, and a random time up to Jitter, which reorders
	// datagrams.
	Delay, Jitter time.Duration
}

// VMProxy forwards the peer datagrams and RPC connections of one VM.
type VMProxy struct {
	udp    *net.UDPConn
	tcp    net.Listener
	target membership.VM

	mu    sync.Mutex
	rng   *rand.Rand
	rules map[netip.Addr]Rule
	conns map[net.Conn]*proxiedConn
}

// proxiedConn is the state of a forwarded connection.
type proxiedConn struct {
	from       netip.Addr
	blackholed bool
}

const socketBufferBytes = 4 << 20

// NewVMProxy listens on the peer and RPC addresses of advertised and forwards to those
// of bind, on which the daemon listens, until stop is called.
func NewVMProxy(ctx context.Context, advertised, bind membership.VM, seed uint64) (p *VMProxy, stop func(), err error) {
	defer func() { err = eris.Wrapf(err, "fault: proxy of %s", advertised.ID) }()
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(advertised.Peer))
	if err != nil {
		return nil, nil, err
	}
	_ = udp.SetReadBuffer(socketBufferBytes)
	var lc net.ListenConfig
	tcp, err := lc.Listen(ctx, "tcp", advertised.RPC.String())
	if err != nil {
		_ = udp.Close()
		return nil, nil, err
	}
	p = &VMProxy{
		udp: udp, tcp: tcp, target: bind, rng: rand.New(rand.NewPCG(seed, 3)),
		rules: make(map[netip.Addr]Rule), conns: make(map[net.Conn]*proxiedConn),
	}
	done := make(chan struct{}, 2)
	go func() { p.serveUDP(); done <- struct{}{} }()
	go func() { p.serveTCP(); done <- struct{}{} }()
	return p, func() {
		_ = udp.Close()
		_ = tcp.Close()
		p.closeFrom(netip.Addr{})
		<-done
		<-done
	}, nil
}

// SetRule replaces the rule for a sender.
func (p *VMProxy) SetRule(from netip.Addr, r Rule) {
	p.mu.Lock()
	p.rules[from] = r
	if r.Blackhole {
		for _, c := range p.conns {
			c.blackholed = c.blackholed || c.from == from
		}
	}
	p.mu.Unlock()
	if r.Block {
		p.closeFrom(from)
	}
}

// closeFrom closes the connections of a sender, or all for the zero address.
func (p *VMProxy) closeFrom(from netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, info := range p.conns {
		if !from.IsValid() || info.from == from {
			_ = c.Close()
		}
	}
}

func (p *VMProxy) rule(from netip.Addr) Rule {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rules[from]
}

func (p *VMProxy) serveUDP() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		for range p.copyCount(from.Addr().Unmap()) {
			p.forwardDatagram(append([]byte(nil), buf[:n]...), p.rule(from.Addr().Unmap()))
		}
	}
}

// copyCount draws the number of times that a datagram is forwarded, from 0 to 2.
func (p *VMProxy) copyCount(from netip.Addr) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rules[from]
	switch {
	case r.Block || r.Blackhole || p.rng.Float64() < r.Loss:
		return 0
	case p.rng.Float64() < r.Duplicate:
		return 2
	}
	return 1
}

func (p *VMProxy) forwardDatagram(data []byte, r Rule) {
	delay := r.Delay
	if r.Jitter > 0 {
		p.mu.Lock()
		delay += time.Duration(p.rng.Int64N(int64(r.Jitter)))
		p.mu.Unlock()
	}
	if delay == 0 {
		_, _ = p.udp.WriteToUDPAddrPort(data, p.target.Peer)
		return
	}
	time.AfterFunc(delay, func() { _, _ = p.udp.WriteToUDPAddrPort(data, p.target.Peer) })
}

func (p *VMProxy) serveTCP() {
	for {
		c, err := p.tcp.Accept()
		if err != nil {
			return
		}
		go p.forwardConn(c)
	}
}

func (p *VMProxy) forwardConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	from := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	r := p.rule(from)
	if r.Block {
		return
	}
	out, err := net.DialTimeout("tcp", p.target.RPC.String(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	info := &proxiedConn{from: from, blackholed: r.Blackhole}
	p.mu.Lock()
	p.conns[c] = info
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go func() { p.copy(out, c, info); done <- struct{}{} }()
	go func() { p.copy(c, out, info); done <- struct{}{} }()
	<-done
}

// copy forwards bytes until the connection ends. It discards those of a black-holed
// connection.
func (p *VMProxy) copy(to io.Writer, from io.Reader, info *proxiedConn) {
	buf := make([]byte, 1<<15)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		blackholed := info.blackholed
		p.mu.Unlock()
		if blackholed {
			continue
		}
		if _, err = to.Write(buf[:n]); err != nil {
			return
		}
	}
}
