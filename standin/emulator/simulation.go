package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/admission"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

const (
	// localDelay and remoteDelay are the one-way network delays within a failure
	// domain and between two of them.
	localDelay  clock.Millis = 1
	remoteDelay clock.Millis = 2
	// suspicionDelay is the time that a suspicion takes to reach all VMs of the
	// sender's failure domain.
	suspicionDelay clock.Millis = 100
	// loadGossipInterval is the period at which VMs exchange their load reports.
	loadGossipInterval clock.Millis = 250
)

// LongLivedAddress and ShortLivedAddress are the addresses of the emulated service
// for persistent flows and for flows of one request.
var (
	LongLivedAddress  = netip.MustParseAddrPort("198.51.100.1:443")
	ShortLivedAddress = netip.MustParseAddrPort("198.51.100.1:8080")
)

// ServiceName is the name of the emulated service.
const ServiceName ident.ServiceName = "web"

// Setup holds the parameters of a Simulation.
type Setup struct {
	Seed    uint64
	Domains []Domain
	// Slots is the number of requests that an upstream runs concurrently.
	Slots int
	// Speeds are the speeds of the upstreams in rotation. All are 1 if it is empty.
	Speeds []float64
	// QueueCapacity is the number of requests that can wait at an upstream; further
	// ones are shed.
	QueueCapacity int
	// Policy is the placement policy of all engines.
	Policy forward.Policy
	// ColdPerSecond is the rate of new flows that a cold upstream accepts.
	ColdPerSecond float64
	// SlowStart is the slow start time of upstreams, as configured.
	SlowStart clock.Millis
	// NoSuspicionGossip stops VMs from sharing suspicions of unresponsive upstreams.
	NoSuspicionGossip bool
	// SampleDelay is the age at which samples of the answers of upstreams reach other
	// VMs.
	SampleDelay clock.Millis
	// NoLoadGossip stops VMs from sharing their loads, as those of large fleets do.
	NoLoadGossip bool
	// LossRate is the probability that a packet is lost.
	LossRate float64
	// MaxFlows is the number of flows that an upstream holds. It ignores further
	// openings. 0 means no limit.
	MaxFlows int
	// Stalls describes the stalls of VMs and upstreams.
	Stalls Stalls
	// LateShare is the share of packets that are late, by up to MaxLateness.
	LateShare   float64
	MaxLateness clock.Millis
	// Priorities holds the priorities of the routes.
	Priorities map[netip.AddrPort]catalog.Priority
	// Admission configures the admission controllers of all engines.
	Admission []admission.Option
}

// Domain is a failure domain with the number of its VMs and upstreams.
type Domain struct {
	Name           ident.DomainName
	VMs, Upstreams int
}

// Simulation is an emulated fleet in virtual time. It is not safe for concurrent use.
type Simulation struct {
	Now       clock.Millis
	VMs       []*VM
	Upstreams []*Upstream
	// Partitioned reports whether packets between two failure domains are dropped.
	Partitioned func(a, b ident.DomainName) bool
	// SuspicionsSent counts the suspicions of unresponsive upstreams that VMs shared.
	SuspicionsSent int
	// Resets counts resets of open flows by VMs, and SpuriousResets those of flows
	// whose upstream is alive and reachable from the VM. RepeatedMistakes counts those
	// of the latter by VMs that had found their evidence wrong before.
	Resets, SpuriousResets, RepeatedMistakes int
	// HeldBack counts the openings that VMs did not admit, Refused those of them that
	// were refused, and RefusedWithRoom those refused while more than a tenth of the
	// upstreams that the VM could reach had a free slot.
	HeldBack, Refused, RefusedWithRoom int

	setup    Setup
	rng      *rand.Rand
	events   events
	nextSeq  uint64 // sequence number of the latest event
	revision replica.Revision
	port     uint16
	callers  uint32
	loads    []*Load
}

// VM is an entry VM.
type VM struct {
	ID     ident.VMID
	Domain ident.DomainName
	Engine *forward.Engine

	process *process
	// foundWrong is set once the VM has found its evidence against upstreams wrong.
	foundWrong bool
	tickWait   bool // a tick waits for the process to run
	dead       bool
}

