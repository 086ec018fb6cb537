package forward

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/admission"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// target is an upstream with its load and the health of its failure domain.
type target struct {
	entry  *catalog.Entry
	load   *upstreamLoad
	domain *domainHealth
	// slowStart is the slow start time of the service.
	slowStart clock.Millis
}

// view is the current catalog with the load of each upstream.
type view struct {
	catalog *catalog.Catalog
	serving map[ident.ServiceName][]*target
	tokens  map[catalog.Token]*target
	targets []*target // those in serving; tokens may hold several for an upstream
	// admission holds the services with a route.
	admission map[ident.ServiceName]*serviceAdmission
}

// loadKey identifies one run of an upstream. A restarted upstream has a new
// startedAt if it publishes its start time.
type loadKey struct {
	id        catalog.UpstreamID
	startedAt clock.Millis
}

// Hooks are called on the events of an Engine. They must not block.
type Hooks struct {
	// Health is called when the health state of an upstream or of a failure
	// domain changes.
	Health func(c HealthChange)
	// Placed is called for each opening packet with the decision. The entry is
	// nil if the packet is refused.
	Placed func(p *Packet, d Decision, u *catalog.Entry)
	// Lost is called for each flow that is reset because its upstream is lost.
	Lost func(p *Packet, u *catalog.Entry)
	// Distrusted is called when the VM begins to distrust its evidence.
	Distrusted func(c DistrustCause)
	// Opened is called with the time from an opening packet to the next packet
	// of the flow, and Answered with the time from a request to its first
	// acknowledged answer, both as seen by this VM.
	Opened, Answered func(took clock.Millis)
	// Admission is called when the admitted share of new flows of a priority changes,
	// at most once per second for each service.
	Admission func(c AdmissionChange)
}

// Option configures an Engine.
type Option func(*Engine)

// WithPolicy sets the placement policy.
func WithPolicy(p Policy) Option { return func(e *Engine) { e.policy = p } }

// WithHooks sets the hooks. All of them must be non-nil.
func WithHooks(h Hooks) Option { return func(e *Engine) { e.hooks = h } }

// Engine decides how to handle packets. It is safe for concurrent use.
type Engine struct {
	self   ident.VMID
	domain ident.DomainName
	policy Policy
	hooks  Hooks
	// admissionOptions are those of the admission controllers.
	admissionOptions []admission.Option
	view             atomic.Pointer[view]
	vms              atomic.Pointer[[]ident.VMID]
	localVMCount     atomic.Int32
	// domainVMs are the VMs that exchange evidence about upstreams.
	domainVMs atomic.Pointer[[]ident.VMID]
	flows     *flowTable
	routes    routeTable

	mu      sync.Mutex // guards the fields below and stores to view
	loads   map[loadKey]*upstreamLoad
	domains map[ident.DomainName]*domainHealth
	// suspects are the upstreams with evidence of failure.
	suspects  map[catalog.Token]*target
	lostLoads []*upstreamLoad // lost upstreams whose stalled flows are not reset yet

	newestAck       atomic.Int64 // sending time in clock.Millis, see pathAckedAt
	localHealth     localHealth
	nextShard       int
	routesUpdatedAt clock.Millis

	// Forwarded counts packets and Placed counts new flows.
	Forwarded, Placed atomic.Int64
	// Refused and Dropped count packets by reason. Refused[UpstreamLost] also
	// counts resets of flows that sent no further packet.
	Refused, Dropped [ReasonCount]atomic.Int64
	// RejectedAnswers counts the answers that reject a request.
	RejectedAnswers atomic.Int64
	// LateTicks counts the calls of Tick that came late.
	LateTicks atomic.Int64
	// Flows is the estimated number of tracked flows, extrapolated from the
	// last shard swept.
	Flows atomic.Int64
}

