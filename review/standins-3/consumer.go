package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("no answer in time")
)

// class is a kind of request, as on the sheet of a small deployment.
type class struct {
	name   string
	route  netip.AddrPort
	method string
	safe   bool
	long   bool // flows are kept open for many requests
	budget time.Duration
}

// consumer is the stand-in of the consumers of a zone, which share an IP address.
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
	from, to netip.AddrPort
	vm       string // the machine that got the last packet
	echo     uint32
	seq, ack uint32
	received chan packet
}

func (w *world) startConsumer(zone, ip string) (*consumer, error) {
	addr := netip.AddrPortFrom(netip.MustParseAddr(ip), packetsPort)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	c := &consumer{w: w, zone: zone, conn: conn, ip: addr.Addr(), port: 1024, flows: map[uint16]*consumerFlow{}}
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
		p, sound := parsePacket(buf[:n])
		if !sound && !p.isOwnReset() {
			c.w.rec.log("consumer of %s got a packet that its sender did not write so", c.zone)
			c.w.count("corrupt")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.to.Port()]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.received <- p:
		default:
		}
	}
}

func (c *consumer) newFlow(route netip.AddrPort) *consumerFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		c.port++
		if c.port < 1024 {
			c.port = 1024
		}
		if c.flows[c.port] == nil {
			break
		}
	}
	f := &consumerFlow{c: c, from: netip.AddrPortFrom(c.ip, c.port), to: route, seq: rand.Uint32(), received: make(chan packet, 64)}
	c.flows[c.port] = f
	return f
}

func (f *consumerFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.from.Port())
}

// send sends a packet through the machine that the routers select now.
func (f *consumerFlow) send(flags byte, ack uint32, data []byte) {
	p := packet{flags: flags, echo: f.echo, seq: f.seq, ack: ack, to: f.to, from: f.from, data: data}
	if flags == flagSYN {
		p.echo = 0
	}
	m := f.c.w.router.pick(f.c.zone, f.from, f.to)
	f.vm = m.node
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(nil), m.packets)
}

// open sends a SYN and copies after 200 ms and 600 ms, and ends after 1.4 s.
func (f *consumerFlow) open() error {
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	begin := time.Now()
	f.c.w.noteSent(f.from, begin)
	for n := 0; ; n++ {
		next := 1400 * time.Millisecond
		if n < len(copies) {
			f.send(flagSYN, uint32(n), nil)
			if n+1 < len(copies) {
				next = copies[n+1]
			}
		} else {
			return errTimeout
		}
		timer := time.NewTimer(time.Until(begin.Add(next)))
	wait:
		for {
			select {
			case p := <-f.received:
				if p.flags&flagRST != 0 {
					timer.Stop()
					return errReset
				}
				if p.flags&flagSYN != 0 && p.ack == f.seq+1 {
					timer.Stop()
					f.seq, f.ack, f.echo = f.seq+1, p.seq+1, p.echo
					f.send(flagACK, f.ack, nil)
					return nil
				}
			case <-timer.C:
				break wait
			}
		}
	}
}

// exchange sends a request on an open flow and returns the answer. Missing packets are
// sent again after 200 ms, twice as long each time.
func (f *consumerFlow) exchange(text string, budget time.Duration) (answer string, closing bool, err error) {
	deadline := time.NewTimer(budget)
	defer deadline.Stop()
	wait := 200 * time.Millisecond
	for {
		f.send(flagACK, f.ack, []byte(text))
		repeat := time.NewTimer(wait)
		wait = min(2*wait, 1600*time.Millisecond)
	inner:
		for {
			select {
			case p := <-f.received:
				switch {
				case p.isOwnReset():
					if valid := f.ack - p.seq + 76800; valid > 2*76800 {
						continue
					}
					repeat.Stop()
					f.c.w.addReset(f, true)
					return "", true, errReset
				case p.flags&flagRST != 0:
					repeat.Stop()
					f.c.w.addReset(f, false)
					return "", true, errReset
				case len(p.data) > 0 && p.seq == f.ack:
					repeat.Stop()
					f.seq += uint32(len(text))
					f.ack += uint32(len(p.data))
					f.echo = p.echo
					f.send(flagACK, f.ack, nil)
					return string(p.data), p.flags&flagFIN != 0, nil
				case p.flags&flagFIN != 0 && p.seq == f.ack:
					repeat.Stop()
					return "", true, errReset
				}
			case <-repeat.C:
				break inner
			case <-deadline.C:
				repeat.Stop()
				return "", true, errTimeout
			}
		}
	}
}

