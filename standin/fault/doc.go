// Package fault injects faults between VMs: loss, delay, reordering,
// duplication, cuts in one direction and paths that take data but pass none
// on.
//
// A VMProxy stands before one VM and forwards UDP datagrams and TCP
// connections to it. The sender is told apart by its address, so that each
// direction between two VMs has a rule of its own.
package fault
