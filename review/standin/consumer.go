package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

var (
	errNotOpened = errors.New("flow did not open")
	errReset     = errors.New("reset")
	errTimeout   = errors.New("no answer")
)

// consumer is a stand-in of the consumers of one zone, behind one address.
type consumer struct {
	w    *world
	zone string
	conn *net.UDPConn
	ip   netip.Addr

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*consumerFlow
}

// consumerFlow is a flow of a consumer. It carries one request at a time.
type consumerFlow struct {
	c        *consumer
	id       flowID
	received chan packet
	seq, ack uint32
	echo     uint32
	open     bool
}

func (w *world) startConsumer(zone string, address netip.AddrPort) (*consumer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(1 << 20)
	c := &consumer{w: w, zone: zone, conn: conn, ip: address.Addr(), port: 2_000, flows: make(map[uint16]*consumerFlow)}
	go c.read()
	return c, nil
}

func (c *consumer) read() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		p, written, reset := parsePacket(buf[:n])
		if !written && !reset {
			c.w.logf("consumer: a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f != nil && p.src == f.id.route {
			select {
			case f.received <- p:
			default:
			}
		}
	}
}

// open opens a flow to a route: the SYN, copies after 200 and 600 ms, an end at 1.4 s.
func (c *consumer) open(route netip.AddrPort) (*consumerFlow, error) {
	c.mu.Lock()
	c.port++
	f := &consumerFlow{c: c, id: flowID{netip.AddrPortFrom(c.ip, c.port), route}, seq: rand.Uint32(), received: make(chan packet, 64)}
	c.flows[c.port] = f
	c.mu.Unlock()
	start, copies := time.Now(), uint32(0)
	c.w.synSent.Store(f.id, start)
	f.send(packet{flags: flagSYN, seq: f.seq})
	for {
		wait := []time.Duration{200, 600, 1400}[copies] * time.Millisecond
		p, ok := f.next(time.Until(start.Add(wait)))
		switch {
		case !ok && copies == 2:
			f.forget()
			return nil, errNotOpened
		case !ok:
			copies++
			f.send(packet{flags: flagSYN, seq: f.seq, ack: copies})
		case p.flags&flagRST != 0:
			f.forget()
			return nil, errNotOpened
		case p.flags&flagSYN != 0 && p.ack == f.seq+1:
			f.seq, f.ack, f.echo, f.open = f.seq+1, p.seq+1, p.echo, true
			f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
			return f, nil
		}
	}
}

// request sends a request and waits for the answer. It repeats the packet after 200 ms,
// and then with twice the interval up to 1.6 s, while it is not acknowledged.
func (f *consumerFlow) request(text string, within time.Duration) error {
	data := []byte(text)
	interval, acked := 200*time.Millisecond, false
	deadline := time.Now().Add(within)
	f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack, data: data})
	resendAt := time.Now().Add(interval)
	for {
		until := deadline
		if !acked && resendAt.Before(until) {
			until = resendAt
		}
		p, ok := f.next(time.Until(until))
		switch {
		case !ok && !time.Now().Before(deadline):
			return errTimeout
		case !ok:
			f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack, data: data})
			interval = min(2*interval, 1600*time.Millisecond)
			resendAt = time.Now().Add(interval)
		case p.flags&flagRST != 0:
			if p.sum == 0 && int32(p.seq-f.ack) > resetWindow || p.sum == 0 && int32(f.ack-p.seq) > resetWindow {
				continue
			}
			f.open = false
			f.c.w.reset(f, p.sum == 0)
			return errReset
		default:
			f.echo = p.echo
			if p.ack == f.seq+uint32(len(data)) {
				acked = true
			}
			if len(p.data) > 0 && p.seq == f.ack {
				f.seq += uint32(len(data))
				f.ack += uint32(len(p.data))
				f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
				return nil
			}
		}
	}
}

// close sends a FIN.
func (f *consumerFlow) close() {
	f.send(packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack})
	f.forget()
}

func (f *consumerFlow) forget() {
	f.c.mu.Lock()
	delete(f.c.flows, f.id.consumer.Port())
	f.c.mu.Unlock()
}

func (f *consumerFlow) next(within time.Duration) (packet, bool) {
	select {
	case p := <-f.received:
		return p, true
	case <-time.After(max(0, within)):
		return packet{}, false
	}
}

func (f *consumerFlow) send(p packet) {
	p.echo, p.src, p.dst = f.echo, f.id.consumer, f.id.route
	if p.flags&flagSYN != 0 {
		p.echo = 0
	}
	if d := f.c.w.route(f.c.zone, f.id); d != nil {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.append(nil), d.packets)
	}
}
