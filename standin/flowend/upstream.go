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

// Upstream answers each request with its own word and the request.
type Upstream struct {
	conn      *net.UDPConn
	name      uint64
	word      string
	replyPort uint16

	mu      sync.Mutex
	flows   map[netip.AddrPort]uint32 // caller's end to the upstream's sequence number
	ended   map[netip.AddrPort]bool   // flows that the caller ended
	opened  []time.Time
	strange []string
	dark    bool
}

// StartUpstream serves at address under the name that packets bear, until the
// returned function is called. Callers are answered at replyPort.
func StartUpstream(ctx context.Context, address string, name uint64, word string, replyPort uint16) (u *Upstream, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "flowend: start upstream") }()
	var lc net.ListenConfig
	pc, err := lc.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, nil, err
	}
	u = &Upstream{conn: pc.(*net.UDPConn), name: name, word: word, replyPort: replyPort, flows: make(map[netip.AddrPort]uint32), ended: make(map[netip.AddrPort]bool)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		u.read()
	}()
	return u, func() { _ = u.conn.Close(); <-ended }, nil
}

// Address returns where the upstream takes packets.
func (u *Upstream) Address() string { return u.conn.LocalAddr().String() }

// SetUnresponsive makes the upstream silent, as if without power, or ends that.
func (u *Upstream) SetUnresponsive(dark bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dark = dark
}

// FlowsOpenedAfter returns the number of flows opened after a time.
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

// UnexpectedPackets describes the packets that were changed or that belong to no flow of
// the upstream.
func (u *Upstream) UnexpectedPackets() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.strange)
}

func (u *Upstream) read() {
	buf := make([]byte, 2048)
	for {
		n, err := u.conn.Read(buf)
		if err != nil {
			return
		}
		if n < nameBytes {
			continue
		}
		if name := binary.BigEndian.Uint64(buf); name != u.name && name != 0 {
			continue
		}
		p, ok := Parse(buf[nameBytes:n])
		u.take(p, ok)
	}
}

func (u *Upstream) take(p Packet, intact bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dark {
		return
	}
	if !intact {
		u.strange = append(u.strange, "a changed packet")
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
		// VMs may overtake each other, so the flow's last packets may come late.
		if p.Flags&FlagFIN != 0 {
			u.send(p, FlagACK, p.Ack, p.Seq+1, nil)
		}
	case !known:
		u.strange = append(u.strange, fmt.Sprintf("a packet with flags %d and %d bytes of %s, which has no flow", p.Flags, len(p.Data), p.From))
		u.send(p, FlagRST, p.Ack, 0, nil)
	case p.Flags&(FlagFIN|FlagRST) != 0:
		delete(u.flows, p.From)
		u.ended[p.From] = true
	case len(p.Data) > 0:
		answer := append([]byte(u.word+":"), p.Data...)
		u.send(p, FlagACK, p.Ack, p.Seq+uint32(len(p.Data)), answer)
	}
}

// send answers a packet towards its caller.
func (u *Upstream) send(to Packet, flags byte, seq, ack uint32, data []byte) {
	p := Packet{Flags: flags, Token: to.Token, Seq: seq, Ack: ack, To: to.From, From: to.To, Data: data}
	_, _ = u.conn.WriteToUDPAddrPort(p.Append(nil), netip.AddrPortFrom(to.From.Addr(), u.replyPort))
}
