package forward

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// target is an upstream with its load.
type target struct {
	entry  *catalog.Entry
	load   *upstreamLoad
	domain *health
}

// view is the catalog in force with the loads of its upstreams.
type view struct {
	catalog *catalog.Catalog
	serving map[ident.ServiceName][]*target
	tokens  map[catalog.Token]*target
	targets []*target // each once
}

// loadKey tells the lives of an upstream apart.
type loadKey struct {
	id   catalog.UpstreamID
	born clock.Millis
}

// Seams report what an Engine concludes. They must not block.
type Seams struct {
	// Health is told when the belief whether an upstream, or any upstream of
	// its failure domain, answers changes.
	Health func(u *catalog.Entry, wholeDomain bool, from, to string)
	// Placed is told of each opening packet with what was decided.
	Placed func(p *Packet, d Decision, u *catalog.Entry)
	// Lost is told of each flow that is reset since its upstream is lost.
	Lost func(p *Packet, u *catalog.Entry)
	// Opened is told how long an upstream took to answer an opening packet, and
	// Answered how long it took to answer a request, seen from this VM.
	Opened, Answered func(took clock.Millis)
}

// Option configures an Engine.
type Option func(*Engine)

// WithPolicy replaces the policy of placement.
func WithPolicy(p Policy) Option { return func(e *Engine) { e.policy = p } }

// WithSeams sets who is told of conclusions.
func WithSeams(s Seams) Option { return func(e *Engine) { e.seams = s } }

// Engine decides about packets. It is safe for concurrent use.
type Engine struct {
	self   ident.VMID
	domain ident.DomainName
	policy Policy
	seams  Seams
	view   atomic.Pointer[view]
	vms    atomic.Pointer[[]ident.VMID]
	near   atomic.Int32
	flows  *table
	routes routeTable

	mu      sync.Mutex // guards what follows and the replacement of the view
	loads   map[loadKey]*upstreamLoad
	domains map[ident.DomainName]*health
	given   []*upstreamLoad // lost upstreams whose flows are not yet given up

	arrived   atomic.Int64 // clock.Millis of sending, see pathProved
	swept     int
	learnedAt clock.Millis

	// Forwarded counts packets, Placed new flows.
	Forwarded, Placed atomic.Int64
	// Refused and Dropped count packets by reason.
	Refused, Dropped [ReasonCount]atomic.Int64
	// Flows is the number of flows remembered at the last sweep.
	Flows atomic.Int64
}

// New returns an engine of the given VM without a catalog.
func New(self ident.VMID, domain ident.DomainName, opts ...Option) *Engine {
	e := &Engine{
		self:    self,
		domain:  domain,
		policy:  DefaultPolicy(),
		flows:   newTable(),
		loads:   make(map[loadKey]*upstreamLoad),
		domains: make(map[ident.DomainName]*health),
		seams: Seams{
			Health: func(*catalog.Entry, bool, string, string) {},
			Placed: func(*Packet, Decision, *catalog.Entry) {},
			Lost:   func(*Packet, *catalog.Entry) {},
			Opened: func(clock.Millis) {}, Answered: func(clock.Millis) {},
		},
	}
	e.vms.Store(&[]ident.VMID{self})
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetCatalog replaces the catalog. Loads and flows stay.
func (e *Engine) SetCatalog(c *catalog.Catalog) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := &view{
		catalog: c,
		serving: make(map[ident.ServiceName][]*target),
		tokens:  make(map[catalog.Token]*target),
	}
	loads := make(map[loadKey]*upstreamLoad, len(e.loads))
	c.EachToken(func(t catalog.Token, entry *catalog.Entry) {
		key := loadKey{id: entry.ID, born: entry.Born}
		load := loads[key]
		if load == nil {
			if load = e.loads[key]; load == nil {
				load = &upstreamLoad{}
			}
			loads[key] = load
		}
		v.tokens[t] = &target{entry: entry, load: load, domain: e.domainHealth(entry.Domain)}
	})
	for _, service := range c.Config.Services {
		for _, entry := range c.Serving(service.Name) {
			if t := v.tokens[entry.Token]; t != nil {
				v.serving[service.Name] = append(v.serving[service.Name], t)
				v.targets = append(v.targets, t)
			}
		}
	}
	e.loads = loads
	e.view.Store(v)
	e.routes.keep(func(a netip.AddrPort) bool { _, ok := c.Route(a); return ok })
}

// domainHealth returns the health of a failure domain. The caller holds mu.
func (e *Engine) domainHealth(name ident.DomainName) *health {
	h := e.domains[name]
	if h == nil {
		h = &health{}
		e.domains[name] = h
	}
	return h
}

