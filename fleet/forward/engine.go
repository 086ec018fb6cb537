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

// Hooks report what an Engine concludes. They must not block.
type Hooks struct {
	// Health is told when the belief whether an upstream, or any upstream of
	// its failure domain, answers changes.
	Health func(b HealthChange)
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

// WithHooks sets who is told of conclusions.
func WithHooks(s Hooks) Option { return func(e *Engine) { e.seams = s } }

// Engine decides about packets. It is safe for concurrent use.
type Engine struct {
	self   ident.VMID
	domain ident.DomainName
	policy Policy
	seams  Hooks
	view   atomic.Pointer[view]
	vms    atomic.Pointer[[]ident.VMID]
	near   atomic.Int32
	// neighbours are the VMs that share what they see of upstreams.
	neighbours atomic.Pointer[[]ident.VMID]
	flows      *table
	routes     routeTable

	mu      sync.Mutex // guards what follows and the replacement of the view
	loads   map[loadKey]*upstreamLoad
	domains map[ident.DomainName]*health
	// suspects are the upstreams that something speaks against.
	suspects map[catalog.Token]*target
	given    []*upstreamLoad // lost upstreams whose flows are not yet given up

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
		self:     self,
		domain:   domain,
		policy:   DefaultPolicy(),
		flows:    newTable(),
		loads:    make(map[loadKey]*upstreamLoad),
		domains:  make(map[ident.DomainName]*health),
		suspects: make(map[catalog.Token]*target),
		seams: Hooks{
			Health: func(HealthChange) {},
			Placed: func(*Packet, Decision, *catalog.Entry) {},
			Lost:   func(*Packet, *catalog.Entry) {},
			Opened: func(clock.Millis) {}, Answered: func(clock.Millis) {},
		},
	}
	e.vms.Store(&[]ident.VMID{})
	e.neighbours.Store(&[]ident.VMID{})
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
		key := loadKey{id: entry.ID, born: entry.StartedAt}
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
	e.keepSuspects(v)
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

// SetVMs sets the VMs that share the load of cold upstreams, self included.
// Until then none goes there from this VM, which may not know all others yet.
func (e *Engine) SetVMs(vms []ident.VMID) { e.vms.Store(&vms) }

// SetLocalVMCount sets the number of VMs that place flows as this one does and tell
// their loads, self included.
func (e *Engine) SetLocalVMCount(n int) { e.near.Store(int32(n)) }

// SetNeighbours sets the living VMs of the own failure domain, self included, with
// which this one shares what it sees of upstreams.
func (e *Engine) SetNeighbours(vms []ident.VMID) { e.neighbours.Store(&vms) }

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

// Stranded reports whether no upstream that takes new flows answers from here. It
// is meant for a VM that hears no other failure domain, so upstreams elsewhere
// count as long as nothing speaks against their failure domain.
func (e *Engine) Stranded(now clock.Millis) bool {
	v := e.view.Load()
	if v == nil {
		return false
	}
	taking := false
	for _, list := range v.serving {
		for _, t := range list {
			if !t.entry.AcceptsNewFlows(now) {
				continue
			}
			if answers(t) && (e.isLocal(t) || t.domain.reachable()) {
				return false
			}
			taking = true
		}
	}
	return taking
}

// SetPartitioned sets whether no VM of a failure domain is heard, so that new flows
// better go elsewhere.
func (e *Engine) SetPartitioned(domain ident.DomainName, partitioned bool) {
	e.mu.Lock()
	h := e.domainHealth(domain)
	e.mu.Unlock()
	h.setPartitioned(partitioned)
}

// ResetDomainHealth forgets what was held against a failure domain and its upstreams
// while there was no path to it.
func (e *Engine) ResetDomainHealth(now clock.Millis, domain ident.DomainName) {
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
func (e *Engine) Loads() map[catalog.Token]Load {
	sums := make(map[catalog.Token]Load)
	if v := e.view.Load(); v != nil {
		for _, t := range v.targets {
			if s := t.load.own(); s != (Load{}) {
				sums[t.entry.Token] = s
			}
		}
	}
	return sums
}

// SetPeerLoads sets the load that other VMs put on each upstream, by token.
func (e *Engine) SetPeerLoads(sums map[catalog.Token]Load) {
	v := e.view.Load()
	if v == nil {
		return
	}
	for _, t := range v.targets {
		t.load.setOthers(sums[t.entry.Token])
	}
}
