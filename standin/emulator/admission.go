package emulator

import "github.com/amaranthswitch/amaranthswitch/fleet/forward"

// countHeldBack counts an opening that a VM did not admit for want of room.
func (sim *Simulation) countHeldBack(vm *VM, r forward.Reason) {
	if r != forward.NoRoom && r != forward.AwaitRoom {
		return
	}
	sim.HeldBack++
	if r == forward.AwaitRoom {
		return
	}
	sim.Refused++
	reachable, free := 0, 0
	for _, u := range sim.Upstreams {
		if !u.Alive || u.Deregistered || sim.Partitioned(vm.Domain, u.Domain) {
			continue
		}
		reachable++
		if u.active < sim.setup.Slots {
			free++
		}
	}
	if 10*free > reachable {
		sim.RefusedWithRoom++
	}
}
