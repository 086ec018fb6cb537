package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

const (
	delayNear clock.Millis = 1
	delayFar  clock.Millis = 2
	tickEvery clock.Millis = 50
	// wordAfter is the time after which a VM's word of an upstream has gone around
	// its failure domain.
	wordAfter clock.Millis = 100
	// sumsEvery is the period at which VMs tell each other their loads.
	sumsEvery clock.Millis = 250
)

// LongLivedAddress and ShortLivedAddress are addresses of the emulated service.
var (
	LongLivedAddress  = netip.MustParseAddrPort("198.51.100.1:443")
	ShortLivedAddress = netip.MustParseAddrPort("198.51.100.1:8080")
)

// ServiceName is the name of the emulated service.
const ServiceName ident.ServiceName = "web"

// Setup describes a World.
type Setup struct {
	Seed uint64
	// Domains maps each failure domain to the number of its VMs and upstreams.
	Domains []Domain
	Slots   int
	// QueueCapacity is the number of requests that wait at an upstream.
	QueueCapacity int
	// Policy is that of all engines.
	Policy forward.Policy
	// ColdPerSecond is what a cold upstream bears.
	ColdPerSecond float64
	// NoSuspicionGossip keeps VMs from telling each other of silent upstreams.
	NoSuspicionGossip bool
	// LossRate is the share of packets that are lost.
	LossRate float64
}

// Domain is a failure domain of a Setup.
type Domain struct {
	Name           ident.DomainName
	VMs, Upstreams int
}

// Simulation is an emulated fleet. It is not safe for concurrent use.
type Simulation struct {
	Now       clock.Millis
	VMs       []*VM
	Upstreams []*Upstream
	// Partitioned reports whether no packet passes between two failure domains.
	Partitioned func(a, b ident.DomainName) bool
	// SuspicionsSent counts what VMs told of silent upstreams.
	SuspicionsSent int
	// Resets counts resets of open flows by VMs, and SpuriousResets those whose
	// upstream lives and can be reached from the VM.
	Resets, SpuriousResets int

	setup  Setup
	rng    *rand.Rand
	events events
	order  uint64
	rev    replica.Revision
	port   uint16
	hosts  uint32
	loads  []*Load
}

// VM is an entry VM.
type VM struct {
	ID     ident.VMID
	Domain ident.DomainName
	Engine *forward.Engine
}

