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

// Rule says what happens to what one sender sends. The zero Rule passes all.
type Rule struct {
	// Block passes nothing and refuses connections.
	Block bool
	// Blackhole takes data and connections and passes nothing on. Connections
	// made after the rule is lifted work; those made before stay silent.
	Blackhole bool
	// Loss and Duplicate are probabilities for each datagram.
	Loss, Duplicate float64
	// Delay is added to each datagram, and up to Jitter more, which reorders.
	Delay, Jitter time.Duration
}

// VMProxy forwards to one VM.
type VMProxy struct {
	udp    *net.UDPConn
	tcp    net.Listener
	target membership.VM

	mu    sync.Mutex
	rng   *rand.Rand
	rules map[netip.Addr]Rule
	conns map[net.Conn]*proxied
}

// proxied is a forwarded connection.
type proxied struct {
	from   netip.Addr
	frozen bool
}

const socketBufferBytes = 4 << 20

// NewVMProxy opens the peer and RPC addresses that others are told, and
// forwards to those that the daemon opens.
func NewVMProxy(ctx context.Context, told, bind membership.VM, seed uint64) (p *VMProxy, stop func(), err error) {
	defer func() { err = eris.Wrapf(err, "fault: proxy of %s", told.ID) }()
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(told.Peer))
	if err != nil {
		return nil, nil, err
	}
	_ = udp.SetReadBuffer(socketBufferBytes)
	var lc net.ListenConfig
	tcp, err := lc.Listen(ctx, "tcp", told.RPC.String())
	if err != nil {
		_ = udp.Close()
		return nil, nil, err
	}
	p = &VMProxy{
		udp: udp, tcp: tcp, target: bind, rng: rand.New(rand.NewPCG(seed, 3)),
		rules: make(map[netip.Addr]Rule), conns: make(map[net.Conn]*proxied),
	}
	done := make(chan struct{}, 2)
	go func() { p.datagrams(); done <- struct{}{} }()
	go func() { p.connections(); done <- struct{}{} }()
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
			c.frozen = c.frozen || c.from == from
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

func (p *VMProxy) datagrams() {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := p.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		for range p.copies(from.Addr().Unmap()) {
			p.pass(append([]byte(nil), buf[:n]...), p.rule(from.Addr().Unmap()))
		}
	}
}

// copies draws how often a datagram is passed on.
func (p *VMProxy) copies(from netip.Addr) int {
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

func (p *VMProxy) pass(data []byte, r Rule) {
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

func (p *VMProxy) connections() {
	for {
		c, err := p.tcp.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *VMProxy) forward(c net.Conn) {
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
	info := &proxied{from: from, frozen: r.Blackhole}
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

// copy passes bytes on until the connection ends; a frozen one swallows them.
func (p *VMProxy) copy(to io.Writer, from io.Reader, info *proxied) {
	buf := make([]byte, 1<<15)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		frozen := info.frozen
		p.mu.Unlock()
		if frozen {
			continue
		}
		if _, err = to.Write(buf[:n]); err != nil {
			return
		}
	}
}
