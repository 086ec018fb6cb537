package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// net delivers messages between lists without delay, unless cut drops them.
type net struct {
	t     *testing.T
	now   clock.Millis
	vms   []VM
	lists map[config.VMID]*List
	cut   func(from, to config.VMID) bool
	sent  map[config.VMID]int
	rng   *rand.Rand
}

func newNet(t *testing.T, domains, perDomain int) *net {
	n := &net{
		t: t, now: 1_000_000, lists: make(map[config.VMID]*List), sent: make(map[config.VMID]int),
		cut: func(_, _ config.VMID) bool { return false }, rng: rand.New(rand.NewPCG(1, 4)),
	}
	for d := range domains {
		for i := range perDomain {
			id := config.VMID(fmt.Sprintf("%c%d", 'a'+d, i))
			n.vms = append(n.vms, VM{ID: id, Domain: config.DomainName(id[:1])})
		}
	}
	for _, vm := range n.vms {
		n.start(vm)
	}
	n.run(8 * clock.Second)
	return n
}

func (n *net) start(vm VM) {
	l := New(n.now, vm, DefaultTimers(), 1)
	l.SetListedVMs(n.now, n.vms)
	l.SetHome(true)
	n.lists[vm.ID] = l
}

func (n *net) run(d clock.Millis) {
	for end := n.now + d; n.now < end; n.now += 50 {
		for _, vm := range n.vms {
			if l := n.lists[vm.ID]; l != nil {
				n.deliver(vm.ID, l.Tick(n.now))
			}
		}
	}
}

func (n *net) deliver(from config.VMID, out []Envelope) {
	for _, s := range out {
		n.sent[from]++
		to := n.lists[s.To.ID]
		if to == nil || n.cut(from, s.To.ID) {
			continue
		}
		replies, _ := to.Receive(n.now, s.Msg)
		n.deliver(s.To.ID, replies)
	}
}

// sees returns the state of a VM as seen by another one.
func (n *net) sees(who, whom config.VMID) Peer {
	for _, p := range n.lists[who].Snapshot() {
		if p.ID == whom {
			return p
		}
	}
	return Peer{}
}

func (n *net) all(check func(who config.VMID) bool) bool {
	for id := range n.lists {
		if !check(id) {
			return false
		}
	}
	return true
}

func TestAllAlive(t *testing.T) {
	for _, size := range []struct{ domains, perDomain int }{{1, 1}, {1, 2}, {3, 3}, {4, 12}} {
		n := newNet(t, size.domains, size.perDomain)
		assert.Assert(t, n.all(func(who config.VMID) bool {
			for _, vm := range n.vms {
				if p := n.sees(who, vm.ID); p.State != Alive || !p.Home {
					return false
				}
			}
			return true
		}), "%d domains of %d", size.domains, size.perDomain)
	}
}

func TestFailureDetected(t *testing.T) {
	n := newNet(t, 3, 3)
	delete(n.lists, "a1")
	n.run(4 * clock.Second)
	assert.Assert(t, n.all(func(who config.VMID) bool { return n.sees(who, "a1").State == Dead }))
	n.start(n.vms[1])
	n.run(3 * clock.Second)
	assert.Assert(t, n.all(func(who config.VMID) bool { return who == "a1" || n.sees(who, "a1").State == Alive }))
}

func TestBadPathIsNotFailure(t *testing.T) {
	n := newNet(t, 3, 3)
	n.cut = func(from, to config.VMID) bool { return from == "a0" && to == "b0" || from == "b0" && to == "a0" }
	n.run(20 * clock.Second)
	assert.Assert(t, n.all(func(who config.VMID) bool {
		return n.sees(who, "a0").State == Alive && n.sees(who, "b0").State == Alive
	}))
	assert.Assert(t, !n.sees("a0", "b0").Reachable)
	assert.Assert(t, n.sees("a0", "c0").Reachable)
}

func TestPartitionHeals(t *testing.T) {
	n := newNet(t, 3, 3)
	n.cut = func(from, to config.VMID) bool { return (from[0] == 'a') != (to[0] == 'a') }
	n.run(10 * clock.Second)
	assert.Equal(t, n.sees("a0", "b1").State, Dead)
	assert.Equal(t, n.sees("a0", "a1").State, Alive)
	assert.Equal(t, n.sees("b0", "a2").State, Dead)
	n.cut = func(_, _ config.VMID) bool { return false }
	n.run(10 * clock.Second)
	assert.Assert(t, n.all(func(who config.VMID) bool {
		for _, vm := range n.vms {
			if n.sees(who, vm.ID).State != Alive {
				return false
			}
		}
		return true
	}))
}

func TestPausedVMRefutes(t *testing.T) {
	n := newNet(t, 3, 3)
	paused := n.lists["b2"]
	delete(n.lists, "b2")
	n.run(10 * clock.Second)
	assert.Equal(t, n.sees("a0", "b2").State, Dead)
	n.lists["b2"] = paused
	n.run(6 * clock.Second)
	assert.Assert(t, n.all(func(who config.VMID) bool { return n.sees(who, "b2").State == Alive }))
}

func TestLeaveIsAnnounced(t *testing.T) {
	n := newNet(t, 3, 3)
	n.lists["c0"].Leave()
	n.deliver("c0", n.lists["c0"].Announce(n.now))
	assert.Assert(t, n.all(func(who config.VMID) bool {
		p := n.sees(who, "c0")
		return p.State == Leaving && !p.Home
	}))
}

func TestUnlistedIsIgnored(t *testing.T) {
	n := newNet(t, 1, 2)
	unlisted := VM{ID: "z9", Domain: "a"}
	_, ok := n.lists["a0"].Receive(n.now, Message{Kind: Ping, From: unlisted.ID, Self: Update{ID: unlisted.ID}})
	assert.Assert(t, !ok)
	for _, l := range n.lists {
		l.SetListedVMs(n.now, nil)
	}
	n.run(120 * clock.Second)
	assert.Equal(t, n.sees("a0", "a1").State, Alive, "a VM that answers was removed because of a stale list")
}

func TestCostIndependentOfFleetSize(t *testing.T) {
	rate := func(perDomain int) float64 {
		n := newNet(t, 3, perDomain)
		n.sent = make(map[config.VMID]int)
		n.run(20 * clock.Second)
		total := 0
		for _, c := range n.sent {
			total += c
		}
		return float64(total) / float64(len(n.lists)) / 20
	}
	small, large := rate(3), rate(20)
	t.Logf("messages per second and VM: %.1f with 9 VMs, %.1f with 60", small, large)
	assert.Assert(t, large < 1.3*small)
}

// TestReportedVMIsReachable checks that a VM known only from updates of others counts as
// reachable until probes of it stay unanswered.
func TestReportedVMIsReachable(t *testing.T) {
	vms := []VM{{ID: "a0", Domain: "a"}, {ID: "a1", Domain: "a"}, {ID: "a2", Domain: "a"}}
	l := New(1, vms[0], DefaultTimers(), 1)
	l.SetListedVMs(1, vms)
	assert.Assert(t, !l.Snapshot()[2].Reachable)
	about := Update{ID: "a2", Incarnation: 5, State: Alive, Home: true}
	l.Merge(2, []Update{about})
	assert.Assert(t, l.Changed() && l.Snapshot()[2].Reachable)
	for now := clock.Millis(2); now < 900; now += 50 {
		l.Tick(now)
	}
	assert.Assert(t, l.Changed() && !l.Snapshot()[2].Reachable)
	_, ok := l.Receive(901, Message{Kind: Ping, From: "a2", Self: about})
	assert.Assert(t, ok && l.Changed())
}
