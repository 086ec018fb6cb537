package flowend

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Upstream answers each request with its reply prefix, a colon and the request. It is
// safe for concurrent use.
type Upstream struct {
	conn        *net.UDPConn
	name        uint64
	replyPrefix string
	replyPort   uint16

	mu           sync.Mutex
	flows        map[netip.AddrPort]uint32 // initial sequence number by caller address
	ended        map[netip.AddrPort]bool   // flows that the caller closed or reset
	opened       []time.Time
	unexpected   []string
	unresponsive bool
}

// StartUpstream starts an upstream that receives packets at address until stop is
// called. It accepts packets whose envelope holds name or 0, and answers to replyPort of
// the caller's IP address.
func StartUpstream(ctx context.Context, address string, name uint64, replyPrefix string, replyPort uint16) (u *Upstream, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "flowend: start upstream") }()
	var lc net.ListenConfig
	pc, err := lc.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, nil, err
	}
	u = &Upstream{conn: pc.(*net.UDPConn), name: name, replyPrefix: replyPrefix, replyPort: replyPort, flows: make(map[netip.AddrPort]uint32), ended: make(map[netip.AddrPort]bool)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		u.read()
	}()
	return u, func() { _ = u.conn.Close(); <-ended }, nil
}

// Address returns the address at which the upstream receives packets.
func (u *Upstream) Address() string { return u.conn.LocalAddr().String() }

// SetUnresponsive makes the upstream drop all packets without an answer, as after a
// power loss, or lets it respond again.
func (u *Upstream) SetUnresponsive(unresponsive bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unresponsive = unresponsive
}

// FlowsOpenedAfter returns the number of flows opened after the given time.
func (u *Upstream) FlowsOpenedAfter(after time.Time) (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, at := range u.opened {
		if at.After(after) {
			n++
		}
	}
	return n
}

// UnexpectedPackets describes the packets received so far that were corrupt or belonged
// to no flow of the upstream.
func (u *Upstream) UnexpectedPackets() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.unexpected)
}

func (u *Upstream) read() {
	buf := make([]byte, 2048)
	for {
		n, err := u.conn.Read(buf)
		if err != nil {
			return
		}
		if n < envelopeBytes {
			continue
		}
		if name := binary.BigEndian.Uint64(buf); name != u.name && name != 0 {
			continue
		}
		p, ok := Parse(buf[envelopeBytes:n])
		u.handle(p, ok)
	}
}

func (u *Upstream) handle(p Packet, intact bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unresponsive {
		return
	}
	if !intact {
		u.unexpected = append(u.unexpected, "a corrupt packet")
		return
	}
	seq, known := u.flows[p.From]
	switch {
	case p.Flags&FlagSYN != 0:
		if !known {
			seq = 5000
			u.flows[p.From] = seq
			delete(u.ended, p.From)
			u.opened = append(u.opened, time.Now())
		}
		u.send(p, FlagSYN|FlagACK, seq-1, p.Seq+1, nil)
	case u.ended[p.From] && len(p.Data) == 0:
		// Packets that take different VMs may be reordered, so the last packets of a
		// flow may arrive after its end.
		if p.Flags&FlagFIN != 0 {
			u.send(p, FlagACK, p.Ack, p.Seq+1, nil)
		}
	case !known:
		u.unexpected = append(u.unexpected, fmt.Sprintf("a packet with flags %d and %d bytes from %s, which has no flow", p.Flags, len(p.Data), p.From))
		u.send(p, FlagRST, p.Ack, 0, nil)
	case p.Flags&(FlagFIN|FlagRST) != 0:
		delete(u.flows, p.From)
		u.ended[p.From] = true
	case len(p.Data) > 0:
		answer := append([]byte(u.replyPrefix+":"), p.Data...)
		u.send(p, FlagACK, p.Ack, p.Seq+uint32(len(p.Data)), answer)
	}
}

// send sends an answer to the sender of a packet.
func (u *Upstream) send(to Packet, flags byte, seq, ack uint32, data []byte) {
	p := Packet{Flags: flags, Token: to.Token, Seq: seq, Ack: ack, To: to.From, From: to.To, Data: data}
	_, _ = u.conn.WriteToUDPAddrPort(p.Append(nil), netip.AddrPortFrom(to.From.Addr(), u.replyPort))
}
