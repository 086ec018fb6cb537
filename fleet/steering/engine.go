package steering

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

// Limits holds the timers and bounds of an Engine.
type Limits struct {
	// LoadSlack is the fraction by which an upstream may exceed the mean load
	// before new flows go to the next candidate.
	LoadSlack float64 `json:"loadSlack"`
	// LearnAfter is the number of packets of a flow after which a detouring VM
	// without a cached upstream is sent the flow's upstream, 0 to 255.
	LearnAfter uint8 `json:"learnAfter"`
	// LearnsPerSecond limits the rate of Learn messages to detouring VMs without
	// a cached upstream. Corrections of a wrong one are not limited.
	LearnsPerSecond int `json:"learnsPerSecond"`
	// RefreshMillis is the time between packets of a cached flow that are sent
	// through the home.
	RefreshMillis clock.Millis `json:"refreshMillis"`
	// CacheIdleMillis is the idle timeout of a cached entry.
	CacheIdleMillis clock.Millis `json:"cacheIdleMillis"`
	// LingerMillis is the idle time for which a closed flow is kept, so that a
	// caller that reuses its port reaches the same upstream until the caches
	// expire. It must exceed RefreshMillis and CacheIdleMillis.
	LingerMillis clock.Millis `json:"lingerMillis"`
	// HalfOpenMillis is the idle timeout of a flow that sent only its initial
	// SYN.
	HalfOpenMillis clock.Millis `json:"halfOpenMillis"`
	// TCPIdleMillis and UDPIdleMillis are the idle timeouts of flows at their
	// home. They must exceed RefreshMillis, since the home sees only one packet
	// of a cached flow in that time. UDPIdleMillis also takes the place of
	// SettleMillis for UDP flows.
	TCPIdleMillis clock.Millis `json:"tcpIdleMillis"`
	UDPIdleMillis clock.Millis `json:"udpIdleMillis"`
	// SettleMillis is the time after a change of home in which a SYN is placed
	// only after the other VMs that may know the flow were queried.
	SettleMillis clock.Millis `json:"settleMillis"`
	// EstablishedSettleMillis is the time after a change of home in which a
	// packet of an established TCP flow without an entry causes a query of the
	// other VMs before the lookup table is used. Later, this happens only if the
	// current and previous tables differ on the flow.
	EstablishedSettleMillis clock.Millis `json:"midSettleMillis"`
	// AskTimeoutMillis is the timeout of a query.
	AskTimeoutMillis clock.Millis `json:"askTimeoutMillis"`
	// UnreachableMillis is the time for which a VM may be unreachable before a
	// packet of an established flow that only this VM may know is forwarded by the
	// lookup table. Until then the packet is dropped.
	UnreachableMillis clock.Millis `json:"unreachableMillis"`
	// CopyAfterMillis is the age above which an exception, a flow whose upstream
	// is not the table's pick, is copied to other VMs.
	CopyAfterMillis clock.Millis `json:"copyAfterMillis"`
	// CopyRepeatMillis is the time between copies of the same exception.
	CopyRepeatMillis clock.Millis `json:"copyRepeatMillis"`
	// CopiesPerSecond limits the rate of Copy and Handover messages, except for
	// the handovers of a VM that leaves.
	CopiesPerSecond int `json:"copiesPerSecond"`
	// MaxFlows is the maximum number of entries in the flow table.
	MaxFlows int `json:"maxFlows"`
}

// DefaultLimits returns limits for deployments of any size.
func DefaultLimits() Limits {
	return Limits{
		// Leaves room for load counts that are one second old, if the largest load
		// is to stay below 1.05 of the mean. About 15 % of the flows become
		// exceptions.
		LoadSlack: 0.03,
		// Without these two limits, Learn messages took 14 to 18 KB/s of each VM
		// at 1200 flows.
		LearnAfter:              16,
		LearnsPerSecond:         25,
		RefreshMillis:           45 * clock.Second,
		CacheIdleMillis:         45 * clock.Second,
		LingerMillis:            60 * clock.Second,
		HalfOpenMillis:          30 * clock.Second,
		TCPIdleMillis:           3 * 3600 * clock.Second,
		UDPIdleMillis:           90 * clock.Second,
		SettleMillis:            5 * clock.Second,
		EstablishedSettleMillis: 60 * clock.Second,
		AskTimeoutMillis:        150,
		UnreachableMillis:       clock.Second,
		CopyAfterMillis:         clock.Second,
		CopyRepeatMillis:        300 * clock.Second,
		CopiesPerSecond:         80,
		MaxFlows:                1 << 20,
	}
}

