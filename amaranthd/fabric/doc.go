// Package fabric is the data path between the network fabric, the steering
// engine and the upstreams.
//
// Several workers read the tunnel address, each with its own socket, parser
// and buffers. Packets are forwarded unchanged. Detours to other VMs go through
// the Hooks, and those from other VMs come in through an Injector.
package fabric
