// Package steering decides for each packet which upstream or VM it is sent to.
//
// Every VM runs one Engine with a flow table. Each flow has a home, the only VM
// that places it on an upstream while it is new. A VM without an entry for a
// flow forwards the packet to the home (a detour). The home forwards it to the
// upstream and, for long-lived flows, sends the upstream to the detouring VM,
// which caches it. SYN, FIN and RST always pass through the home, and so does
// one packet of each cached flow per refresh period, so that the home learns
// without control messages which flows are open and which ended.
//
// A home without an entry for a flow adopts the upstream cached by the detouring
// VM. Without one it queries the previous homes and the next VMs in rank, and
// then falls back to the lookup table. Only exceptions, flows whose upstream is
// not the table's pick, are copied to other VMs.
//
// The package opens no sockets and reads no clock. Packets and times are its
// input; actions, messages and releases are its output.
package steering