// members is the set of VMs as the engine sees it. It is immutable.
type members struct {
	view *homes.View
	// live are the VMs not known to be dead, whether or not they may be homes.
	live map[config.VMID]bool
	// allLive lists the live VMs.
	allLive []config.VMID
	// unreachableSince maps each live VM that this VM cannot reach directly to the
	// time since which it cannot.
	unreachableSince map[config.VMID]clock.Millis
	// placerCandidates are the VMs that share the rate of a cold upstream.
	placerCandidates []config.VMID
}

func (m *members) reachable(vm config.VMID) bool { return m.live[vm] && !m.unreachable(vm) }

// unreachable reports whether vm is live but cannot be reached directly.
func (m *members) unreachable(vm config.VMID) bool {
	_, found := m.unreachableSince[vm]
	return found && m.live[vm]
}

// unreachableHome returns the home of the flow if it cannot be reached directly, or
// else the empty identifier.
func (m *members) unreachableHome(id flow.ID) config.VMID {
	if home := m.view.Home(id); home != "" && !m.reachable(home) {
		return home
	}
	return ""
}

// Placement is the policy by which a home chooses the upstream of a new flow.
type Placement uint8

// Placement policies. TableOnly and Random are baselines for comparison.
const (
	// BoundedLoad chooses the table's pick unless its load exceeds the bound
	// (consistent hashing with bounded loads).
	BoundedLoad Placement = iota
	// TableOnly always chooses the table's pick.
	TableOnly
	// Random chooses an upstream uniformly at random.
	Random
)

// Engine decides on the packets of one VM. Its methods are safe for concurrent
// use, except that Tick must have a single caller.
type Engine struct {
	self      config.VMID
	limits    Limits
	start     clock.Millis
	placement Placement
	// placeLocally makes every VM place its own flows, without homes. It is a
	// baseline for comparison.
	placeLocally bool

	routes   atomic.Pointer[routes]
	members  atomic.Pointer[members]
	updateMu sync.Mutex
	// file and gateways are the input from which the routes were compiled.
	file     *config.File
	gateways []config.Upstream

	shards      [shardCount]shard
	flows       atomic.Int64
	nextShard   int
	copyTokens  float64
	learnTokens atomic.Int64
	lastTick    clock.Millis

	outMu    sync.Mutex
	messages []Message
	// releases end the hold on packets that waited for the replies to queries.
	releases     []Release
	pendingCount atomic.Int64
	urgent       atomic.Bool
	rng          *rand.Rand
	rngMu        sync.Mutex

	stats Stats
}

// Stats counts the decisions of an Engine since its start.
type Stats struct {
	// Placed counts the placements of new flows, including failed ones. With the
	// policy Random it stays 0.
	Placed atomic.Int64
	// Exceptions counts the flows placed on another upstream than the table's
	// pick. With TableOnly and Random it stays 0.
	Exceptions atomic.Int64
	// Adopted counts the flows without an entry for which the home took over the
	// upstream cached by the detouring VM.
	Adopted atomic.Int64
	// Queries counts the Query messages to other VMs.
	Queries atomic.Int64
	// Fallbacks counts the flows without an entry, and unknown to the queried
	// VMs, that were forwarded to the upstream that the lookup table gives.
	Fallbacks atomic.Int64
	// Copies counts the Copy messages, which store an exception on another VM.
	Copies atomic.Int64
	// Handovers counts the Handover messages, which send a flow to its new home.
	Handovers atomic.Int64
	// Resets counts the resets of flows whose upstream no longer serves flows.
	Resets atomic.Int64
}

// Option configures an Engine.
type Option func(*Engine)

// WithLimits replaces the default limits.
func WithLimits(l Limits) Option { return func(e *Engine) { e.limits = l } }

// WithPlacement selects the placement policy.
func WithPlacement(p Placement) Option { return func(e *Engine) { e.placement = p } }

// WithoutHomes makes the VM place every unknown flow itself, without detours.
func WithoutHomes() Option { return func(e *Engine) { e.placeLocally = true } }

// WithSeed seeds the engine's random choices.
func WithSeed(seed uint64) Option {
	return func(e *Engine) { e.rng = rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(e.self)))) }
}

// New returns the engine of VM self, without a configuration or any other VM.
// The engine starts at now.
func New(now clock.Millis, self config.VMID, opts ...Option) *Engine {
	e := &Engine{self: self, limits: DefaultLimits(), start: now, lastTick: now}
	WithSeed(1)(e)
	for _, opt := range opts {
		opt(e)
	}
	for i := range e.shards {
		e.shards[i].flows = make(map[flow.ID]*entry)
		e.shards[i].pending = make(map[flow.ID]*flowQuery)
	}
	e.routes.Store(&routes{})
	e.members.Store(&members{view: homes.NewView(now, []homes.VM{{ID: self}}), live: map[config.VMID]bool{self: true}})
	return e
}

