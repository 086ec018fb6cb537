package emulator

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/quality"
)

const (
	// sampleGossipInterval is the period at which a VM learns the samples of others of
	// the answers of upstreams. VMs do so at different times.
	sampleGossipInterval clock.Millis = 500
	// reportsHeard is the number of VMs whose reports a VM holds: each sends four per
	// period, which are valid for three periods.
	reportsHeard = 12
)

// startSampleGossip starts the exchange of samples.
func (sim *Simulation) startSampleGossip() {
	for i, vm := range sim.VMs {
		sim.after(sampleGossipInterval*clock.Millis(i)/clock.Millis(len(sim.VMs)), func() {
			sim.every(sampleGossipInterval, func() { sim.gossipSamples(vm) })
		})
	}
}

// gossipSamples gives a VM, after Setup.SampleDelay, the summed samples of other VMs of
// its failure domain. These are others in each period.
func (sim *Simulation) gossipSamples(vm *VM) {
	var others []*VM
	for _, other := range sim.VMs {
		if other.Domain == vm.Domain && other != vm {
			others = append(others, other)
		}
	}
	sums := make(map[catalog.Token]quality.Sample)
	round := int(sim.Now / sampleGossipInterval)
	for k := range min(len(others), reportsHeard) {
		for t, s := range others[(round+k)%len(others)].Engine.Samples(sim.Now) {
			sums[t] = sums[t].Add(s)
		}
	}
	sim.after(sim.setup.SampleDelay, func() { vm.process.run(func() { vm.Engine.SetPeerSamples(sums) }) })
}
