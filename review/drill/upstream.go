package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/amaranthswitch/amaranthswitch/standin/flowend"
)

const (
	// delayedAck is the time after which a single packet is acknowledged on its own.
	delayedAck = 40 * time.Millisecond
	// firstRetransmit doubles with each retransmission up to lastRetransmit.
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	// maxRetransmits is the number of retransmissions after which an upstream gives up.
	maxRetransmits = 8
)

// opening is a flow that opened at an upstream.
type opening struct {
	at     time.Time // arrival of the opening packet
	sentAt time.Time // when the caller sent it
	caller netip.AddrPort
}

// upstream is a server of the platform, reached by datagrams.
type upstream struct {
	f                   *fleet
	id, service, domain string
	host                int
	name                uint64
	work                time.Duration
	slots               chan struct{}

	mu       sync.Mutex
	conn     *net.UDPConn
	flows    map[netip.AddrPort]*upstreamFlow
	openings []opening
	born     time.Time
	sequence int
	// loseData is the number of datagrams with data that are lost on their way here.
	loseData int
	// impairedAt is the end of the last disruption of the upstream or its links.
	impairedAt time.Time
}

// upstreamFlow is the state of a flow at the upstream.
type upstreamFlow struct {
	first       flowend.Packet // the opening packet
	arrived     time.Time
	open, ended bool
	iss         uint32
	received    uint32 // sequence number expected next
	sent        uint32 // sequence number of the next byte to send
	acked       uint32
	token       uint32
	ackDue      bool
}

// addUpstream starts an upstream. Its identifier ends in its name in hexadecimal.
func (f *fleet) addUpstream(name uint64, service, domain string, slots int, work time.Duration) (u *upstream, err error) {
	u = &upstream{
		f: f, id: fmt.Sprintf("i-%010x", name), service: service, domain: domain, host: 100 + len(f.upstreams), name: name, work: work,
		slots: make(chan struct{}, slots),
	}
	f.upstreams[u.id] = u
	return u, u.start()
}

// start begins a boot: the upstream knows no flows.
func (u *upstream) start() error {
	addr := netip.MustParseAddrPort(u.f.address(u.host, upstreamPort))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.conn, u.flows, u.born, u.sequence = conn, make(map[netip.AddrPort]*upstreamFlow), time.Now(), 0
	u.mu.Unlock()
	u.f.record.add("upstream %s in %s starts", u.id, u.domain)
	go u.read(conn)
	return nil
}

// crash ends the boot. Packets get no answer any more.
func (u *upstream) crash() {
	u.f.record.add("upstream %s in %s crashes", u.id, u.domain)
	u.close()
}

func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn != nil {
		_ = u.conn.Close()
		u.conn = nil
	}
}

// publish writes the entry of the upstream to the store.
func (u *upstream) publish(state string, warmupLeft time.Duration) {
	u.mu.Lock()
	u.sequence++
	fields := map[string]any{
		"service": u.service, "address": u.f.address(u.host, upstreamPort), "zone": u.domain, "version": "v1", "maxConcurrency": cap(u.slots),
		"state": state, "warmupLeftMs": max(0, warmupLeft.Milliseconds()), "sequence": u.sequence, "born": u.born.UnixMilli(),
	}
	u.mu.Unlock()
	u.f.store.Put("servers/"+u.id, fields)
	u.f.record.add("the store has confirmed: %s is %s, cold for %d ms", u.id, state, max(0, warmupLeft.Milliseconds()))
}

func (u *upstream) read(conn *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if name := binary.BigEndian.Uint64(buf); name != u.name && name != 0 {
			continue // meant for another upstream
		}
		p, ok := flowend.Parse(buf[8:n])
		if !ok {
			u.f.record.add("CORRUPT packet at %s", u.id)
			continue
		}
		u.receive(conn, p)
	}
}

