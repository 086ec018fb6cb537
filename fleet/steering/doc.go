// Package steering decides where each packet goes.
//
// Every VM runs one Engine. A packet's flow has a home VM, which alone places
// a new flow on an upstream. A VM without an entry for a flow sends the packet
// to the home (a detour); the home forwards it and, for flows that go on,
// tells the VM where the flow is. SYN, FIN and RST always pass the home, and
// so does one packet of each cached flow per refresh period, so that the home
// learns which flows live and which ended without control messages.
//
// A home that misses an entry adopts what the detouring VM believes, asks
// earlier and neighbouring homes, and falls back to the lookup table. Only
// exceptions, flows whose upstream is not the table's pick, are copied to the
// second home.
//
// The package holds no sockets and reads no clock: packets and times go in,
// actions, messages and releases come out.
package steering
