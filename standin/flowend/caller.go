package flowend

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrReset means that the flow was reset.
var ErrReset = errors.New("flowend: flow was reset")

// ErrTimeout means that no answer came in time.
var ErrTimeout = errors.New("flowend: no answer")

// repeatEvery is the wait before a packet is sent again.
const repeatEvery = 200 * time.Millisecond

// Caller opens flows from one address.
type Caller struct {
	conn *net.UDPConn
	ip   netip.Addr

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*Flow
}

// StartCaller takes answers at address until the returned function is called.
func StartCaller(ctx context.Context, address string) (c *Caller, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "flowend: start caller") }()
	var lc net.ListenConfig
	pc, err := lc.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, nil, err
	}
	conn := pc.(*net.UDPConn)
	c = &Caller{conn: conn, ip: netip.MustParseAddrPort(address).Addr(), port: 40_000, flows: make(map[uint16]*Flow)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.read()
	}()
	return c, func() { _ = conn.Close(); <-ended }, nil
}

func (c *Caller) read() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		p, ok := Parse(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.To.Port()]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.in <- p:
			default:
			}
		}
	}
}

// Flow is a caller's flow. It carries one request at a time.
type Flow struct {
	// VM is where the fabric hands the flow's packets. It may be changed
	// between requests.
	VM netip.AddrPort

	caller   *Caller
	from, to netip.AddrPort
	token    uint32
	seq, ack uint32
	in       chan Packet
}

// Open opens a flow to a service through a VM within the given time.
func (c *Caller) Open(vm, service netip.AddrPort, within time.Duration) (f *Flow, err error) {
	c.mu.Lock()
	c.port++
	f = &Flow{VM: vm, caller: c, from: netip.AddrPortFrom(c.ip, c.port), to: service, seq: 1000, in: make(chan Packet, 16)}
	c.flows[c.port] = f
	c.mu.Unlock()
	copies := uint32(0)
	answer, err := f.exchange(within, func() {
		f.put(FlagSYN, copies, nil)
		copies++
	}, func(p Packet) bool { return p.Flags&FlagSYN != 0 })
	if err != nil {
		return nil, err
	}
	f.seq, f.ack, f.token = f.seq+1, answer.Seq+1, answer.Token
	f.put(FlagACK, f.ack, nil)
	return f, nil
}

// Request sends a request and returns the answer.
func (f *Flow) Request(text string, within time.Duration) (answer string, err error) {
	p, err := f.exchange(within, func() { f.put(FlagACK, f.ack, []byte(text)) }, func(p Packet) bool { return len(p.Data) > 0 && p.Seq == f.ack })
	if err != nil {
		return "", err
	}
	f.seq += uint32(len(text))
	f.ack = p.Seq + uint32(len(p.Data))
	f.token = p.Token
	f.put(FlagACK, f.ack, nil)
	return string(p.Data), nil
}

// Close ends the flow.
func (f *Flow) Close() { f.put(FlagFIN|FlagACK, f.ack, nil) }

// exchange sends again and again until a wanted packet comes.
func (f *Flow) exchange(within time.Duration, send func(), wanted func(Packet) bool) (p Packet, err error) {
	deadline := time.After(within)
	repeat := time.NewTicker(repeatEvery)
	defer repeat.Stop()
	send()
	for {
		select {
		case p = <-f.in:
			if p.Flags&FlagRST != 0 {
				return p, ErrReset
			}
			if wanted(p) {
				return p, nil
			}
		case <-repeat.C:
			send()
		case <-deadline:
			return p, ErrTimeout
		}
	}
}

func (f *Flow) put(flags byte, ack uint32, data []byte) {
	p := Packet{Flags: flags, Token: f.token, Seq: f.seq, Ack: ack, To: f.to, From: f.from, Data: data}
	if flags == FlagSYN {
		p.Token = 0
	}
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.Append(nil), f.VM)
}
