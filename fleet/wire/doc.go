// Package wire encodes the datagrams that VMs exchange.
//
// The first byte of a datagram is its kind. A detour, which forwards a packet to
// another VM, has a binary header followed by the unmodified packet. All other kinds
// carry one CBOR value (RFC 8949) with structs encoded as arrays.
package wire
