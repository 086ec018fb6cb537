package emulator

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	// firstRepeat is the wait before data is sent again. It doubles up to
	// lastRepeat.
	firstRepeat clock.Millis = 200
	lastRepeat  clock.Millis = 1600
	// openGiveUp ends an opening that was not answered.
	openGiveUp   clock.Millis = 1400
	requestBytes              = 500
	answerBytes               = 2000
	firstPort                 = 1024
)

// openCopies are the times after which an opening packet is sent again.
var openCopies = []clock.Millis{0, 200, 600}

// Load describes callers that do the same, and counts what becomes of their
// requests.
type Load struct {
	Domain ident.DomainName
	// Address is what the callers call.
	Address netip.AddrPort
	// Callers is the number of callers, each with one request at a time.
	Callers int
	// ThinkTime is the mean time between a caller's requests.
	ThinkTime clock.Millis
	// Persistent keeps a flow for all requests of a caller.
	Persistent bool
	// ServiceTime draws the time that a request takes.
	ServiceTime func(rng *rand.Rand) clock.Millis
	// LatencyTarget is the time within which a request is served well, Deadline the one
	// after which the caller gives it up.
	LatencyTarget, Deadline clock.Millis
	Retries                 int

	Issued, OnTime, Late, Failed int

	byPort map[netip.AddrPort]*Flow
}

// Caller makes one request after the other.
type Caller struct {
	Domain ident.DomainName

	world   *Simulation
	load    *Load
	ip      netip.Addr
	flow    *Flow
	current *request
}

// request is a caller's request over all its attempts.
type request struct {
	begun   clock.Millis
	retries int
}

// Flow is a caller's flow.
type Flow struct {
	caller   *Caller
	address  netip.AddrPort
	vm       *VM
	upstream *Upstream // nil until the opening was answered
	token    catalog.Token
	seq, ack uint32
	request  int  // number of the request under way
	working  int  // number of the request that the upstream took
	sent     bool // the request was sent
	acked    bool // the upstream has it
	done     bool // it was answered
	closed   bool
}

// Start begins a load at the world's time.
func (w *Simulation) Start(l *Load) {
	l.byPort = make(map[netip.AddrPort]*Flow)
	w.loads = append(w.loads, l)
	for range l.Callers {
		w.hosts++
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], 100<<24|w.hosts)
		c := &Caller{Domain: l.Domain, world: w, load: l, ip: netip.AddrFrom4(ip)}
		w.after(clock.Millis(w.rng.IntN(int(l.ThinkTime)+1)), c.ask)
	}
}

// ask makes a request.
func (c *Caller) ask() {
	c.load.Issued++
	r := &request{begun: c.world.Now}
	c.current = r
	c.world.after(c.load.Deadline, func() {
		if c.current == r {
			c.load.Failed++
			c.next()
		}
	})
	c.attempt()
}

// attempt sends the request over the caller's flow, or over a new one.
func (c *Caller) attempt() {
	if c.flow == nil {
		c.dial()
		return
	}
	c.flow.begin()
}

// next ends the request under way and makes the next one after a pause.
func (c *Caller) next() {
	served := c.flow != nil && c.flow.done
	c.current = nil
	if c.flow != nil && (!served || !c.load.Persistent) {
		c.flow.close()
	}
	pause := c.load.ThinkTime/2 + clock.Millis(c.world.rng.IntN(int(c.load.ThinkTime)+1))
	c.world.after(pause, c.ask)
}

// retry makes another attempt at the request under way, if it may.
func (c *Caller) retry() {
	r := c.current
	if r == nil {
		return
	}
	if r.retries == c.load.Retries {
		return // the deadline passes
	}
	r.retries++
	c.attempt()
}

// dial opens a flow.
func (c *Caller) dial() {
	w := c.world
	w.port++
	f := &Flow{caller: c, address: netip.AddrPortFrom(c.ip, firstPort+w.port), seq: w.rng.Uint32(), request: 1}
	f.vm = w.near(c.Domain)
	c.load.byPort[f.address] = f
	c.flow = f
	for i, at := range openCopies {
		w.after(at, func() {
			if f.upstream == nil && !f.closed {
				w.packet(f.vm, f, forward.Packet{Opening: true, Retransmits: i, Caller: f.address, Service: f.caller.load.Address, Seq: f.seq})
			}
		})
	}
	w.after(openGiveUp, func() {
		if f.upstream == nil {
			f.ended()
		}
	})
}

// near picks a VM of a failure domain.
func (w *Simulation) near(domain ident.DomainName) *VM {
	var near []*VM
	for _, vm := range w.VMs {
		if vm.Domain == domain {
			near = append(near, vm)
		}
	}
	return near[w.rng.IntN(len(near))]
}

// begin sends a further request over an open flow.
func (f *Flow) begin() {
	f.request++
	f.sent, f.acked, f.done = false, false, false
	if f.upstream != nil {
		f.send(firstRepeat)
	}
}

// opened takes the answer to the opening. Later ones are ignored.
func (f *Flow) opened(u *Upstream, token catalog.Token) {
	if f.closed || f.upstream != nil {
		return
	}
	f.upstream, f.token = u, token
	u.flows[f] = true
	f.seq++
	f.ack = f.caller.world.rng.Uint32()
	f.put(0)
	f.send(firstRepeat)
}

// put sends a packet with n bytes of data.
func (f *Flow) put(n int) {
	f.caller.world.packet(f.vm, f, forward.Packet{
		Caller: f.address, Service: f.caller.load.Address, Token: f.token, Seq: f.seq, Ack: f.ack, Bytes: n,
	})
}

// send sends the request again and again until the upstream has it.
func (f *Flow) send(repeat clock.Millis) {
	request := f.request
	f.sent = true
	f.put(requestBytes)
	f.caller.world.after(repeat, func() {
		if !f.closed && f.request == request && !f.acked && !f.done {
			f.send(min(2*repeat, lastRepeat))
		}
	})
}

// acknowledged takes the upstream's acknowledgement of the request.
func (f *Flow) acknowledged(request int) {
	if request == f.request {
		f.acked = true
	}
}

// answered takes an answer. One that was shed has not run, and is tried again.
func (f *Flow) answered(request int, served bool) {
	if f.closed || f.done || request != f.request {
		return
	}
	f.done = true
	f.seq += requestBytes
	f.ack += answerBytes
	f.put(0)
	c := f.caller
	if !served {
		f.close()
		c.retry()
		return
	}
	if took := c.world.Now - c.current.begun; took <= c.load.LatencyTarget {
		c.load.OnTime++
	} else {
		c.load.Late++
	}
	c.next()
}

// close ends the flow from the caller's side.
func (f *Flow) close() {
	if f.closed {
		return
	}
	f.caller.world.packet(f.vm, f, forward.Packet{
		Caller: f.address, Service: f.caller.load.Address, Token: f.token, Seq: f.seq, Ack: f.ack, Closing: true,
	})
	f.forget()
}

// ended takes the news that the flow was reset or never opened.
func (f *Flow) ended() {
	if f.closed {
		return
	}
	f.forget()
	f.caller.retry()
}

func (f *Flow) forget() {
	f.closed = true
	delete(f.caller.load.byPort, f.address)
	if f.caller.flow == f {
		f.caller.flow = nil
	}
}