// receive handles a packet of a caller.
func (u *upstream) receive(conn *net.UDPConn, p flowend.Packet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(p.Data) > 0 && u.loseData > 0 {
		u.loseData--
		u.f.record.add("a datagram of flow %s to %s is lost on its way", p.From, u.id)
		return
	}
	fl := u.flows[p.From]
	if p.Flags&flowend.FlagSYN != 0 {
		if fl == nil || fl.first.Seq != p.Seq {
			iss := uint32(time.Now().UnixNano())
			fl = &upstreamFlow{first: p, arrived: time.Now(), iss: iss, received: p.Seq + 1, sent: iss + 1, acked: iss + 1}
			u.flows[p.From] = fl
		}
		fl.token = p.Token
		u.send(conn, fl, flowend.FlagSYN|flowend.FlagACK, fl.iss, nil)
		return
	}
	if fl == nil {
		if p.Flags&flowend.FlagRST == 0 {
			out := flowend.Packet{Flags: flowend.FlagRST, Token: p.Token, Seq: p.Ack, To: p.From, From: p.To}
			u.write(conn, &out)
		}
		return
	}
	fl.token = p.Token
	if !fl.open && p.Ack == fl.iss+1 {
		fl.open = true
		sentAt := u.f.record.sentAt(p.From.Port())
		u.openings = append(u.openings, opening{at: fl.arrived, sentAt: sentAt, caller: p.From})
		u.f.record.add("flow %s opened at %s in %s", p.From, u.id, u.domain)
	}
	if int32(p.Ack-fl.acked) > 0 {
		fl.acked = p.Ack
	}
	switch {
	case p.Flags&flowend.FlagRST != 0:
		delete(u.flows, p.From)
	case p.Flags&flowend.FlagFIN != 0:
		fl.ended = true
		fl.received = p.Seq + uint32(len(p.Data)) + 1
		u.send(conn, fl, flowend.FlagACK|flowend.FlagFIN, fl.sent, nil)
	case len(p.Data) > 0 && p.Seq == fl.received:
		fl.received += uint32(len(p.Data))
		fl.ackDue = true
		go u.acknowledge(conn, fl)
		go u.answer(conn, fl, string(p.Data))
	case len(p.Data) > 0:
		u.send(conn, fl, flowend.FlagACK, fl.sent, nil)
	}
}

// acknowledge sends a late acknowledgement, unless an answer has carried it.
func (u *upstream) acknowledge(conn *net.UDPConn, fl *upstreamFlow) {
	time.Sleep(delayedAck)
	u.mu.Lock()
	defer u.mu.Unlock()
	if fl.ackDue {
		u.send(conn, fl, flowend.FlagACK, fl.sent, nil)
	}
}

// answer runs a request and sends the answer until it is acknowledged.
func (u *upstream) answer(conn *net.UDPConn, fl *upstreamFlow, request string) {
	u.f.record.add("request %s of flow %s runs at %s in %s", request, fl.first.From, u.id, u.domain)
	u.slots <- struct{}{}
	time.Sleep(u.work)
	<-u.slots
	data := []byte("answer to " + request)
	wait := firstRetransmit
	u.mu.Lock()
	seq := fl.sent
	fl.sent += uint32(len(data))
	end := fl.sent
	u.mu.Unlock()
	for range 1 + maxRetransmits {
		u.mu.Lock()
		if u.conn != conn || int32(fl.acked-end) >= 0 || fl.ended {
			u.mu.Unlock()
			return
		}
		u.send(conn, fl, flowend.FlagACK, seq, data)
		u.mu.Unlock()
		time.Sleep(wait)
		wait = min(2*wait, lastRetransmit)
	}
}

// send sends a packet of a flow. The caller holds mu.
func (u *upstream) send(conn *net.UDPConn, fl *upstreamFlow, flags byte, seq uint32, data []byte) {
	fl.ackDue = false
	out := flowend.Packet{Flags: flags, Token: fl.token, Seq: seq, Ack: fl.received, To: fl.first.From, From: fl.first.To, Data: data}
	u.write(conn, &out)
}

func (u *upstream) write(conn *net.UDPConn, p *flowend.Packet) {
	_, _ = conn.WriteToUDPAddrPort(p.Append(nil), netip.AddrPortFrom(p.To.Addr(), uint16(packetsPort)))
}

// opened returns the flows that opened here.
func (u *upstream) opened() []opening {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]opening(nil), u.openings...)
}
