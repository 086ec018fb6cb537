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
	// minRetransmitTimeout is the initial retransmission timeout. It doubles with each
	// retransmission, up to maxRetransmitTimeout.
	minRetransmitTimeout clock.Millis = 200
	maxRetransmitTimeout clock.Millis = 1600
	// openTimeout is the time after which an unanswered open fails.
	openTimeout   clock.Millis = 1400
	requestBytes               = 500
	responseBytes              = 2000
	// rejectionBytes is the size of the response to a shed request.
	rejectionBytes = 120
	firstPort      = 1024
)

// openTransmitTimes are the times, from the start of an open, at which its opening
// packet is sent.
var openTransmitTimes = []clock.Millis{0, 200, 600}

// Load describes a group of identical callers and counts the results of their
// requests.
type Load struct {
	Domain ident.DomainName
	// Address is the service address that the callers use.
	Address netip.AddrPort
	// Callers is the number of callers, each with at most one outstanding request.
	Callers int
	// ThinkTime is the mean time between the end of a request and the next one.
	ThinkTime clock.Millis
	// Persistent makes a caller reuse its flow for all its requests.
	Persistent bool
	// ServiceTime draws the time that an upstream takes for a request.
	ServiceTime func(rng *rand.Rand) clock.Millis
	// LatencyTarget is the latency up to which a response is on time, and Deadline the
	// time after which the caller abandons a request.
	LatencyTarget, Deadline clock.Millis
	// Retries is the maximum number of retries of a request.
	Retries int
	// Until is the time after which the callers close their flows in place of another
	// request, 0 if they go on.
	Until clock.Millis

	// Issued counts the requests made. Each ends as OnTime, as Late, that is answered
	// after the latency target, or as Failed.
	Issued, OnTime, Late, Failed int
	// Latencies holds the latency of each answered request.
	Latencies []clock.Millis

	byPort map[netip.AddrPort]*Flow
}

// Caller issues requests one at a time.
type Caller struct {
	Domain ident.DomainName

	sim     *Simulation
	load    *Load
	ip      netip.Addr
	flow    *Flow
	current *request
}

// request is a request of a caller with all its attempts.
type request struct {
	started clock.Millis
	retries int
}

// Flow is a connection of a caller to an upstream.
type Flow struct {
	caller   *Caller
	address  netip.AddrPort
	vm       *VM
	upstream *Upstream // nil until the open is answered
	// upstreamStarts tells which process of the upstream answered the open.
	upstreamStarts int
	token          catalog.Token
	seq, ack       uint32
	request        int // number of the current request
	accepted       int // number of the latest request that the upstream received
	// transmissions is how often the current request was sent, and lost up to which
	// of them the network loses it on its way to the upstream.
	transmissions, lost int
	acked               bool // the upstream acknowledged it
	answered            bool // the response arrived
	closed              bool
}

// Start starts the callers of a load, spread over one think time from now.
func (sim *Simulation) Start(l *Load) {
	l.byPort = make(map[netip.AddrPort]*Flow)
	sim.loads = append(sim.loads, l)
	for range l.Callers {
		sim.callers++
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], 100<<24|sim.callers)
		c := &Caller{Domain: l.Domain, sim: sim, load: l, ip: netip.AddrFrom4(ip)}
		sim.after(clock.Millis(sim.rng.IntN(int(l.ThinkTime)+1)), c.startRequest)
	}
}

// startRequest issues a request that fails when its deadline passes.
func (c *Caller) startRequest() {
	if c.load.Until != 0 && c.sim.Now >= c.load.Until {
		if c.flow != nil {
			c.flow.close()
		}
		return
	}
	c.load.Issued++
	r := &request{started: c.sim.Now}
	c.current = r
	c.sim.after(c.load.Deadline, func() {
		if c.current == r {
			c.load.Failed++
			c.finishRequest()
		}
	})
	c.attempt()
}

// attempt sends the current request over the caller's flow, or over a new one.
func (c *Caller) attempt() {
	if c.flow == nil {
		c.dial()
		return
	}
	c.flow.startRequest()
}

// finishRequest ends the current request and schedules the next one after the think
// time. It closes the flow unless it is persistent and the request was answered.
func (c *Caller) finishRequest() {
	served := c.flow != nil && c.flow.answered
	c.current = nil
	if c.flow != nil && (!served || !c.load.Persistent) {
		c.flow.close()
	}
	pause := c.load.ThinkTime/2 + clock.Millis(c.sim.rng.IntN(int(c.load.ThinkTime)+1))
	c.sim.after(pause, c.startRequest)
}

