// Package fabric carries packets between the fabric, the engine and the
// upstreams.
//
// Several workers read the tunnel address, each with its own socket, parser
// and buffers. Packets are forwarded as they came. Detours to and from other
// VMs pass through function fields.
package fabric
