package emulator

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// Upstream is an emulated upstream.
type Upstream struct {
	Domain ident.DomainName
	// Alive upstreams answer. The others are silent, as if without power.
	Alive bool
	// Deregistered upstreams are no longer published.
	Deregistered bool
	// Speed divides the time of requests.
	Speed float64
	// OpenTimes holds the times at which flows were opened.
	OpenTimes []clock.Millis
	// Served counts the requests answered, Shed those refused.
	Served, Shed int

	world     *Simulation
	name      catalog.PacketName
	published catalog.Upstream
	flows     map[*Flow]bool
	busy      int
	waiting   []func()
}

// SetCold publishes how much longer the upstream is cold.
func (u *Upstream) SetCold(left clock.Millis) { u.published.ColdMillis = left }

// Crash makes the upstream silent and forget its flows.
func (u *Upstream) Crash() {
	u.Alive = false
	u.flows = make(map[*Flow]bool)
	u.busy, u.waiting = 0, nil
}

// Flows returns the number of flows that the upstream holds.
func (u *Upstream) Flows() int { return len(u.flows) }

// receive takes a packet of a caller.
func (u *Upstream) receive(f *Flow, p forward.Packet, token catalog.Token) {
	if !u.Alive {
		return
	}
	if p.Opening {
		u.OpenTimes = append(u.OpenTimes, u.world.Now)
		u.answer(f, func() { f.opened(u, token) })
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
	u.answer(f, func() { f.acknowledged(request) })
	if f.working == request {
		return
	}
	f.working = request
	u.enqueue(f, request)
}

// answer sends something to the caller directly.
func (u *Upstream) answer(f *Flow, arrive func()) {
	if u.world.rng.Float64() < u.world.setup.LossRate {
		return
	}
	u.world.after(delay(u.Domain, f.caller.Domain), arrive)
}

func (u *Upstream) enqueue(f *Flow, request int) {
	work := func() {
		u.busy++
		u.world.after(clock.Millis(float64(f.caller.load.ServiceTime(u.world.rng))/u.Speed), func() { u.done(f, request) })
	}
	switch {
	case u.busy < u.world.setup.Slots:
		work()
	case len(u.waiting) < u.world.setup.QueueCapacity:
		u.waiting = append(u.waiting, work)
	default:
		u.Shed++
		u.answer(f, func() { f.answered(request, false) })
	}
}

func (u *Upstream) done(f *Flow, request int) {
	if !u.Alive {
		return
	}
	u.busy--
	u.Served++
	u.deliver(f, request)
	if len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		next()
	}
}

// deliver sends an answer until the caller has it.
func (u *Upstream) deliver(f *Flow, request int) {
	if !u.Alive || f.closed || f.request != request || f.done {
		return
	}
	u.answer(f, func() { f.answered(request, true) })
	u.world.after(firstRepeat, func() { u.deliver(f, request) })
}
