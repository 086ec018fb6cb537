// Package entry implements the daemon of an entry VM on a platform whose packets
// carry the upstream's token.
//
// It connects the forwarding engine of package forward to its inputs and outputs:
// the packets of the fabric, the published items, the other entry VMs and the
// operators. An Adapter supplies the packet format and the store of a platform.
package entry