// tick runs the periodic work of a VM. A tick is left out while one waits.
func (vm *VM) tick(sim *Simulation) {
	if vm.tickWait || vm.dead {
		return
	}
	vm.tickWait = true
	vm.process.run(func() {
		vm.tickWait = false
		vm.Engine.Tick(sim.Now)
		sim.gossipSuspicions(vm)
	})
}

// event is a scheduled action. Events at the same time run in the order of seq.
type event struct {
	at  clock.Millis
	seq uint64
	do  func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at == e[j].at {
		return e[i].seq < e[j].seq
	}
	return e[i].at < e[j].at
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// New returns a simulation without load whose virtual time is 1000 ms.
func New(s Setup) *Simulation {
	sim := &Simulation{
		Now: 1000, setup: s, rng: rand.New(rand.NewPCG(s.Seed, 1)),
		Partitioned: func(ident.DomainName, ident.DomainName) bool { return false },
	}
	var ids []ident.VMID
	for _, d := range s.Domains {
		for i := range d.VMs {
			id := ident.VMID(fmt.Sprint(d.Name, "-vm-", i))
			ids = append(ids, id)
			sim.VMs = append(sim.VMs, &VM{ID: id, Domain: d.Name, process: sim.newProcess()})
		}
		for i := range d.Upstreams {
			sim.AddUpstream(fmt.Sprint(d.Name, "-up-", i), d.Name)
		}
	}
	for _, vm := range sim.VMs {
		sim.startEngine(vm, ids)
	}
	sim.Publish()
	sim.every(forward.TickInterval, func() {
		for _, vm := range sim.VMs {
			vm.tick(sim)
		}
	})
	sim.every(loadGossipInterval, sim.gossipLoads)
	sim.startSampleGossip()
	return sim
}

// startEngine gives a VM a new engine, without a catalog.
func (sim *Simulation) startEngine(vm *VM, all []ident.VMID) {
	local := sim.domainVMs(vm.Domain)
	vm.foundWrong = false
	vm.Engine = forward.New(vm.ID, vm.Domain, forward.WithPolicy(sim.setup.Policy), forward.WithAdmission(sim.setup.Admission...), forward.WithHooks(forward.Hooks{
		Health: func(forward.HealthChange) {},
		Placed: func(*forward.Packet, forward.Decision, *catalog.Entry) {},
		Lost:   func(*forward.Packet, *catalog.Entry) {},
		Opened: func(clock.Millis) {}, Answered: func(clock.Millis) {},
		Distrusted: func(forward.DistrustCause) { vm.foundWrong = true },
		Admission:  func(forward.AdmissionChange) {},
	}))
	vm.Engine.SetVMs(all)
	vm.Engine.SetDomainVMs(local)
	if !sim.setup.NoLoadGossip {
		vm.Engine.SetLocalVMCount(len(local))
	}
}

// Restart restarts the process of a VM, which then knows the current catalog and no
// flows.
func (sim *Simulation) Restart(vm *VM) {
	var ids []ident.VMID
	for _, other := range sim.VMs {
		ids = append(ids, other.ID)
	}
	sim.startEngine(vm, ids)
	vm.Engine.SetCatalog(sim.catalog())
}

// Kill ends VMs. Their flows continue over other VMs of the same failure domain, one of
// which must be left.
func (sim *Simulation) Kill(vms ...*VM) {
	for _, vm := range vms {
		vm.dead = true
	}
	var ids []ident.VMID
	for _, other := range sim.VMs {
		if !other.dead {
			ids = append(ids, other.ID)
		}
	}
	for _, other := range sim.VMs {
		local := sim.domainVMs(other.Domain)
		other.Engine.SetVMs(ids)
		other.Engine.SetDomainVMs(local)
		other.Engine.SetLocalVMCount(len(local))
	}
}

// domainVMs returns the ids of the living VMs of a failure domain.
func (sim *Simulation) domainVMs(domain ident.DomainName) (ids []ident.VMID) {
	for _, vm := range sim.VMs {
		if vm.Domain == domain && !vm.dead {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// AddUpstream adds an upstream. VMs learn of it with the next Publish.
func (sim *Simulation) AddUpstream(id string, domain ident.DomainName) *Upstream {
	u := &Upstream{sim: sim, Domain: domain, encapID: catalog.EncapID(len(sim.Upstreams) + 1), Alive: true, Speed: 1, flows: make(map[*Flow]bool), process: sim.newProcess()}
	u.published = catalog.Upstream{
		ID: catalog.UpstreamID(id), EncapID: u.encapID, Service: ServiceName, Domain: domain, Slots: sim.setup.Slots,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(len(sim.Upstreams) >> 8), byte(len(sim.Upstreams))}), 80),
	}
	if speeds := sim.setup.Speeds; len(speeds) > 0 {
		u.Speed = speeds[len(sim.Upstreams)%len(speeds)]
	}
	sim.Upstreams = append(sim.Upstreams, u)
	return u
}

// Publish distributes the current catalog to all VMs.
func (sim *Simulation) Publish() {
	sim.revision++
	for _, vm := range sim.VMs {
		vm.Engine.SetCatalog(sim.catalog())
	}
}

// catalog builds a catalog of the registered upstreams.
func (sim *Simulation) catalog() *catalog.Catalog {
	decode := func(item replica.Item) (c catalog.Change, err error) {
		if item.Key == "config" {
			c.Config = &catalog.Config{
				Version:  1,
				Routes:   []catalog.Route{sim.route(LongLivedAddress), sim.route(ShortLivedAddress)},
				Services: []catalog.Service{{Name: ServiceName, ColdPerSecond: sim.setup.ColdPerSecond, SlowStartMillis: sim.setup.SlowStart}},
			}
			return c, nil
		}
		for _, u := range sim.Upstreams {
			if replica.Key(u.published.ID) == item.Key {
				published := u.published
				c.Upstream = &published
			}
		}
		return c, nil
	}
	b := catalog.NewBuilder(decode, func(replica.Item, error) {}, 0)
	items := []replica.Item{{Key: "config", Revision: 1, Created: 1}}
	for i, u := range sim.Upstreams {
		items = append(items, replica.Item{Key: replica.Key(u.published.ID), Revision: replica.Revision(2 + i), Created: replica.Revision(2 + i)})
		if u.Deregistered {
			items = append(items, replica.Item{Key: replica.Key(u.published.ID), Revision: sim.revision + 1000, Removed: true})
		}
	}
	b.Apply(sim.Now, items, false)
	return b.Build(sim.revision)
}

// route returns the published route of an address.
func (sim *Simulation) route(address netip.AddrPort) catalog.Route {
	return catalog.Route{
		Address: address, Targets: []catalog.Target{{Service: ServiceName, Weight: 1}},
		Priority: sim.setup.Priorities[address],
	}
}

// gossipLoads gives each VM the summed loads of the VMs that it can reach.
func (sim *Simulation) gossipLoads() {
	if sim.setup.NoLoadGossip {
		return
	}
	own := make([]map[catalog.Token]forward.Load, len(sim.VMs))
	for i, vm := range sim.VMs {
		own[i] = vm.Engine.Loads()
	}
	for i, vm := range sim.VMs {
		sums := make(map[catalog.Token]forward.Load)
		for j := range sim.VMs {
			if i == j || sim.VMs[j].dead || sim.Partitioned(vm.Domain, sim.VMs[j].Domain) {
				continue
			}
			for t, s := range own[j] {
				sums[t] = forward.Load{Expected: sums[t].Expected + s.Expected, InFlight: sums[t].InFlight + s.InFlight}
			}
		}
		vm.Engine.SetPeerLoads(sums)
	}
}

// gossipSuspicions sends a VM's new suspicions to the other VMs of its failure domain.
func (sim *Simulation) gossipSuspicions(vm *VM) {
	list := vm.Engine.Suspicions(sim.Now)
	if len(list) == 0 || sim.setup.NoSuspicionGossip {
		return
	}
	sim.SuspicionsSent += len(list)
	sim.after(suspicionDelay, func() {
		for _, other := range sim.VMs {
			if other != vm && other.Domain == vm.Domain {
				other.process.run(func() { other.Engine.MergeSuspicions(sim.Now, list) })
			}
		}
	})
}

// pathRecoveryDelay is the time that VMs need to detect that a partition has healed.
const pathRecoveryDelay clock.Millis = 500

// Heal ends a partition.
func (sim *Simulation) Heal() {
	sim.Partitioned = func(ident.DomainName, ident.DomainName) bool { return false }
	sim.after(pathRecoveryDelay, func() {
		for _, vm := range sim.VMs {
			for _, d := range sim.setup.Domains {
				vm.Engine.ResetDomainHealth(sim.Now, d.Name)
			}
		}
	})
}

// At schedules do for a virtual time, or for now if that time has passed.
func (sim *Simulation) At(at clock.Millis, do func()) {
	sim.nextSeq++
	heap.Push(&sim.events, event{at: max(at, sim.Now), seq: sim.nextSeq, do: do})
}

func (sim *Simulation) after(d clock.Millis, do func()) { sim.At(sim.Now+d, do) }

func (sim *Simulation) every(d clock.Millis, do func()) {
	sim.after(d, func() {
		do()
		sim.every(d, do)
	})
}

// Run processes all events up to the given virtual time.
func (sim *Simulation) Run(until clock.Millis) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		e := heap.Pop(&sim.events).(event)
		sim.Now = e.at
		e.do()
	}
	sim.Now = until
}