// New returns an engine for the given VM. It drops all packets until SetCatalog
// is called.
func New(self ident.VMID, domain ident.DomainName, opts ...Option) *Engine {
	e := &Engine{
		self:     self,
		domain:   domain,
		policy:   DefaultPolicy(),
		flows:    newFlowTable(),
		loads:    make(map[loadKey]*upstreamLoad),
		domains:  make(map[ident.DomainName]*domainHealth),
		suspects: make(map[catalog.Token]*target),
		hooks: Hooks{
			Health:     func(HealthChange) {},
			Placed:     func(*Packet, Decision, *catalog.Entry) {},
			Lost:       func(*Packet, *catalog.Entry) {},
			Distrusted: func(DistrustCause) {},
			Opened:     func(clock.Millis) {}, Answered: func(clock.Millis) {},
			Admission: func(AdmissionChange) {},
		},
	}
	e.vms.Store(&[]ident.VMID{})
	e.domainVMs.Store(&[]ident.VMID{})
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetCatalog replaces the catalog and keeps the state of flows and of upstreams
// that are still known.
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
		key := loadKey{id: entry.ID, startedAt: entry.StartedAt}
		load := loads[key]
		if load == nil {
			if load = e.loads[key]; load == nil {
				load = &upstreamLoad{}
			}
			loads[key] = load
		}
		added := &target{entry: entry, load: load, domain: e.domainHealth(entry.Domain)}
		if s, ok := c.Service(entry.Service); ok {
			added.slowStart = s.SlowStartMillis
		}
		v.tokens[t] = added
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
	e.retainSuspects(v)
	v.admission = e.admissions(c, e.view.Load())
	e.view.Store(v)
	e.routes.retain(func(a netip.AddrPort) bool { _, ok := c.Route(a); return ok })
}

// domainHealth returns the health of a failure domain, creating it if needed.
// The caller must hold e.mu.
func (e *Engine) domainHealth(name ident.DomainName) *domainHealth {
	d := e.domains[name]
	if d == nil {
		d = &domainHealth{}
		e.domains[name] = d
	}
	return d
}

// SetVMs sets the VMs that share the rate of new flows to cold upstreams, this
// one included. Until it is called, this VM sends no flows to cold upstreams,
// since it may not know all the other VMs yet.
func (e *Engine) SetVMs(vms []ident.VMID) { e.vms.Store(&vms) }

// SetLocalVMCount sets the number of VMs that place flows under the same policy
// and exchange their loads, this one included.
func (e *Engine) SetLocalVMCount(n int) { e.localVMCount.Store(int32(n)) }

// SetDomainVMs sets the live VMs of the own failure domain that exchange
// evidence about upstreams, this one included.
func (e *Engine) SetDomainVMs(vms []ident.VMID) { e.domainVMs.Store(&vms) }

// TrustsEvidence reports whether this VM trusts its evidence against upstreams.
// Otherwise it resets no flows.
func (e *Engine) TrustsEvidence(now clock.Millis) bool { return e.localHealth.trusts(now) }

// Ready reports whether the engine has a catalog.
func (e *Engine) Ready() bool { return e.view.Load() != nil }

// Catalog returns the current catalog, or nil before the first SetCatalog.
func (e *Engine) Catalog() *catalog.Catalog {
	if v := e.view.Load(); v != nil {
		return v.catalog
	}
	return nil
}

// TickInterval is the period at which Tick must be called.
const TickInterval clock.Millis = 50

// Tick expires flows of one shard, samples loads, updates qualities, adjusts the
// admitted shares of new flows, and checks whether this VM is in time.
func (e *Engine) Tick(now clock.Millis) {
	e.checkLateness(now)
	s := &e.flows.shards[e.nextShard%shardCount]
	left := s.sweep(now)
	e.nextShard++
	e.Flows.Store(int64(left) * shardCount)
	if v := e.view.Load(); v != nil {
		for _, t := range v.targets {
			t.load.sample()
		}
		e.updateQuality(now, v)
		e.tickAdmission(now, v)
	}
	if now-e.routesUpdatedAt >= routeUpdateInterval {
		e.routesUpdatedAt = now
		e.routes.updateExpected()
	}
}

// checkLateness records a Tick, and distrusts the evidence of this VM if it was late.
func (e *Engine) checkLateness(now clock.Millis) {
	late := e.localHealth.recordTick(now)
	if late == 0 {
		return
	}
	e.LateTicks.Add(1)
	e.distrustEvidence(now, DistrustCause{Late: late})
}

// distrustEvidence distrusts the evidence of this VM for a while.
func (e *Engine) distrustEvidence(now clock.Millis, c DistrustCause) {
	if e.localHealth.recordWrong(now) {
		e.hooks.Distrusted(c)
	}
}

