// Package packet reads and writes the packets of the data path: Geneve over
// UDP (RFC 8926) around IPv4 or IPv6 with TCP or UDP.
//
// Parsing is in place and allocates nothing for packets without Geneve
// options. The payload is never changed: a packet is forwarded as it came.
package packet
