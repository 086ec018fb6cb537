// Package emulator plays loads in virtual time against the real decisions of
// package forward: callers that open flows, send again and retry, VMs with an
// engine each, upstreams with slots and a queue, and a network with delays, loss
// and partitions. With the same seed it does the same.
package emulator
