package membership

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// TestStalledVMIsNotDeclaredDead guards against a live VM that is declared dead since
// its refutation of a suspicion arrives too late. The VM does not run for less than
// the time that it has to refute.
func TestStalledVMIsNotDeclaredDead(t *testing.T) {
	tests := []struct{ domains, perDomain int }{{1, 3}, {3, 3}, {4, 12}, {8, 20}}
	for _, test := range tests {
		n := newNet(t, test.domains, test.perDomain)
		for range 20 {
			stalled := n.vms[n.rng.IntN(len(n.vms))].ID
			l := n.lists[stalled]
			delete(n.lists, stalled)
			n.run(clock.Millis(300 + n.rng.IntN(600)))
			n.lists[stalled] = l
			for range 60 {
				n.run(50)
				for who := range n.lists {
					if who == stalled {
						continue
					}
					assert.Assert(t, n.lists[who].members[stalled].state != Dead, "%d domains of %d: %s declared %s dead", test.domains, test.perDomain, who, stalled)
				}
			}
		}
	}
}

// TestRefutationIsBounded checks that a VM sends the refutation of a suspicion to a
// bounded number of VMs.
func TestRefutationIsBounded(t *testing.T) {
	n := newNet(t, 8, 30)
	l := n.lists["a0"]
	before := n.sent["a0"]
	out, _ := l.Receive(n.now, Message{
		Kind: Ping, From: "b0", Self: Update{ID: "b0", Incarnation: n.lists["b0"].incarnation, State: Alive, Home: true},
		Updates: []Update{{ID: "a0", Incarnation: l.incarnation, State: Suspect, Home: true}},
	})
	n.deliver("a0", out)
	assert.Assert(t, n.sent["a0"]-before <= 1+refutationProbes)
	told := 0
	for _, vm := range n.vms {
		if vm.ID != "a0" && n.lists[vm.ID].members[config.VMID("a0")].incarnation == l.incarnation {
			told++
		}
	}
	assert.Assert(t, told >= refutationProbes)
}