// RecordFullLink records that packets queue at the link of this VM, delay being the
// estimated queueing delay. The evidence of this VM is distrusted for fullLinkDistrust.
func (e *Engine) RecordFullLink(now, delay clock.Millis) {
	if e.localHealth.distrustUntil(now, now+fullLinkDistrust) {
		e.hooks.Distrusted(DistrustCause{FullLink: true, LinkDelay: delay})
	}
}

// Handle decides how to handle a packet from a caller.
func (e *Engine) Handle(now clock.Millis, p *Packet) (d Decision) {
	v := e.view.Load()
	if v == nil {
		return e.drop(NoCatalog)
	}
	route, ok := v.catalog.Route(p.Destination)
	if !ok {
		d = e.refuse(NoRoute)
		if p.Opening {
			e.hooks.Placed(p, d, nil)
		}
		return d
	}
	if p.Opening {
		return e.openFlow(now, v, route, p)
	}
	t, ok := v.tokens[p.Token]
	if !ok {
		return e.drop(UnknownToken)
	}
	return e.forwardOpen(now, t, p)
}

// IsPlaced reports whether this VM has given the flow of an opening packet an upstream
// already, so that the packet is a copy.
func (e *Engine) IsPlaced(p *Packet) bool {
	k := keyOf(p)
	s := e.flows.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[k]
	return f.placed(p.Seq)
}

// DropOverloaded counts an opening packet that this VM drops near its own limits, and
// returns the decision.
func (e *Engine) DropOverloaded() Decision { return e.drop(VMOverloaded) }

// forwardOpen forwards a packet of an open flow and updates load and health
// from it. It refuses the packet if the upstream is lost.
func (e *Engine) forwardOpen(now clock.Millis, t *target, p *Packet) Decision {
	k := keyOf(p)
	s := e.flows.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	f, known := s.flows[k]
	if !known || f.target.load != t.load {
		f.end()
		f = flow{route: e.routes.get(p.Destination), seq: p.Seq, ack: p.Ack}
	}
	f.target = t
	e.observe(now, &f, p)
	f.seenAt = now
	if p.Bytes > 0 && !f.closed && e.isLost(now, &f) {
		f.end()
		s.flows[k] = f
		e.hooks.Lost(p, t.entry)
		return e.refuse(UpstreamLost)
	}
	s.flows[k] = f
	return e.forward(t, 0)
}

func (e *Engine) forward(t *target, token catalog.Token) Decision {
	e.Forwarded.Add(1)
	return Decision{Action: Forward, To: t.entry.Address, EncapID: t.entry.EncapID, Token: token}
}

func (e *Engine) drop(r Reason) Decision {
	e.Dropped[r].Add(1)
	return Decision{Action: Drop, Reason: r}
}

func (e *Engine) refuse(r Reason) Decision {
	e.Refused[r].Add(1)
	return Decision{Action: Refuse, Reason: r}
}

// Stranded reports whether none of the upstreams that accept new flows is
// believed to answer this VM. It is meant for a VM that receives nothing from
// any other failure domain, so an upstream of another domain counts as
// answering only while nothing indicates that its domain is unreachable. It
// returns false if no upstream accepts new flows.
func (e *Engine) Stranded(now clock.Millis) bool {
	v := e.view.Load()
	if v == nil {
		return false
	}
	accepting := false
	for _, list := range v.serving {
		for _, t := range list {
			if !t.entry.AcceptsNewFlows(now) {
				continue
			}
			if isAnswering(t) && (e.isLocal(t) || t.domain.reachable()) {
				return false
			}
			accepting = true
		}
	}
	return accepting
}

// SetPartitioned sets whether nothing is received from any VM of a failure
// domain, in which case new flows avoid it.
func (e *Engine) SetPartitioned(domain ident.DomainName, partitioned bool) {
	e.mu.Lock()
	d := e.domainHealth(domain)
	e.mu.Unlock()
	d.setPartitioned(partitioned)
}

// ResetDomainHealth clears the evidence collected against a failure domain and
// its upstreams while there was no path to it.
func (e *Engine) ResetDomainHealth(now clock.Millis, domain ident.DomainName) {
	v := e.view.Load()
	if v == nil {
		return
	}
	for _, t := range v.tokens {
		if t.entry.Domain == domain {
			t.load.health.forgetStalls(now)
			t.domain.recordAck(now)
		}
	}
}

// Loads returns the load that this VM puts on each upstream, by token.
// Upstreams without load are omitted.
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
		t.load.setPeers(sums[t.entry.Token])
	}
}
