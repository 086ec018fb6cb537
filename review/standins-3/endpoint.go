package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is what an endpoint registers in the store.
type entry struct {
	Service        string `json:"service"`
	Address        string `json:"address"`
	Zone           string `json:"zone"`
	Version        string `json:"version"`
	MaxConcurrency int    `json:"maxConcurrency"`
	State          string `json:"state"`
	WarmupLeftMs   int64  `json:"warmupLeftMs"`
	Sequence       int64  `json:"sequence"`
	Born           int64  `json:"born"`
}

// opening is a flow that an endpoint took.
type opening struct {
	sent, arrived time.Time
	cold          bool
	route         netip.AddrPort
	endpoint      *endpoint
	boot          int
}

type flowID struct{ consumer, route netip.AddrPort }

// endpointFlow is a flow that an endpoint holds.
type endpointFlow struct {
	firstSeq uint32 // of the SYN
	seq, ack uint32 // next to send, next expected
	open     bool
	request  string // under work
	answer   *packet
	answered uint32 // sequence number before the last answer
	timer    *time.Timer
}

// endpoint is a stand-in of an endpoint, see PROTOCOL.md, "Endpoints" and "Flows".
type endpoint struct {
	w       *world
	id      string
	number  uint64
	service string
	zone    string
	work    time.Duration
	conn    *net.UDPConn

	mu        sync.Mutex
	boot      int
	born      time.Time
	coldUntil time.Time
	state     string
	sequence  int64
	cutOff    bool // no path to the store
	dark      bool // crashed or without power: gets and sends nothing
	gone      bool // ended for good
	flows     map[flowID]*endpointFlow
	ended     map[flowID]bool
	stopBeat  chan struct{}
}

func (w *world) startEndpoint(id, service, zone, address string, cold bool) (*endpoint, error) {
	number, err := strconv.ParseUint(id[strings.LastIndexByte(id, '-')+1:], 16, 64)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	e := &endpoint{w: w, id: id, number: number, service: service, zone: zone, work: w.work[service], conn: conn}
	e.start(cold)
	go e.read()
	w.mu.Lock()
	w.endpoints = append(w.endpoints, e)
	w.mu.Unlock()
	return e, nil
}

// start begins a boot: the endpoint holds and knows nothing of before.
func (e *endpoint) start(cold bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.boot++
	e.born, e.sequence, e.state, e.dark = now, 0, "ready", false
	if cold {
		e.coldUntil = now.Add(e.w.warmup)
	}
	e.flows, e.ended = map[flowID]*endpointFlow{}, map[flowID]bool{}
	e.stopBeat = make(chan struct{})
	go e.beats(e.stopBeat)
}

// beats registers the endpoint at once and then at each ping.
func (e *endpoint) beats(stop chan struct{}) {
	first := time.Duration(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(first):
		}
		first = e.w.ping
		e.beat()
	}
}

func (e *endpoint) beat() bool {
	e.mu.Lock()
	e.sequence++
	left := max(0, time.Until(e.coldUntil).Milliseconds())
	body := entry{
		Service: e.service, Address: e.conn.LocalAddr().String(), Zone: e.zone, Version: "v1", MaxConcurrency: e.w.slots,
		State: e.state, WarmupLeftMs: left, Sequence: e.sequence, Born: e.born.UnixMilli(),
	}
	cutOff := e.cutOff
	e.mu.Unlock()
	if cutOff {
		return false
	}
	return e.w.storeNow().beat("servers/"+e.id, body)
}

// setCutOff cuts the endpoint off from the store, or ends that.
func (e *endpoint) setCutOff(cutOff bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutOff = cutOff
}

// crash discards all flows and sends nothing until start.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dark = true
	for _, f := range e.flows {
		f.stop()
	}
	e.flows = map[flowID]*endpointFlow{}
	close(e.stopBeat)
}

// drain reports the endpoint as draining and returns when the store has accepted that.
func (e *endpoint) drain() time.Time {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	for !e.beat() {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Now()
}

// leave ends the endpoint for good.
func (e *endpoint) leave() {
	e.crash()
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	_ = e.conn.Close()
	e.w.storeNow().remove("servers/" + e.id)
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
		number := binary.BigEndian.Uint64(buf)
		if number != e.number && number != 0 {
			continue
		}
		p, sound := parsePacket(buf[envelopeBytes:n])
		if !sound {
			e.w.rec.log("endpoint %s got a packet that its sender did not write so", e.id)
			e.w.count("corrupt")
			continue
		}
		e.handle(&p, number == 0)
	}
}

