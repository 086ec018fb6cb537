// Package emulator is a discrete-event simulator that runs the engines of package
// forward in virtual time. It models callers that open flows, retransmit and retry,
// VMs with one engine each, upstreams with slots and a queue, and a network with
// delay, loss and partitions. Runs with the same seed are identical.
package emulator
