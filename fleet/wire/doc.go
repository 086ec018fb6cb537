// Package wire encodes the datagrams that VMs exchange.
//
// The first byte tells the kind. A detour is a fixed header and the packet as
// it came; all other kinds carry one CBOR value (RFC 8949) with structs as
// arrays.
package wire