func (e *endpoint) handle(p *packet, anyEndpoint bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dark {
		return
	}
	id := flowID{p.from, p.to}
	f := e.flows[id]
	switch {
	case p.flags&flagSYN != 0 && p.flags&flagACK == 0:
		e.handleOpening(id, f, p, anyEndpoint)
	case f == nil && e.ended[id]:
		if p.flags&flagFIN != 0 {
			e.send(p, flagACK, p.ack, p.seq+1, nil)
		} else if len(p.data) > 0 {
			e.send(p, flagRST, p.ack, 0, nil)
		}
	case f == nil:
		if p.flags&flagRST == 0 {
			e.send(p, flagRST, p.ack, 0, nil)
		}
	case p.flags&flagRST != 0:
		f.stop()
		delete(e.flows, id)
	default:
		e.handleFlow(id, f, p)
	}
}

func (e *endpoint) handleOpening(id flowID, f *endpointFlow, p *packet, anyEndpoint bool) {
	if f == nil || f.firstSeq != p.seq {
		f = &endpointFlow{firstSeq: p.seq, seq: rand.Uint32(), ack: p.seq + 1}
		e.flows[id] = f
		delete(e.ended, id)
		now := time.Now()
		o := opening{sent: e.w.sentAt(p.from), arrived: now, cold: now.Before(e.coldUntil), route: p.to, endpoint: e, boot: e.boot}
		e.w.addOpening(o)
		e.w.rec.log("opening %s route %s at endpoint %s of %s zone %s cold=%t addressedToAny=%t", p.from, p.to, e.id, e.service, e.zone, o.cold, anyEndpoint)
	}
	e.send(p, flagSYN|flagACK, f.seq, f.ack, nil)
}

func (e *endpoint) handleFlow(id flowID, f *endpointFlow, p *packet) {
	if !f.open {
		if p.ack != f.seq+1 {
			e.send(p, flagRST, p.ack, 0, nil)
			return
		}
		f.open, f.seq = true, f.seq+1
	}
	if f.answer != nil && int32(p.ack-f.seq) >= 0 {
		f.stop()
		f.answer = nil
	}
	if len(p.data) > 0 {
		e.handleData(id, f, p)
	}
	if p.flags&flagFIN != 0 {
		f.stop()
		delete(e.flows, id)
		e.ended[id] = true
		e.send(p, flagFIN|flagACK, f.seq, p.seq+uint32(len(p.data))+1, nil)
	}
}

func (e *endpoint) handleData(id flowID, f *endpointFlow, p *packet) {
	if p.seq != f.ack {
		if f.answer != nil {
			e.sendPacket(f.answer)
		} else {
			e.send(p, flagACK, f.seq, f.ack, nil)
		}
		return
	}
	f.ack += uint32(len(p.data))
	request := headerOf(p.data, "X-Request-Id")
	f.request = request
	e.w.addRun(request, e)
	e.w.rec.log("run %s route %s at endpoint %s of %s", request, p.to, e.id, e.service)
	boot := e.boot
	time.AfterFunc(e.work, func() { e.answer(boot, id, f, request, p) })
}

// answer sends the answer to a request, and again until it is acknowledged.
func (e *endpoint) answer(boot int, id flowID, f *endpointFlow, request string, p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot || e.dark || e.flows[id] != f {
		return
	}
	body := fmt.Sprintf("%s answers %s", e.service, request)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", e.id, request, len(body), body)
	f.answer = &packet{flags: flagACK, echo: p.echo, seq: f.seq, ack: f.ack, to: id.consumer, from: id.route, data: []byte(text)}
	f.seq += uint32(len(text))
	e.repeat(boot, id, f, f.answer, 200*time.Millisecond, 8)
	if e.state == "draining" {
		e.sendPacket(&packet{flags: flagFIN | flagACK, echo: p.echo, seq: f.seq, ack: f.ack, to: id.consumer, from: id.route})
	}
}

func (e *endpoint) repeat(boot int, id flowID, f *endpointFlow, answer *packet, wait time.Duration, left int) {
	e.sendPacket(answer)
	if left == 0 {
		return
	}
	f.timer = time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.boot == boot && !e.dark && e.flows[id] == f && f.answer == answer {
			e.repeat(boot, id, f, answer, min(2*wait, 1600*time.Millisecond), left-1)
		}
	})
}

func (f *endpointFlow) stop() {
	if f.timer != nil {
		f.timer.Stop()
	}
}

func (e *endpoint) send(to *packet, flags byte, seq, ack uint32, data []byte) {
	e.sendPacket(&packet{flags: flags, echo: to.echo, seq: seq, ack: ack, to: to.from, from: to.to, data: data})
}

func (e *endpoint) sendPacket(p *packet) {
	_, _ = e.conn.WriteToUDPAddrPort(p.encode(nil), netip.AddrPortFrom(p.to.Addr(), packetsPort))
}

// headerOf returns the value of a header field in the text of an HTTP message.
func headerOf(text []byte, name string) string {
	_, rest, found := bytes.Cut(text, []byte(name+": "))
	if !found {
		return ""
	}
	value, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(value)
}