// Stats returns the counters of e.
func (e *Engine) Stats() *Stats { return &e.stats }

// Flows returns the number of entries in the flow table.
func (e *Engine) Flows() int64 { return e.flows.Load() }

// Version returns the version of the current configuration, or zero if there is
// none.
func (e *Engine) Version() config.Version { return e.routes.Load().version }

// SetConfig replaces the configuration with f, which must be valid.
func (e *Engine) SetConfig(now clock.Millis, f *config.File) {
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	old := e.routes.Load()
	e.file = f
	e.routes.Store(compileRoutes(now, old, f, e.gateways, old.version == 0))
}

// SetGateways sets the VMs that receive the flows of services that carry only
// requests, with their tunnel addresses for this purpose.
func (e *Engine) SetGateways(now clock.Millis, gateways []config.Upstream) {
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	if slices.Equal(gateways, e.gateways) {
		return
	}
	e.gateways = gateways
	if e.file != nil {
		e.routes.Store(compileRoutes(now, e.routes.Load(), e.file, gateways, false))
	}
}

// Membership is the set of VMs that SetMembers gives to an engine.
type Membership struct {
	// Homes are the VMs that may be home of flows.
	Homes []homes.VM
	// Live are the VMs not known to be dead: alive, suspect and leaving ones,
	// and self.
	Live []config.VMID
	// Unreachable are live VMs that self cannot reach directly.
	Unreachable []config.VMID
	// PlacerCandidates are the VMs that share the rate of a cold upstream: the
	// union of the live VMs and those on the platform's list.
	PlacerCandidates []config.VMID
}

// SetMembers replaces the set of VMs at now.
func (e *Engine) SetMembers(now clock.Millis, m Membership) {
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	old := e.members.Load()
	next := &members{view: old.view, live: setOf(m.Live), allLive: m.Live, placerCandidates: m.PlacerCandidates}
	next.unreachableSince = unreachableSince(now, old, m.Unreachable)
	if !old.view.Ranking().SameVMs(m.Homes) {
		next.view = old.view.WithVMs(now, m.Homes)
	}
	e.members.Store(next)
}

// unreachableSince maps each of vms to now, or to the earlier time since which it
// has been unreachable.
func unreachableSince(now clock.Millis, old *members, vms []config.VMID) map[config.VMID]clock.Millis {
	since := make(map[config.VMID]clock.Millis, len(vms))
	for _, vm := range vms {
		since[vm] = now
		if at, found := old.unreachableSince[vm]; found {
			since[vm] = at
		}
	}
	return since
}

func setOf(vms []config.VMID) map[config.VMID]bool {
	set := make(map[config.VMID]bool, len(vms))
	for _, vm := range vms {
		set[vm] = true
	}
	return set
}

// Resume tells the engine that the process was paused until now, so that other
// VMs may have acted as home for its flows. Held packets are discarded, since
// their senders have retransmitted them.
func (e *Engine) Resume(now clock.Millis) {
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	next := *e.members.Load()
	next.view = next.view.WithAllChanged(now)
	e.members.Store(&next)
	e.discardPending()
}

// shortHash returns the hash that identifies a VM in an entry.
func shortHash(vm config.VMID) uint32 { return uint32(xxhash.Sum64String(string(vm))) }

// Enqueue queues a message to another VM.
func (e *Engine) Enqueue(m Message) {
	e.outMu.Lock()
	e.messages = append(e.messages, m)
	e.outMu.Unlock()
}

// send queues a message of this engine. Queries and replies are urgent.
func (e *Engine) send(m Message) {
	e.Enqueue(m)
	if m.Kind == Query || m.Kind == Reply {
		e.urgent.Store(true)
	}
}

func (e *Engine) release(r Release) {
	e.outMu.Lock()
	e.releases = append(e.releases, r)
	e.outMu.Unlock()
	e.pendingCount.Add(-1)
	e.urgent.Store(true)
}

// Urgent reports whether messages or releases are queued that should not wait for
// the next tick.
func (e *Engine) Urgent() bool { return e.urgent.Load() }

// DequeueAll removes and returns all queued messages and releases.
func (e *Engine) DequeueAll() (messages []Message, releases []Release) {
	e.outMu.Lock()
	defer e.outMu.Unlock()
	e.urgent.Store(false)
	messages, releases = e.messages, e.releases
	e.messages, e.releases = nil, nil
	return messages, releases
}