// SetVMs sets the VMs that share the load of cold upstreams, self included, and
// the number of those that place flows as this one does and tell their loads.
func (e *Engine) SetVMs(vms []ident.VMID, near int) {
	e.vms.Store(&vms)
	e.near.Store(int32(near))
}

// Ready reports whether the engine has a catalog.
func (e *Engine) Ready() bool { return e.view.Load() != nil }

// Catalog returns the catalog in force, or nil.
func (e *Engine) Catalog() *catalog.Catalog {
	if v := e.view.Load(); v != nil {
		return v.catalog
	}
	return nil
}

// Tick forgets old flows. It is to be called every few tens of milliseconds.
func (e *Engine) Tick(now clock.Millis) {
	s := &e.flows.shards[e.swept%shardCount]
	left := s.sweep(now)
	e.swept++
	e.Flows.Store(int64(left) * shardCount)
	if v := e.view.Load(); v != nil {
		for _, t := range v.targets {
			t.load.sample()
		}
	}
	if now-e.learnedAt >= learnEvery {
		e.learnedAt = now
		e.routes.learn()
	}
}

// Handle decides about a packet of a caller.
func (e *Engine) Handle(now clock.Millis, p *Packet) (d Decision) {
	v := e.view.Load()
	if v == nil {
		return e.drop(NoCatalog)
	}
	route, ok := v.catalog.Route(p.Service)
	if !ok {
		d = e.refuse(NoRoute)
		if p.Opening {
			e.seams.Placed(p, d, nil)
		}
		return d
	}
	if p.Opening {
		return e.open(now, v, route, p)
	}
	t, ok := v.tokens[p.Token]
	if !ok {
		return e.drop(UnknownToken)
	}
	return e.follow(now, t, p)
}

// follow forwards a packet of an open flow and learns from it.
func (e *Engine) follow(now clock.Millis, t *target, p *Packet) Decision {
	k := keyOf(p)
	s := e.flows.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	f, known := s.flows[k]
	if !known || f.target.load != t.load {
		f.end()
		f = flow{target: t, route: e.routes.of(p.Service), seq: p.Seq, ack: p.Ack}
	}
	e.learn(now, &f, p)
	f.seen = now
	if p.Bytes > 0 && !f.closed && e.isLost(now, &f) {
		f.end()
		s.flows[k] = f
		e.seams.Lost(p, t.entry)
		return e.refuse(UpstreamLost)
	}
	s.flows[k] = f
	return e.forward(t, 0)
}

// isLost reports whether a flow that sends data is given up: nothing answers
// on its upstream, or the flow itself sends again and nothing answers in the
// whole failure domain, or the upstream is no longer published. A flow of an
// upstream that was not found lost may only have come upon others that are.
func (e *Engine) isLost(now clock.Millis, f *flow) bool {
	if f.target.load.health.condition() == lost {
		return true
	}
	gone := f.target.entry.Removed && now >= f.target.entry.LapsedUntil && now-f.sentAt >= goneAfter
	return f.stallAt == now && e.pathProved() > f.sentAt && (gone || f.target.domain.condition() == lost)
}

// learn updates the flow and its upstream's load and health from a packet.
func (e *Engine) learn(now clock.Millis, f *flow, p *Packet) {
	if p.Resetting || p.Closing {
		f.end()
		return
	}
	if f.closed {
		return
	}
	f.count()
	switch {
	case f.linked && int32(p.Ack-f.ack) > 0:
		e.proved(f)
		if f.answered() {
			e.seams.Answered(now - f.sentAt)
		}
	case !f.linked && f.opened:
		e.proved(f)
		e.seams.Opened(now - f.sentAt)
	}
	f.linked = true
	f.ack = p.Ack
	if p.Bytes == 0 {
		return
	}
	end := p.Seq + uint32(p.Bytes)
	if int32(end-f.seq) <= 0 {
		e.repeated(now, f)
		return
	}
	f.seq = end
	if !f.asked {
		f.asked = true
		f.sentAt = now
		if f.answers == 1 {
			f.route.repeated()
		}
	}
	f.begin(now)
}

// proved takes note of a sign that the flow's upstream has what the flow sent
// last: the caller completed the opening, or acknowledged more.
func (e *Engine) proved(f *flow) {
	for {
		old := e.arrived.Load()
		if int64(f.sentAt) <= old || e.arrived.CompareAndSwap(old, int64(f.sentAt)) {
			break
		}
	}
	before, after := f.target.load.health.answered(f.sentAt)
	e.report(f, false, before, after)
	before, after = f.target.domain.answered(f.sentAt)
	e.report(f, true, before, after)
}

