package emulator

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// Upstream is an emulated upstream server.
type Upstream struct {
	Domain ident.DomainName
	// Alive is false for an upstream that drops all packets, as after a power loss.
	Alive bool
	// Deregistered removes the upstream from the catalog with the next Publish.
	Deregistered bool
	// Speed divides the service times; 1 is normal.
	Speed float64
	// Failing makes the upstream reject every request at once.
	Failing bool
	// OpenTimes holds the arrival times of opening packets.
	OpenTimes []clock.Millis
	// Missed counts the opening packets that came while the upstream was not alive.
	Missed int
	// Served counts the completed requests, and Shed those refused as the queue was full
	// or the upstream was failing.
	Served, Shed int

	sim       *Simulation
	process   *process
	encapID   catalog.EncapID
	published catalog.Upstream
	// lose is the number of requests that the network still loses on their way to the
	// upstream, and loseTransmissions how many transmissions of each.
	lose, loseTransmissions int
	flows                   map[*Flow]bool
	starts                  int // how often the process was started again
	active                  int
	queue                   []func()
}

// SetCold sets how much longer the upstream is cold, as of the next Publish.
func (u *Upstream) SetCold(left clock.Millis) { u.published.RemainingColdMillis = left }

// LoseRequests makes the network lose the first transmissions of each of the next n
// requests to the upstream.
func (u *Upstream) LoseRequests(n, transmissions int) {
	u.lose, u.loseTransmissions = n, transmissions
}

// Crash stops the upstream from answering and drops its flows and requests.
func (u *Upstream) Crash() {
	u.Alive = false
	u.flows = make(map[*Flow]bool)
	u.active, u.queue = 0, nil
}

// StartAgain starts a crashed upstream under its identifier. The catalog does not tell.
func (u *Upstream) StartAgain() {
	u.Alive = true
	u.starts++
}

// Flows returns the number of open flows.
func (u *Upstream) Flows() int { return len(u.flows) }

// receive processes a packet of a caller.
func (u *Upstream) receive(f *Flow, p forward.Packet, token catalog.Token) {
	if !u.Alive {
		if p.Opening {
			u.Missed++
		}
		return
	}
	if p.Bytes > 0 && u.isLost(f) {
		return
	}
	if p.Opening {
		if u.sim.setup.MaxFlows > 0 && !u.flows[f] && len(u.flows) >= u.sim.setup.MaxFlows {
			return
		}
		u.OpenTimes = append(u.OpenTimes, u.sim.Now)
		starts := u.starts
		u.reply(f, func() { f.handleOpenReply(u, token, starts) })
		return
	}
	if f.upstream == u && f.upstreamStarts != u.starts {
		u.reply(f, f.handleReset) // a flow of the process before
		return
	}
	if p.Closing {
		delete(u.flows, f)
		return
	}
	if !u.flows[f] && f.upstream != u {
		return
	}
	u.flows[f] = true
	if p.Bytes == 0 {
		return
	}
	request := f.request
	u.reply(f, func() { f.handleAck(request) })
	if f.accepted == request {
		return
	}
	f.accepted = request
	u.enqueue(f, request)
}

// isLost reports whether the network loses the current transmission of a request.
func (u *Upstream) isLost(f *Flow) bool {
	if f.transmissions == 1 && u.lose > 0 {
		u.lose--
		f.lost = u.loseTransmissions
	}
	return f.transmissions <= f.lost
}

// reply sends a packet to the caller directly, bypassing the VMs; arrive runs unless
// it is lost.
func (u *Upstream) reply(f *Flow, arrive func()) {
	if u.sim.rng.Float64() < u.sim.setup.LossRate {
		return
	}
	u.sim.after(u.sim.delay(u.Domain, f.caller.Domain), arrive)
}

func (u *Upstream) enqueue(f *Flow, request int) {
	start := func() {
		u.active++
		u.sim.after(clock.Millis(float64(f.caller.load.ServiceTime(u.sim.rng))/u.Speed), func() { u.process.run(func() { u.completeRequest(f, request) }) })
	}
	switch {
	case u.Failing:
		u.Shed++
		u.reply(f, func() { f.handleResponse(request, false) })
	case u.active < u.sim.setup.Slots:
		start()
	case len(u.queue) < u.sim.setup.QueueCapacity:
		u.queue = append(u.queue, start)
	default:
		u.Shed++
		u.reply(f, func() { f.handleResponse(request, false) })
	}
}

func (u *Upstream) completeRequest(f *Flow, request int) {
	if !u.Alive {
		return
	}
	u.active--
	u.Served++
	u.sendResponse(f, request)
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		next()
	}
}

// sendResponse sends a response and retransmits it until the caller has received it.
func (u *Upstream) sendResponse(f *Flow, request int) {
	if !u.Alive || f.closed || f.request != request || f.answered {
		return
	}
	u.reply(f, func() { f.handleResponse(request, true) })
	u.sim.after(minRetransmitTimeout, func() { u.sendResponse(f, request) })
}
