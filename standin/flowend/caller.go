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

// ErrTimeout means that no answer arrived in time.
var ErrTimeout = errors.New("flowend: timeout waiting for an answer")

// retransmitInterval is the time between transmissions of the same packet.
const retransmitInterval = 200 * time.Millisecond

// Caller opens flows from one address. It is safe for concurrent use.
type Caller struct {
	conn *net.UDPConn
	ip   netip.Addr

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*Flow
}

// StartCaller returns a caller that receives answers at address until stop is called.
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
			case f.received <- p:
			default:
			}
		}
	}
}

// Flow is a caller's flow. It carries one request at a time and is not safe for
// concurrent use.
type Flow struct {
	// VM is the address of the VM to which the fabric routes the flow's packets. It may
	// be changed between requests.
	VM netip.AddrPort

	caller   *Caller
	from, to netip.AddrPort
	token    uint32
	seq, ack uint32
	received chan Packet
}

// Open opens a flow to a service through a VM. It returns ErrReset if the flow is
// refused and ErrTimeout if it does not open within the given time.
func (c *Caller) Open(vm, service netip.AddrPort, within time.Duration) (f *Flow, err error) {
	c.mu.Lock()
	c.port++
	f = &Flow{VM: vm, caller: c, from: netip.AddrPortFrom(c.ip, c.port), to: service, seq: 1000, received: make(chan Packet, 16)}
	c.flows[c.port] = f
	c.mu.Unlock()
	copies := uint32(0)
	answer, err := f.exchange(within, func() {
		f.send(FlagSYN, copies, nil)
		copies++
	}, func(p Packet) bool { return p.Flags&FlagSYN != 0 })
	if err != nil {
		return nil, err
	}
	f.seq, f.ack, f.token = f.seq+1, answer.Seq+1, answer.Token
	f.send(FlagACK, f.ack, nil)
	return f, nil
}

// Request sends a request and returns the answer. It returns ErrReset if the flow is
// reset and ErrTimeout if no answer arrives within the given time.
func (f *Flow) Request(text string, within time.Duration) (answer string, err error) {
	p, err := f.exchange(within, func() { f.send(FlagACK, f.ack, []byte(text)) }, func(p Packet) bool { return len(p.Data) > 0 && p.Seq == f.ack })
	if err != nil {
		return "", err
	}
	f.seq += uint32(len(text))
	f.ack = p.Seq + uint32(len(p.Data))
	f.token = p.Token
	f.send(FlagACK, f.ack, nil)
	return string(p.Data), nil
}

// Close sends a FIN and does not wait for its acknowledgement.
func (f *Flow) Close() { f.send(FlagFIN|FlagACK, f.ack, nil) }

// exchange calls send, and again every retransmission interval, until a wanted packet
// arrives.
func (f *Flow) exchange(within time.Duration, send func(), wanted func(Packet) bool) (p Packet, err error) {
	deadline := time.After(within)
	repeat := time.NewTicker(retransmitInterval)
	defer repeat.Stop()
	send()
	for {
		select {
		case p = <-f.received:
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

func (f *Flow) send(flags byte, ack uint32, data []byte) {
	p := Packet{Flags: flags, Token: f.token, Seq: f.seq, Ack: ack, To: f.to, From: f.from, Data: data}
	if flags == FlagSYN {
		p.Token = 0
	}
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.Append(nil), f.VM)
}
