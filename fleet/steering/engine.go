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
	// LoadSlack is how far above its fair share an upstream may be before new
	// flows go to the next candidate, as a fraction.
	LoadSlack float64 `json:"loadSlack"`
	// LearnAfter is the number of packets after which a detouring VM is told
	// where a flow is.
	LearnAfter uint8 `json:"learnAfter"`
	// LearnsPerSecond bounds how often VMs are told where a flow is.
	LearnsPerSecond int `json:"learnsPerSecond"`
	// RefreshMillis is the time between packets of a cached flow that pass
	// the home.
	RefreshMillis clock.Millis `json:"refreshMillis"`
	// CacheIdleMillis ends a cached entry without packets.
	CacheIdleMillis clock.Millis `json:"cacheIdleMillis"`
	// LingerMillis keeps a closed flow, so that a caller that uses its port
	// again reaches the same upstream while caches expire.
	LingerMillis clock.Millis `json:"lingerMillis"`
	// HalfOpenMillis ends a flow that never went beyond its first packet.
	HalfOpenMillis clock.Millis `json:"halfOpenMillis"`
	// TCPIdleMillis and UDPIdleMillis end silent flows at their home.
	TCPIdleMillis clock.Millis `json:"tcpIdleMillis"`
	UDPIdleMillis clock.Millis `json:"udpIdleMillis"`
	// SettleMillis is how long after a change of home a SYN is placed only
	// after the neighbours were asked.
	SettleMillis clock.Millis `json:"settleMillis"`
	// MidSettleMillis is the same for packets in mid-flow.
	MidSettleMillis clock.Millis `json:"midSettleMillis"`
	// AskTimeoutMillis bounds the wait for answers.
	AskTimeoutMillis clock.Millis `json:"askTimeoutMillis"`
	// CopyAfterMillis is the age at which an exception is copied.
	CopyAfterMillis clock.Millis `json:"copyAfterMillis"`
	// CopyRepeatMillis is the time between copies of a lasting exception.
	CopyRepeatMillis clock.Millis `json:"copyRepeatMillis"`
	// CopiesPerSecond bounds the exceptions sent to other VMs.
	CopiesPerSecond int `json:"copiesPerSecond"`
	// MaxFlows bounds the flow table.
	MaxFlows int `json:"maxFlows"`
}

// DefaultLimits returns the limits that suit a deployment of any size.
func DefaultLimits() Limits {
	return Limits{
		LoadSlack:        0.03,
		LearnAfter:       16,
		LearnsPerSecond:  25,
		RefreshMillis:    45 * clock.Second,
		CacheIdleMillis:  45 * clock.Second,
		LingerMillis:     60 * clock.Second,
		HalfOpenMillis:   30 * clock.Second,
		TCPIdleMillis:    3 * 3600 * clock.Second,
		UDPIdleMillis:    90 * clock.Second,
		SettleMillis:     5 * clock.Second,
		MidSettleMillis:  60 * clock.Second,
		AskTimeoutMillis: 150,
		CopyAfterMillis:  clock.Second,
		CopyRepeatMillis: 300 * clock.Second,
		CopiesPerSecond:  80,
		MaxFlows:         1 << 20,
	}
}

// members is what the engine knows of the VMs. It is immutable.
type members struct {
	view *homes.View
	// live are all VMs that answer, homes or not.
	live map[config.VMID]bool
	// all lists the live VMs.
	all []config.VMID
	// unusable are live VMs that this VM cannot reach directly now.
	unusable map[config.VMID]bool
	// listed are the VMs that a cold upstream's rate is split among.
	listed []config.VMID
}

func (m *members) usable(vm config.VMID) bool { return m.live[vm] && !m.unusable[vm] }

// Placement decides on which upstream a home places a new flow.
type Placement uint8

// Placements. All but Bounded are baselines for comparison.
const (
	// BoundedLoad takes the table's pick unless it is above its share.
	BoundedLoad Placement = iota
	// TableOnly takes the table's pick.
	TableOnly
	// Random draws an upstream.
	Random
)

// Engine steers the packets of one VM. Its methods are safe for concurrent
// use.
type Engine struct {
	self   config.VMID
	limits Limits
	start  clock.Millis
	place  Placement
	// homeless makes every VM place flows by itself, a baseline.
	homeless bool

	routes  atomic.Pointer[routes]
	members atomic.Pointer[members]
	setMu   sync.Mutex
	// file and gateways are what the routes were compiled from.
	file     *config.File
	gateways []config.Upstream

	shards  [shardCount]shard
	flows   atomic.Int64
	scanned int
	credit  float64
	learns  atomic.Int64
	tickAt  clock.Millis

	outMu    sync.Mutex
	messages []Message
	releases []Release
	pendings atomic.Int64
	urgent   atomic.Bool
	rng      *rand.Rand
	rngMu    sync.Mutex

	stats Stats
}

// Stats counts decisions since the start.
type Stats struct {
	Placed     atomic.Int64
	Exceptions atomic.Int64
	Adopted    atomic.Int64
	Queries    atomic.Int64
	Fallbacks  atomic.Int64
	Copies     atomic.Int64
	Handovers  atomic.Int64
	Resets     atomic.Int64
}