// pathProved returns when the newest thing was sent that arrived anywhere.
func (e *Engine) pathProved() clock.Millis { return clock.Millis(e.arrived.Load()) }

// report tells of a change of what is believed.
func (e *Engine) report(f *flow, wholeDomain bool, before, after condition) {
	if before != after {
		e.seams.Health(f.target.entry, wholeDomain, before.String(), after.String())
	}
}

// repeated takes note that the caller sent something again, which it does
// without an acknowledgement.
func (e *Engine) repeated(now clock.Millis, f *flow) {
	if now-f.sentAt < repeatAfter {
		return // out of order, or queued with the first one
	}
	if f.target.load.health.answeredSince(f.sentAt) {
		return // others were answered since: this was lost on its way
	}
	path := e.pathProved()
	counted := f.stalledSent == f.sentAt
	f.stallAt, f.stalledSent = now, f.sentAt
	before, after := f.target.load.health.stall(now, f.sentAt, path, counted, f.target.load, 1)
	e.report(f, false, before, after)
	if before != lost && after == lost {
		e.giveUp(f.target.load)
	}
	before, after = f.target.domain.stall(now, f.sentAt, path, counted, f.target.load, 2)
	e.report(f, true, before, after)
}

const (
	// repeatAfter is the least time after which a caller sends something again.
	repeatAfter clock.Millis = 150
	// goneAfter is how long a flow must wait for an upstream that is no longer
	// published: two packets in a row are seldom lost.
	goneAfter clock.Millis = 500
)

func (e *Engine) giveUp(l *upstreamLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given = append(e.given, l)
}

// GivenUp returns the packets to be answered with a reset: those of the flows
// that were seen to wait in vain for an upstream just found lost.
func (e *Engine) GivenUp() (packets []Packet) {
	e.mu.Lock()
	given := e.given
	e.given = nil
	e.mu.Unlock()
	for _, l := range given {
		for i := range e.flows.shards {
			packets = e.flows.shards[i].giveUp(l, packets, e.seams.Lost)
		}
	}
	e.Refused[UpstreamLost].Add(int64(len(packets)))
	return packets
}

func (e *Engine) forward(t *target, token catalog.Token) Decision {
	e.Forwarded.Add(1)
	return Decision{Action: Forward, To: t.entry.Address, Name: t.entry.Name, Token: token}
}

func (e *Engine) drop(r Reason) Decision {
	e.Dropped[r].Add(1)
	return Decision{Action: Drop, Reason: r}
}

func (e *Engine) refuse(r Reason) Decision {
	e.Refused[r].Add(1)
	return Decision{Action: Refuse, Reason: r}
}

// Stranded reports whether no upstream that takes new flows answers from here.
func (e *Engine) Stranded(now clock.Millis) bool {
	v := e.view.Load()
	if v == nil {
		return false
	}
	taking := false
	for _, list := range v.serving {
		for _, t := range list {
			if !t.entry.TakesNew(now) {
				continue
			}
			if answers(t) {
				return false
			}
			taking = true
		}
	}
	return taking
}

// SetUnheard sets whether no VM of a failure domain is heard, so that new flows
// better go elsewhere.
func (e *Engine) SetUnheard(domain ident.DomainName, unheard bool) {
	e.mu.Lock()
	h := e.domainHealth(domain)
	e.mu.Unlock()
	h.setUnheard(unheard)
}

// PathBack forgets what was held against a failure domain and its upstreams
// while there was no path to it.
func (e *Engine) PathBack(now clock.Millis, domain ident.DomainName) {
	v := e.view.Load()
	if v == nil {
		return
	}
	for _, t := range v.tokens {
		if t.entry.Domain == domain {
			t.load.health.answered(now)
			t.domain.answered(now)
		}
	}
}

// Loads returns the load that passes this VM on each upstream, by token.
func (e *Engine) Loads() map[catalog.Token]Sum {
	sums := make(map[catalog.Token]Sum)
	if v := e.view.Load(); v != nil {
		for _, t := range v.targets {
			if s := t.load.own(); s != (Sum{}) {
				sums[t.entry.Token] = s
			}
		}
	}
	return sums
}

// SetOthers sets the load that other VMs put on each upstream, by token.
func (e *Engine) SetOthers(sums map[catalog.Token]Sum) {
	v := e.view.Load()
	if v == nil {
		return
	}
	for _, t := range v.targets {
		t.load.setOthers(sums[t.entry.Token])
	}
}