// event is something that happens at a time.
type event struct {
	at    clock.Millis
	order uint64
	do    func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at == e[j].at {
		return e[i].order < e[j].order
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

// New returns a world at time 1000 without load.
func New(s Setup) *Simulation {
	w := &Simulation{
		Now: 1000, setup: s, rng: rand.New(rand.NewPCG(s.Seed, 1)),
		Partitioned: func(ident.DomainName, ident.DomainName) bool { return false },
	}
	var ids []ident.VMID
	for _, d := range s.Domains {
		for i := range d.VMs {
			id := ident.VMID(fmt.Sprint(d.Name, "-vm-", i))
			ids = append(ids, id)
			w.VMs = append(w.VMs, &VM{ID: id, Domain: d.Name, Engine: forward.New(id, d.Name, forward.WithPolicy(s.Policy))})
		}
		for i := range d.Upstreams {
			w.AddUpstream(fmt.Sprint(d.Name, "-up-", i), d.Name)
		}
	}
	for _, vm := range w.VMs {
		vm.Engine.SetVMs(ids)
		vm.Engine.SetNeighbours(w.neighbours(vm.Domain))
		vm.Engine.SetLocalVMCount(len(w.neighbours(vm.Domain)))
	}
	w.Publish()
	w.every(tickEvery, func() {
		for _, vm := range w.VMs {
			vm.Engine.Tick(w.Now)
			w.tell(vm)
		}
	})
	w.every(sumsEvery, w.exchange)
	return w
}

// neighbours returns the VMs of a failure domain.
func (w *Simulation) neighbours(domain ident.DomainName) (ids []ident.VMID) {
	for _, vm := range w.VMs {
		if vm.Domain == domain {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// AddUpstream adds an upstream, to be told to the VMs by Publish.
func (w *Simulation) AddUpstream(id string, domain ident.DomainName) *Upstream {
	u := &Upstream{world: w, Domain: domain, name: catalog.PacketName(len(w.Upstreams) + 1), Alive: true, Speed: 1, flows: make(map[*Flow]bool)}
	u.published = catalog.Upstream{
		ID: catalog.UpstreamID(id), Name: u.name, Service: ServiceName, Domain: domain, Slots: w.setup.Slots,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(len(w.Upstreams) >> 8), byte(len(w.Upstreams))}), 80),
	}
	w.Upstreams = append(w.Upstreams, u)
	return u
}

// Publish tells all VMs what is published now.
func (w *Simulation) Publish() {
	w.rev++
	for _, vm := range w.VMs {
		vm.Engine.SetCatalog(w.catalog())
	}
}

// catalog builds a catalog of the upstreams that are published.
func (w *Simulation) catalog() *catalog.Catalog {
	targets := []catalog.Target{{Service: ServiceName, Weight: 1}}
	decode := func(item replica.Item) (c catalog.Change, err error) {
		if item.Key == "config" {
			c.Config = &catalog.Config{
				Version:  1,
				Routes:   []catalog.Route{{Address: LongLivedAddress, Targets: targets}, {Address: ShortLivedAddress, Targets: targets}},
				Services: []catalog.Service{{Name: ServiceName, ColdPerSecond: w.setup.ColdPerSecond}},
			}
			return c, nil
		}
		for _, u := range w.Upstreams {
			if replica.Key(u.published.ID) == item.Key {
				published := u.published
				c.Upstream = &published
			}
		}
		return c, nil
	}
	b := catalog.NewBuilder(decode, func(replica.Item, error) {}, 0)
	items := []replica.Item{{Key: "config", Revision: 1, Created: 1}}
	for i, u := range w.Upstreams {
		items = append(items, replica.Item{Key: replica.Key(u.published.ID), Revision: replica.Revision(2 + i), Created: replica.Revision(2 + i)})
		if u.Deregistered {
			items = append(items, replica.Item{Key: replica.Key(u.published.ID), Revision: w.rev + 1000, Removed: true})
		}
	}
	b.Apply(w.Now, items, false)
	return b.Build(w.rev)
}

// exchange tells each VM the loads of the others.
func (w *Simulation) exchange() {
	own := make([]map[catalog.Token]forward.Load, len(w.VMs))
	for i, vm := range w.VMs {
		own[i] = vm.Engine.Loads()
	}
	for i, vm := range w.VMs {
		sums := make(map[catalog.Token]forward.Load)
		for j := range w.VMs {
			if i == j || w.Partitioned(vm.Domain, w.VMs[j].Domain) {
				continue
			}
			for t, s := range own[j] {
				sums[t] = forward.Load{Expected: sums[t].Expected + s.Expected, InFlight: sums[t].InFlight + s.InFlight}
			}
		}
		vm.Engine.SetPeerLoads(sums)
	}
}

// tell passes on to the neighbours of a VM what is new of silent upstreams.
func (w *Simulation) tell(vm *VM) {
	list := vm.Engine.Suspicions(w.Now)
	if len(list) == 0 || w.setup.NoSuspicionGossip {
		return
	}
	w.SuspicionsSent += len(list)
	w.after(wordAfter, func() {
		for _, other := range w.VMs {
			if other != vm && other.Domain == vm.Domain {
				other.Engine.MergeSuspicions(w.Now, list)
			}
		}
	})
}

// pathBackAfter is the time after which VMs notice that a partition has healed.
const pathBackAfter clock.Millis = 500

// Heal ends a partition.
func (w *Simulation) Heal() {
	w.Partitioned = func(ident.DomainName, ident.DomainName) bool { return false }
	w.after(pathBackAfter, func() {
		for _, vm := range w.VMs {
			for _, d := range w.setup.Domains {
				vm.Engine.ResetDomainHealth(w.Now, d.Name)
			}
		}
	})
}

// At does something at a time, or now if that is past.
func (w *Simulation) At(at clock.Millis, do func()) {
	w.order++
	heap.Push(&w.events, event{at: max(at, w.Now), order: w.order, do: do})
}

func (w *Simulation) after(d clock.Millis, do func()) { w.At(w.Now+d, do) }

func (w *Simulation) every(d clock.Millis, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

// Run plays until the given time.
func (w *Simulation) Run(until clock.Millis) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = until
}

// passes reports whether a packet between two failure domains arrives.
func (w *Simulation) passes(a, b ident.DomainName) bool {
	return !w.Partitioned(a, b) && w.rng.Float64() >= w.setup.LossRate
}

func delay(a, b ident.DomainName) clock.Millis {
	if a == b {
		return delayNear
	}
	return delayFar
}

// packet carries a caller's packet through a VM.
func (w *Simulation) packet(vm *VM, f *Flow, p forward.Packet) {
	if !w.passes(f.caller.Domain, vm.Domain) {
		return
	}
	d := vm.Engine.Handle(w.Now, &p)
	switch d.Action {
	case forward.Forward:
		w.deliver(vm, f, p, d)
	case forward.Refuse:
		w.reset(vm, f)
	case forward.Drop:
	}
	for _, lost := range vm.Engine.PendingResets() {
		for _, l := range w.loads {
			if other := l.byPort[lost.Caller]; other != nil {
				w.reset(vm, other)
			}
		}
	}
}

func (w *Simulation) deliver(vm *VM, f *Flow, p forward.Packet, d forward.Decision) {
	u := w.Upstreams[d.Name-1]
	if !w.passes(vm.Domain, u.Domain) {
		return
	}
	w.after(delay(vm.Domain, u.Domain), func() { u.receive(f, p, d.Token) })
}

// reset ends a flow by a VM's reset.
func (w *Simulation) reset(vm *VM, f *Flow) {
	if f.upstream != nil && !f.closed {
		w.Resets++
		if f.upstream.Alive && f.upstream.flows[f] && !w.Partitioned(vm.Domain, f.upstream.Domain) {
			w.SpuriousResets++
		}
	}
	w.after(delayNear, func() { f.ended() })
}
