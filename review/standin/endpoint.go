package main

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// flowID names a flow by its two ends.
type flowID struct{ consumer, route netip.AddrPort }

// endpointFlow is a flow at an endpoint.
type endpointFlow struct {
	echo     uint32
	seq      uint32 // next sequence number to send
	received uint32 // next sequence number expected from the consumer
	opened   bool
	busy     bool
	unacked  *packet // response that waits for its acknowledgement
	tries    int
	lose     int // datagrams of the consumer that the network still loses
	opening  opening
}

// opening is the opening packet of a flow that opened at an endpoint.
type opening struct{ sentAt, arrivedAt time.Time }

// endpoint is a stand-in of an endpoint. It acknowledges each packet with data at once.
type endpoint struct {
	w       *world
	id      string
	name    uint64
	service string
	zone    string
	address netip.AddrPort
	conn    *net.UDPConn

	mu        sync.Mutex
	maxConns  int
	workFor   time.Duration
	flows     map[flowID]*endpointFlow
	ended     map[flowID]bool
	sentReset map[flowID]bool
	openings  []opening
	coldUntil time.Time
	born      int64
	sequence  int
	published string // the entry as it was last confirmed, without its sequence
	nextBeat  time.Time
	stopped   bool
}

func (w *world) startEndpoint(id, service, zone string, address netip.AddrPort, maxConns int, workFor time.Duration) (*endpoint, error) {
	digits, err := hex.DecodeString(strings.TrimPrefix(id, "i-"))
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(1 << 20)
	e := &endpoint{
		w: w, id: id, name: binary.BigEndian.Uint64(append(make([]byte, 8-len(digits)), digits...)), service: service, zone: zone, address: address, conn: conn,
		maxConns: maxConns, workFor: workFor, flows: make(map[flowID]*endpointFlow), ended: make(map[flowID]bool), sentReset: make(map[flowID]bool),
		born: time.Now().UnixMilli(),
	}
	w.endpoints = append(w.endpoints, e)
	go e.read()
	go e.beat()
	return e, nil
}

// beat writes the entry of the endpoint about every heartbeat.
func (e *endpoint) beat() {
	for {
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		if stopped {
			return
		}
		e.register()
		e.mu.Lock()
		e.nextBeat = time.Now().Add(e.w.heartbeat)
		e.mu.Unlock()
		time.Sleep(e.w.heartbeat)
	}
}

// register writes the entry. The item changes only when more than its sequence does.
func (e *endpoint) register() {
	e.mu.Lock()
	e.sequence++
	left := max(0, time.Until(e.coldUntil).Milliseconds())
	entry := map[string]any{
		"service": e.service, "address": e.address.String(), "zone": e.zone, "version": "v1", "maxConcurrency": 4,
		"state": "ready", "warmupLeftMs": left, "born": e.born, "sequence": e.sequence,
	}
	key, mark := "servers/"+e.id, "warm"
	if left > 0 {
		mark = time.Now().String()
	}
	same := e.published == mark
	e.mu.Unlock()
	if e.w.store.isSilent() {
		return
	}
	if !same || !e.w.store.has(key) {
		if !e.w.store.put(key, entry) {
			return
		}
		e.w.logf("store: entry of %s written, warmupLeftMs %d", e.id, left)
	}
	e.mu.Lock()
	e.published = mark
	e.mu.Unlock()
}

func (e *endpoint) read() {
	buf := make([]byte, 2048)
	for {
		n, err := e.conn.Read(buf)
		if err != nil {
			return
		}
		if n < envelopeBytes {
			continue
		}
		if name := binary.BigEndian.Uint64(buf); name != e.name && name != 0 {
			continue
		}
		p, written, _ := parsePacket(buf[envelopeBytes:n])
		if !written {
			e.w.logf("endpoint %s: a packet that its sender did not write so", e.id)
			continue
		}
		e.handle(p)
	}
}