// drained reports whether the endpoint has closed the flow since the last answer, or reset it.
func (f *consumerFlow) drained() bool {
	for {
		select {
		case p := <-f.received:
			if p.isOwnReset() && f.ack-p.seq+76800 <= 2*76800 {
				f.c.w.addReset(f, true)
				return true
			}
			if p.flags&(flagRST|flagFIN) != 0 {
				return true
			}
		default:
			return false
		}
	}
}

func (f *consumerFlow) close() {
	f.send(flagFIN|flagACK, f.ack, nil)
	time.AfterFunc(2*time.Second, f.forget)
}

// request returns the text of a request with a new id.
func (c *consumer) request(k *class) (id, text string) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	body := ""
	if k.method == "POST" {
		body = strings.Repeat("x", 600)
	}
	return id, fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", k.method, k.name, k.route, id, len(body), body)
}

// fresh sends one request on a flow of its own, and tries again twice: a safe request
// after any failure, an unsafe one only if the flow never opened.
func (c *consumer) fresh(k *class) {
	begin := time.Now()
	for try := 0; try <= 2 && time.Since(begin) < k.budget; try++ {
		f := c.newFlow(k.route)
		err := f.open()
		if err != nil {
			c.w.rec.log("not opened %s route %s through %s: %v", f.from, f.to, f.vm, err)
			f.forget()
			continue
		}
		id, text := c.request(k)
		c.w.rec.log("sent %s class %s route %s from %s zone %s through %s", id, k.name, k.route, f.from, c.zone, f.vm)
		answer, _, err := f.exchange(text, k.budget-time.Since(begin))
		c.finish(k, id, answer, err)
		if err == nil {
			f.close()
			return
		}
		f.forget()
		if !k.safe {
			return
		}
	}
}

func (c *consumer) finish(k *class, id, answer string, err error) {
	if err != nil {
		c.w.rec.log("failed %s class %s: %v", id, k.name, err)
		c.w.count("failed " + k.name)
		return
	}
	c.w.rec.log("answered %s class %s by %s", id, k.name, headerOf([]byte(answer), "X-Instance-Id"))
	c.w.count("answered " + k.name)
	if headerOf([]byte(answer), "X-Response-Seal") != id {
		c.w.count("foreign answer")
	}
}

// user keeps a flow open for many requests with pauses between them.
func (c *consumer) user(k *class, stop chan struct{}) {
	var f *consumerFlow
	for {
		select {
		case <-stop:
			if f != nil {
				f.close()
			}
			return
		case <-time.After(time.Duration(100+rand.IntN(300)) * time.Millisecond):
		}
		if f != nil && f.drained() {
			f.forget()
			f = nil
		}
		if f == nil {
			f = c.newFlow(k.route)
			if err := f.open(); err != nil {
				c.w.rec.log("not opened %s route %s through %s: %v", f.from, f.to, f.vm, err)
				f.forget()
				f = nil
				continue
			}
		}
		id, text := c.request(k)
		c.w.rec.log("sent %s class %s route %s from %s zone %s through %s", id, k.name, k.route, f.from, c.zone, f.vm)
		answer, closing, err := f.exchange(text, k.budget)
		c.finish(k, id, answer, err)
		if err != nil || closing {
			f.forget()
			f = nil
		}
	}
}

// traffic sends fresh requests at a rate until stop is closed.
func (c *consumer) traffic(k *class, perSecond float64, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			go c.fresh(k)
		}
	}
}