// retry makes another attempt at the current request if retries are left.
func (c *Caller) retry() {
	r := c.current
	if r == nil {
		return
	}
	if r.retries == c.load.Retries {
		return // the request fails at its deadline
	}
	r.retries++
	c.attempt()
}

// dial opens a flow.
func (c *Caller) dial() {
	sim := c.sim
	sim.port++
	f := &Flow{caller: c, address: netip.AddrPortFrom(c.ip, firstPort+sim.port), seq: sim.rng.Uint32(), request: 1}
	f.vm = sim.pickVM(c.Domain)
	c.load.byPort[f.address] = f
	c.flow = f
	for i, at := range openTransmitTimes {
		sim.after(at, func() {
			if f.upstream == nil && !f.closed {
				sim.handlePacket(f.vm, f, forward.Packet{Opening: true, Retransmits: i, Caller: f.address, Destination: f.caller.load.Address, Seq: f.seq})
			}
		})
	}
	sim.after(openTimeout, func() {
		if f.upstream == nil {
			f.handleReset()
		}
	})
}

// pickVM returns a random living VM of a failure domain.
func (sim *Simulation) pickVM(domain ident.DomainName) *VM {
	var near []*VM
	for _, vm := range sim.VMs {
		if vm.Domain == domain && !vm.dead {
			near = append(near, vm)
		}
	}
	return near[sim.rng.IntN(len(near))]
}

// startRequest starts another request on the flow. It is sent once the flow is open.
func (f *Flow) startRequest() {
	f.request++
	f.transmissions, f.lost, f.acked, f.answered = 0, 0, false, false
	if f.upstream != nil {
		f.sendRequest(minRetransmitTimeout)
	}
}

// handleOpenReply completes the open with the first reply; later replies are ignored.
func (f *Flow) handleOpenReply(u *Upstream, token catalog.Token, starts int) {
	if f.closed || f.upstream != nil {
		return
	}
	f.upstream, f.token, f.upstreamStarts = u, token, starts
	if starts == u.starts {
		u.flows[f] = true
	}
	f.seq++
	f.ack = f.caller.sim.rng.Uint32()
	f.sendPacket(0)
	f.sendRequest(minRetransmitTimeout)
}

// sendPacket sends a packet with a payload of n bytes.
func (f *Flow) sendPacket(n int) {
	f.caller.sim.handlePacket(f.vm, f, forward.Packet{
		Caller: f.address, Destination: f.caller.load.Address, Token: f.token, Seq: f.seq, Ack: f.ack, Bytes: n,
	})
}

// sendRequest sends the request and retransmits it with exponential backoff until the
// upstream acknowledges it.
func (f *Flow) sendRequest(repeat clock.Millis) {
	request := f.request
	f.transmissions++
	f.sendPacket(requestBytes)
	f.caller.sim.after(repeat, func() {
		if !f.closed && f.request == request && !f.acked && !f.answered {
			f.sendRequest(min(2*repeat, maxRetransmitTimeout))
		}
	})
}

// handleAck records that the upstream acknowledged the request.
func (f *Flow) handleAck(request int) {
	if request == f.request {
		f.acked = true
	}
}

// handleResponse processes a response. A shed request has not run and is retried.
func (f *Flow) handleResponse(request int, served bool) {
	if f.closed || f.answered || request != f.request {
		return
	}
	f.answered = true
	f.seq += requestBytes
	c := f.caller
	if !served {
		f.ack += rejectionBytes
		f.sendPacket(0)
		f.close()
		c.retry()
		return
	}
	f.ack += responseBytes
	f.sendPacket(0)
	took := c.sim.Now - c.current.started
	c.load.Latencies = append(c.load.Latencies, took)
	if took <= c.load.LatencyTarget {
		c.load.OnTime++
	} else {
		c.load.Late++
	}
	c.finishRequest()
}

// close closes the flow on behalf of the caller.
func (f *Flow) close() {
	if f.closed {
		return
	}
	f.caller.sim.handlePacket(f.vm, f, forward.Packet{
		Caller: f.address, Destination: f.caller.load.Address, Token: f.token, Seq: f.seq, Ack: f.ack, Closing: true,
	})
	f.remove()
}

// handleReset retries the request after the flow was reset or failed to open.
func (f *Flow) handleReset() {
	if f.closed {
		return
	}
	f.remove()
	f.caller.retry()
}

func (f *Flow) remove() {
	f.closed = true
	delete(f.caller.load.byPort, f.address)
	if f.caller.flow == f {
		f.caller.flow = nil
	}
}
