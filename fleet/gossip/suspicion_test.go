package gossip

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// firstTwo picks the first two VMs as aggregators of every upstream.
func firstTwo(_ catalog.Token, near []ident.VMID) []ident.VMID { return near[:2] }

// TestSuspicionReachesDomain gives a broadcast suspicion to one VM of a large fleet
// and checks that it reaches nearly all of its failure domain within five hops.
func TestSuspicionReachesDomain(t *testing.T) {
	t.Parallel()
	f := newFleet(470, 8, 0, 1, 2)
	f.rounds(40)
	list := []Suspicion{{Token: 7, Broadcast: true, Stalls: []Stall{{Flow: 1, Age: 200}}}}
	informed := map[netip.AddrPort]bool{address(0): true}
	last := []netip.AddrPort{address(0)}
	hops := 0
	for ; len(last) > 0 && hops < 5; hops++ {
		var next []netip.AddrPort
		for _, a := range last {
			for _, s := range f.groups[a].DisseminateSuspicions(f.now, f.states[a], list, firstTwo) {
				assert.Equal(t, f.groups[s.To].self.Domain, f.groups[a].self.Domain)
				if !informed[s.To] {
					informed[s.To] = true
					next = append(next, s.To)
				}
			}
		}
		last = next
	}
	assert.Assert(t, len(informed) >= 56, "%d of 59 VMs after %d hops", len(informed), hops)
}

// TestStallsGoToAggregators checks that suspicions that are not broadcast, which
// ordinary packet loss causes all the time, go to the aggregators only.
func TestStallsGoToAggregators(t *testing.T) {
	f := newFleet(60, 1, 0)
	f.rounds(20)
	g := f.groups[address(5)]
	out := g.DisseminateSuspicions(f.now, f.states[address(5)], []Suspicion{{Token: 7}, {Token: 8}}, firstTwo)
	assert.Equal(t, len(out), 2)
	for _, s := range out {
		assert.Equal(t, len(s.Message.Suspicions), 2)
	}
}
