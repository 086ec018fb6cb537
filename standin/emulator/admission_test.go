package emulator

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/admission"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// overload is the outcome of a replay, with the requests that reached upstreams.
type overload struct {
	*Simulation
	high, low, all Load
	shed, arrived  int
}

// String returns the figures that a replay is judged by.
func (o *overload) String() string {
	return fmt.Sprintf("served %.3f of high priority, %.3f of low, %.3f of all, on time %.3f, %.3f, %.3f; upstreams rejected %d of %d; %d held back, %d refused, %d of these with room",
		servedShare(o.high), servedShare(o.low), servedShare(o.all), onTimeShare(o.high), onTimeShare(o.low), onTimeShare(o.all), o.shed, o.arrived, o.HeldBack, o.Refused, o.RefusedWithRoom)
}

// worth returns the requests served, those of high priority counted twice.
func (o *overload) worth() int { return 2*(o.high.OnTime+o.high.Late) + o.low.OnTime + o.low.Late }

// replay plays the usual loads of a small site, for 6 s factor times as many callers of
// all kinds, and later for 5 s as many of the long-lived kind alone. The short-lived kind
// has priority 1.
func replay(seed uint64, long catalog.Priority, factor int, disturb func(*Simulation), opts ...admission.Option) (o overload) {
	s := smallFleet(seed)
	s.Priorities = map[netip.AddrPort]catalog.Priority{ShortLivedAddress: 1, LongLivedAddress: long}
	s.Admission = opts
	o.Simulation = New(s)
	kinds := make(map[bool][]*Load)
	start := func(factor int, until clock.Millis, makers ...func(ident.DomainName) *Load) {
		for i := range len(s.Domains) * len(makers) {
			l := makers[i%len(makers)](s.Domains[i/len(makers)].Name)
			l.Callers, l.Until, l.LatencyTarget, l.Deadline = factor*l.Callers, until, 400, 2000
			kinds[l.Persistent] = append(kinds[l.Persistent], l)
			o.Start(l)
		}
	}
	start(1, 0, longLivedLoad, shortLivedLoad)
	o.At(6000, func() { start(factor-1, 12_000, longLivedLoad, shortLivedLoad) })
	o.At(16_000, func() { start(factor-1, 21_000, longLivedLoad) })
	disturb(o.Simulation)
	o.Run(24_000)
	for _, u := range o.Upstreams {
		o.shed, o.arrived = o.shed+u.Shed, o.arrived+u.Shed+u.Served
	}
	o.high, o.low, o.all = total(kinds[false]), total(kinds[true]), total(o.loads)
	return o
}

// TestOverload guards against overload that costs the higher priority as much as the
// lower one, starvation of the lower one, and refusals while upstreams have room.
func TestOverload(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(*Simulation){
		"overload": func(*Simulation) {},
		"half of the VMs killed": func(sim *Simulation) {
			sim.At(9000, func() { sim.Kill(sim.VMs[0], sim.VMs[2], sim.VMs[4], sim.VMs[6]) })
		},
		"partition": func(sim *Simulation) {
			sim.At(8000, func() { sim.Partitioned = func(a, b ident.DomainName) bool { return (a == "c") != (b == "c") } })
			sim.At(14_000, sim.Heal)
		},
	} {
		for seed := range uint64(2) {
			without, with := replay(seed, 2, 6, disturb, admission.WithGain(0)), replay(seed, 2, 6, disturb)
			t.Logf("%s, seed %d\nwithout: %s\nwith:    %s", name, seed, &without, &with)
			assert.Assert(t, servedShare(with.high) > 0.95 && with.worth() > without.worth())
			assert.Assert(t, servedShare(with.low) > 0.8, "the lower priority starves")
			assert.Assert(t, 2*with.shed < without.shed)
			assert.Assert(t, 10*with.RefusedWithRoom <= with.Refused && with.SpuriousResets == 0)
		}
	}
}

// TestSameWithoutPriorities guards against other decisions than before where all routes
// have one priority, or where there is room enough.
func TestSameWithoutPriorities(t *testing.T) {
	for long, factor := range map[catalog.Priority]int{1: 6, 2: 2} {
		without, with := replay(1, long, factor, func(*Simulation) {}, admission.WithGain(0)), replay(1, long, factor, func(*Simulation) {})
		assert.Equal(t, without.String(), with.String())
	}
}
