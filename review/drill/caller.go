package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/amaranthswitch/amaranthswitch/standin/flowend"
)

// Times of a caller.
const (
	openTimeout = 1400 * time.Millisecond
	maxWindow   = 76_800
)

// openCopies are the times after which the copies of an opening packet are sent.
var openCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

var (
	errRefused     = errors.New("reset by the system before the flow opened")
	errSystemReset = errors.New("reset by the system")
	errServerReset = errors.New("reset by an upstream")
	errTimeout     = errors.New("no answer in time")
)

// caller opens flows from one address.
type caller struct {
	f      *fleet
	ip     netip.Addr
	domain string
	conn   *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// sentTimes holds when the opening packets were first sent, by port. Each caller of a
// drill uses ports of its own.
var sentTimes sync.Map

// sentAt returns when the caller with the given port first sent its opening packet.
func (r *recorder) sentAt(port uint16) time.Time {
	at, ok := sentTimes.Load(port)
	if !ok {
		return time.Time{}
	}
	return at.(time.Time)
}

// addCaller starts a caller in a failure domain. Its ports begin at firstPort.
func (f *fleet) addCaller(host int, domain string, firstPort uint16) (c *caller, err error) {
	addr := netip.MustParseAddrPort(f.address(host, packetsPort))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	c = &caller{f: f, ip: addr.Addr(), domain: domain, conn: conn, port: firstPort, flows: make(map[uint16]*flow)}
	go c.read()
	return c, nil
}

func (c *caller) read() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		p, ok := flowend.Parse(buf[:n])
		if !ok {
			c.f.record.add("CORRUPT packet at a caller")
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

// flow is a flow of a caller. It is used by one goroutine.
type flow struct {
	c        *caller
	from, to netip.AddrPort
	token    uint32
	seq, ack uint32
	received chan flowend.Packet
}

// open opens a flow to a service.
func (c *caller) open(service netip.AddrPort) (f *flow, err error) {
	c.mu.Lock()
	c.port++
	f = &flow{c: c, from: netip.AddrPortFrom(c.ip, c.port), to: service, seq: uint32(time.Now().UnixNano()), received: make(chan flowend.Packet, 32)}
	c.flows[c.port] = f
	c.mu.Unlock()
	begin := time.Now()
	sentTimes.Store(f.from.Port(), begin)
	f.send(flowend.FlagSYN, 0, nil)
	for copies := 0; ; {
		next := openTimeout
		if copies < len(openCopies) {
			next = openCopies[copies]
		}
		select {
		case p := <-f.received:
			switch {
			case p.Flags&flowend.FlagRST != 0 && p.Checksum == 0:
				return f, errRefused
			case p.Flags&flowend.FlagRST != 0:
				return f, errServerReset
			case p.Flags&flowend.FlagSYN != 0:
				f.seq, f.ack, f.token = f.seq+1, p.Seq+1, p.Token
				f.send(flowend.FlagACK, f.ack, nil)
				return f, nil
			}
		case <-time.After(time.Until(begin.Add(next))):
			if copies == len(openCopies) {
				return f, errTimeout
			}
			copies++
			f.send(flowend.FlagSYN, uint32(copies), nil)
		}
	}
}

// request sends a request and waits for the answer.
func (f *flow) request(text string, within time.Duration) (err error) {
	f.drain()
	f.c.f.record.add("request %s is sent on flow %s", text, f.from)
	defer func() {
		if err != nil {
			f.c.f.record.add("request %s on flow %s ends: %v", text, f.from, err)
		} else {
			f.c.f.record.add("request %s is answered", text)
		}
	}()
	deadline, wait := time.After(within), firstRetransmit
	end := f.seq + uint32(len(text))
	acked := false
	f.send(flowend.FlagACK, f.ack, []byte(text))
	again := time.After(wait)
	for {
		select {
		case p := <-f.received:
			if p.Flags&flowend.FlagRST != 0 {
				if err := f.reset(&p); err != nil {
					return err
				}
				continue
			}
			acked = acked || int32(p.Ack-end) >= 0
			if len(p.Data) > 0 && p.Seq == f.ack {
				f.seq, f.ack, f.token = end, p.Seq+uint32(len(p.Data)), p.Token
				f.send(flowend.FlagACK, f.ack, nil)
				return nil
			}
		case <-again:
			if !acked {
				f.send(flowend.FlagACK, f.ack, []byte(text))
			}
			wait = min(2*wait, lastRetransmit)
			again = time.After(wait)
		case <-deadline:
			return errTimeout
		}
	}
}

// reset returns the error of a reset, or nil if it does not belong to the open flow.
func (f *flow) reset(p *flowend.Packet) error {
	distance := int32(p.Seq - f.ack)
	if distance < -maxWindow || distance > maxWindow {
		return nil
	}
	if p.Checksum == 0 {
		return errSystemReset
	}
	return errServerReset
}

// drain drops packets that came between two requests.
func (f *flow) drain() {
	for {
		select {
		case <-f.received:
		default:
			return
		}
	}
}

// close sends a FIN.
func (f *flow) close() {
	f.send(flowend.FlagFIN|flowend.FlagACK, f.ack, nil)
	c := f.c
	time.AfterFunc(time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.flows, f.from.Port())
	})
}

// send sends a packet through the VM that the routers choose.
func (f *flow) send(flags byte, ack uint32, data []byte) {
	p := flowend.Packet{Flags: flags, Token: f.token, Seq: f.seq, Ack: ack, To: f.to, From: f.from, Data: data}
	if flags == flowend.FlagSYN {
		p.Token = 0
	}
	v := f.c.f.route(f.c.domain, f.from.Port())
	_, _ = f.c.conn.WriteToUDPAddrPort(p.Append(nil), v.packets())
}

// once opens a flow, sends a request and closes the flow.
func (c *caller) once(service netip.AddrPort, text string, within time.Duration) error {
	f, err := c.open(service)
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	defer f.close()
	return f.request(text, within)
}
