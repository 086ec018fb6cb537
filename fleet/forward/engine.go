package forward

import (
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// target is an upstream with its load.
type target struct {
	entry *catalog.Entry
	load  *upstreamLoad
}

// view is the catalog in force with the loads of its upstreams.
type view struct {
	catalog *catalog.Catalog
	serving map[ident.ServiceName][]*target
	tokens  map[catalog.Token]*target
}

// loadKey tells the lives of an upstream apart.
type loadKey struct {
	id   catalog.UpstreamID
	born clock.Millis
}

// Seams report what an Engine concludes. They must not block.
type Seams struct {
	// Silent is told when an upstream falls silent or answers again.
	Silent func(u *catalog.Entry, silent bool)
	// Placed is told of each opening packet with what was decided.
	Placed func(p *Packet, d *Decision, u *catalog.Entry)
	// Lost is told of each flow that is reset since its upstream is lost.
	Lost func(p *Packet, u *catalog.Entry)
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
	flows  *table
	routes routeStats

	mu    sync.Mutex // guards loads and the replacement of the view
	loads map[loadKey]*upstreamLoad
	swept int

	// Forwarded, Placed and Unplaced count packets by what was decided.
	Forwarded, Placed atomic.Int64
	// Refused and Dropped count packets by reason.
	Refused, Dropped [ReasonCount]atomic.Int64
	// Flows is the number of flows remembered at the last sweep.
	Flows atomic.Int64
}

// New returns an engine of the given VM without a catalog.
func New(self ident.VMID, domain ident.DomainName, opts ...Option) *Engine {
	e := &Engine{
		self:   self,
		domain: domain,
		policy: DefaultPolicy(),
		flows:  newTable(),
		loads:  make(map[loadKey]*upstreamLoad),
		seams: Seams{
			Silent: func(*catalog.Entry, bool) {},
			Placed: func(*Packet, *Decision, *catalog.Entry) {},
			Lost:   func(*Packet, *catalog.Entry) {},
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
		v.tokens[t] = &target{entry: entry, load: load}
	})
	for _, service := range c.Config.Services {
		for _, entry := range c.Serving(service.Name) {
			if load := loads[loadKey{id: entry.ID, born: entry.Born}]; load != nil {
				v.serving[service.Name] = append(v.serving[service.Name], &target{entry: entry, load: load})
			}
		}
	}
	e.loads = loads
	e.view.Store(v)
}

// SetVMs sets the VMs that share the load of cold upstreams, self included.
func (e *Engine) SetVMs(vms []ident.VMID) { e.vms.Store(&vms) }

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
}

// Handle decides about a packet of a caller.
func (e *Engine) Handle(now clock.Millis, p *Packet) (d Decision) {
	v := e.view.Load()
	if v == nil {
		return e.drop(NoCatalog)
	}
	route, ok := v.catalog.Route(p.Service)
	if !ok {
		return e.refuse(NoRoute)
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
		f.uncountIfAny()
		f = flow{target: t, seq: p.Seq, ack: p.Ack}
	}
	e.learn(now, &f, p)
	f.seen = now
	s.flows[k] = f
	return e.forward(t, 0)
}

func (f *flow) uncountIfAny() {
	if f.target != nil {
		f.uncount()
	}
}

// learn updates the flow and its upstream's load and health from a packet.
func (e *Engine) learn(now clock.Millis, f *flow, p *Packet) {
	if p.Resetting || p.Closing {
		f.uncount()
		f.closed = true
		return
	}
	if f.closed {
		return
	}
	f.count()
	answered := f.linked && int32(p.Ack-f.ack) > 0
	if answered || !f.linked && f.opened {
		e.proved(now, f)
	}
	if answered && f.busyAt != 0 {
		f.finish()
		f.answers = min(f.answers+1, maxAnswers)
	}
	f.linked = true
	f.ack = p.Ack
	if p.Bytes == 0 {
		return
	}
	end := p.Seq + uint32(p.Bytes)
	if int32(end-f.seq) > 0 {
		f.seq = end
		f.begin(now)
		e.routes.requested(p.Service, f)
		return
	}
	e.stalled(now, f)
}

// proved takes note of a sign that the flow's upstream answers: the caller
// completed the opening, or acknowledged more.
func (e *Engine) proved(now clock.Millis, f *flow) {
	if f.target.load.answered(now) {
		e.seams.Silent(f.target.entry, false)
	}
}

// stalled counts a flow that waits in vain once between two signs of life.
func (e *Engine) stalled(now clock.Millis, f *flow) {
	if f.stallAt != 0 && f.stallAt >= f.target.load.provedAt() {
		return
	}
	f.stallAt = now
	if f.target.load.stall(now) {
		e.seams.Silent(f.target.entry, true)
	}
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

// Loads returns the load that this VM sees on each upstream, by token.
func (e *Engine) Loads() map[catalog.Token]Sum {
	sums := make(map[catalog.Token]Sum)
	v := e.view.Load()
	if v == nil {
		return sums
	}
	for _, list := range v.serving {
		for _, t := range list {
			s := Sum{Open: max(0, t.load.open.Load()), Busy: max(0, t.load.busy.Load())}
			if t.entry.Token != 0 && s != (Sum{}) {
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
	for _, list := range v.serving {
		for _, t := range list {
			s := sums[t.entry.Token]
			t.load.others.Store(&s)
		}
	}
}