// Option configures an Engine.
type Option func(*Engine)

// WithLimits replaces the default limits.
func WithLimits(l Limits) Option { return func(e *Engine) { e.limits = l } }

// WithPlacement selects how flows are placed.
func WithPlacement(p Placement) Option { return func(e *Engine) { e.place = p } }

// WithoutHomes makes the VM place every flow that it does not know.
func WithoutHomes() Option { return func(e *Engine) { e.homeless = true } }

// WithSeed seeds the engine's random choices.
func WithSeed(seed uint64) Option {
	return func(e *Engine) { e.rng = rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(e.self)))) }
}

// New returns the engine of VM self, which knows no configuration and no
// other VM yet.
func New(now clock.Millis, self config.VMID, opts ...Option) *Engine {
	e := &Engine{self: self, limits: DefaultLimits(), start: now, tickAt: now}
	WithSeed(1)(e)
	for _, opt := range opts {
		opt(e)
	}
	for i := range e.shards {
		e.shards[i].flows = make(map[flow.ID]*entry)
		e.shards[i].pending = make(map[flow.ID]*pending)
	}
	e.routes.Store(&routes{})
	e.members.Store(&members{view: homes.NewView(now, []homes.VM{{ID: self}}), live: map[config.VMID]bool{self: true}})
	return e
}

// Stats returns the counters of e.
func (e *Engine) Stats() *Stats { return &e.stats }

// Flows returns the number of entries of e.
func (e *Engine) Flows() int64 { return e.flows.Load() }

// Version returns the version of the configuration in force.
func (e *Engine) Version() config.Version { return e.routes.Load().version }

// SetConfig puts a validated configuration in force.
func (e *Engine) SetConfig(now clock.Millis, f *config.File) {
	e.setMu.Lock()
	defer e.setMu.Unlock()
	old := e.routes.Load()
	e.file = f
	e.routes.Store(compile(now, old, f, e.gateways, old.version == 0))
}

// SetGateways sets the VMs that take the flows of services of kind request,
// with their tunnel addresses for them.
func (e *Engine) SetGateways(now clock.Millis, gateways []config.Upstream) {
	e.setMu.Lock()
	defer e.setMu.Unlock()
	if slices.Equal(gateways, e.gateways) {
		return
	}
	e.gateways = gateways
	if e.file != nil {
		e.routes.Store(compile(now, e.routes.Load(), e.file, gateways, false))
	}
}

// Membership is a change of the VMs that an engine knows.
type Membership struct {
	// Homes are the VMs that may be home of flows.
	Homes []homes.VM
	// Live are all VMs that answer, the leaving ones and self included.
	Live []config.VMID
	// Unreachable are live VMs that self cannot reach directly.
	Unreachable []config.VMID
	// PlacerCandidates are the VMs among which warm-up rates are split, the larger of
	// the published and the known sets.
	PlacerCandidates []config.VMID
}

// SetMembers puts a new set of VMs in force.
func (e *Engine) SetMembers(now clock.Millis, m Membership) {
	e.setMu.Lock()
	defer e.setMu.Unlock()
	old := e.members.Load()
	next := &members{view: old.view, live: setOf(m.Live), all: m.Live, unusable: setOf(m.Unreachable), listed: m.PlacerCandidates}
	if !old.view.Ranking().SameVMs(m.Homes) {
		next.view = old.view.WithVMs(now, m.Homes)
	}
	e.members.Store(next)
}

func setOf(vms []config.VMID) map[config.VMID]bool {
	set := make(map[config.VMID]bool, len(vms))
	for _, vm := range vms {
		set[vm] = true
	}
	return set
}

// Resume tells the engine that the process stood still until now, so that other
// VMs may have acted in its place. Packets that waited are discarded, since
// their senders have sent them again.
func (e *Engine) Resume(now clock.Millis) {
	e.setMu.Lock()
	defer e.setMu.Unlock()
	next := *e.members.Load()
	next.view = next.view.WithAllChanged(now)
	e.members.Store(&next)
	e.discardPending()
}

// shortHash identifies a VM within an entry.
func shortHash(vm config.VMID) uint32 { return uint32(xxhash.Sum64String(string(vm))) }

// Enqueue takes a message for another VM.
func (e *Engine) Enqueue(m Message) {
	e.outMu.Lock()
	e.messages = append(e.messages, m)
	e.outMu.Unlock()
}

// send queues a message of the engine's own. Questions and answers are urgent.
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
	e.pendings.Add(-1)
	e.urgent.Store(true)
}

// Urgent reports whether Take has something that should not wait for the next
// tick.
func (e *Engine) Urgent() bool { return e.urgent.Load() }

// DequeueAll returns the messages and releases queued since the last call.
func (e *Engine) DequeueAll() (messages []Message, releases []Release) {
	e.outMu.Lock()
	defer e.outMu.Unlock()
	e.urgent.Store(false)
	messages, releases = e.messages, e.releases
	e.messages, e.releases = nil, nil
	return messages, releases
}