// delivered reports whether a packet between two failure domains arrives. It draws
// a random loss unless the domains are partitioned.
func (sim *Simulation) delivered(a, b ident.DomainName) bool {
	return !sim.Partitioned(a, b) && sim.rng.Float64() >= sim.setup.LossRate
}

// delay draws the time that a packet takes between two failure domains.
func (sim *Simulation) delay(a, b ident.DomainName) clock.Millis {
	d := remoteDelay
	if a == b {
		d = localDelay
	}
	if sim.setup.LateShare > 0 && sim.rng.Float64() < sim.setup.LateShare {
		d += clock.Millis(sim.rng.Int64N(int64(sim.setup.MaxLateness)))
	}
	return d
}

// handlePacket sends a packet of a caller to a VM.
func (sim *Simulation) handlePacket(vm *VM, f *Flow, p forward.Packet) {
	if vm.dead {
		vm = sim.pickVM(vm.Domain)
		f.vm = vm
	}
	if sim.delivered(f.caller.Domain, vm.Domain) {
		vm.process.run(func() { sim.decide(vm, f, p) })
	}
}

// decide lets a VM handle a packet, and reset flows whose upstream it then knows to be
// lost.
func (sim *Simulation) decide(vm *VM, f *Flow, p forward.Packet) {
	d := vm.Engine.Handle(sim.Now, &p)
	sim.countHeldBack(vm, d.Reason)
	switch d.Action {
	case forward.Forward:
		sim.forward(vm, f, p, d)
	case forward.Refuse:
		sim.reset(vm, f)
	case forward.Drop:
	}
	for _, lost := range vm.Engine.PendingResets(sim.Now) {
		for _, l := range sim.loads {
			if other := l.byPort[lost.Caller]; other != nil {
				sim.reset(vm, other)
			}
		}
	}
}

func (sim *Simulation) forward(vm *VM, f *Flow, p forward.Packet, d forward.Decision) {
	u := sim.Upstreams[d.EncapID-1]
	if !sim.delivered(vm.Domain, u.Domain) {
		return
	}
	sim.after(sim.delay(vm.Domain, u.Domain), func() { u.process.run(func() { u.receive(f, p, d.Token) }) })
}

// reset resets a flow on behalf of a VM.
func (sim *Simulation) reset(vm *VM, f *Flow) {
	if f.upstream != nil && !f.closed {
		sim.Resets++
		if f.upstream.Alive && f.upstream.flows[f] && !sim.Partitioned(vm.Domain, f.upstream.Domain) {
			sim.SpuriousResets++
			if vm.foundWrong {
				sim.RepeatedMistakes++
			}
		}
	}
	sim.after(localDelay, func() { f.handleReset() })
}
