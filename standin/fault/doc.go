// Package fault injects network faults between VMs: packet loss, delay, reordering,
// duplication, one-way partitions and black holes.
//
// A VMProxy is a reverse proxy for one VM, which forwards UDP datagrams and TCP
// connections. It applies a rule per sender address, so that the two directions
// between a pair of VMs have independent rules.
package fault