func (e *endpoint) handle(p packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := flowID{p.src, p.dst}
	f := e.flows[id]
	if p.flags&flagSYN != 0 {
		e.handleSYN(id, f, p)
		return
	}
	if f == nil {
		if e.ended[id] && len(p.data) == 0 {
			if p.flags&flagFIN != 0 {
				e.send(id, p.echo, packet{flags: flagACK, seq: p.ack, ack: p.seq + 1})
			}
			return
		}
		if p.flags&flagRST == 0 {
			e.sentReset[id] = true
			e.w.logf("endpoint %s: reset to %s, which has no flow here", e.id, id.consumer)
			e.send(id, p.echo, packet{flags: flagRST, seq: p.ack})
		}
		return
	}
	if f.lose > 0 && len(p.data) > 0 {
		f.lose--
		e.w.logf("network: datagram of %s to %s lost", id.consumer, e.id)
		return
	}
	f.echo = p.echo
	if !f.opened && p.ack == f.seq {
		f.opened = true
		e.openings = append(e.openings, f.opening)
	}
	if p.flags&flagRST != 0 {
		e.close(id)
		return
	}
	if f.unacked != nil && p.ack == f.unacked.seq+uint32(len(f.unacked.data)) {
		f.unacked = nil
	}
	if p.flags&flagFIN != 0 {
		e.send(id, f.echo, packet{flags: flagACK | flagFIN, seq: f.seq, ack: p.seq + 1})
		e.close(id)
		return
	}
	if len(p.data) == 0 || !f.opened {
		return
	}
	if p.seq == f.received && !f.busy {
		f.received += uint32(len(p.data))
		f.busy = true
		time.AfterFunc(e.workFor, func() { e.answer(id, f, p.data) })
	}
	e.send(id, f.echo, packet{flags: flagACK, seq: f.seq, ack: f.received})
}

func (e *endpoint) handleSYN(id flowID, f *endpointFlow, p packet) {
	if f == nil {
		if len(e.flows) >= e.maxConns {
			e.w.logf("endpoint %s: full with %d flows, nothing sent to %s", e.id, len(e.flows), id.consumer)
			return
		}
		f = &endpointFlow{seq: rand.Uint32() | 1<<20, received: p.seq + 1, opening: opening{sentAt: e.w.synSentAt(id), arrivedAt: time.Now()}}
		e.flows[id] = f
		delete(e.ended, id)
		f.seq++
		time.AfterFunc(5*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.flows[id] == f && !f.opened {
				delete(e.flows, id)
			}
		})
	}
	f.echo = p.echo
	e.send(id, f.echo, packet{flags: flagSYN | flagACK, seq: f.seq - 1, ack: p.seq + 1})
}

func (e *endpoint) close(id flowID) {
	delete(e.flows, id)
	e.ended[id] = true
}

// answer sends the response to a request and repeats it until it is acknowledged.
func (e *endpoint) answer(id flowID, f *endpointFlow, request []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.flows[id] != f {
		return
	}
	e.w.ran(e, id, string(bytes.TrimSpace(request)))
	f.unacked = &packet{flags: flagACK, seq: f.seq, ack: f.received, data: append([]byte("answer to "), request...)}
	f.seq += uint32(len(f.unacked.data))
	f.busy, f.tries = false, 0
	e.transmit(id, f, f.unacked)
}

func (e *endpoint) transmit(id flowID, f *endpointFlow, p *packet) {
	e.send(id, f.echo, *p)
	f.tries++
	if f.tries > 8 {
		return
	}
	time.AfterFunc(min(200*time.Millisecond<<(f.tries-1), 1600*time.Millisecond), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.flows[id] == f && f.unacked == p {
			e.transmit(id, f, p)
		}
	})
}

func (e *endpoint) send(id flowID, echo uint32, p packet) {
	p.echo, p.dst, p.src = echo, id.consumer, id.route
	_, _ = e.conn.WriteToUDPAddrPort(p.append(nil), netip.AddrPortFrom(id.consumer.Addr(), e.w.packetsPort))
}

// holds reports whether the endpoint lives and holds the open flow, and never reset it.
func (e *endpoint) holds(id flowID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[id]
	return f != nil && f.opened && !e.sentReset[id]
}

// loseNext makes the network lose the next n datagrams with data of a flow.
func (e *endpoint) loseNext(id flowID, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f := e.flows[id]; f != nil {
		f.lose = n
	}
}

// setCold makes the endpoint cold for a while, as after a start.
func (e *endpoint) setCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(d)
}

// mostInOneSecond returns the largest number of flows whose opening packet was first sent
// by the consumer and arrived here within the same second, between two times.
func (e *endpoint) mostInOneSecond(from, to time.Time) (most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, first := range e.openings {
		n := 0
		for _, o := range e.openings {
			inside := !o.sentAt.Before(first.sentAt) && o.arrivedAt.Sub(first.sentAt) <= time.Second
			if inside && !o.sentAt.Before(from) && !o.arrivedAt.After(to) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// awaitBeat waits until just after the endpoint's next heartbeat.
func (e *endpoint) awaitBeat() {
	e.mu.Lock()
	next := e.nextBeat
	e.mu.Unlock()
	time.Sleep(time.Until(next) + 50*time.Millisecond)
}
