// Package packet encodes and decodes the packets of the data path: TCP or UDP over
// IPv4 or IPv6 in Geneve over UDP (RFC 8926).
//
// Parsing works in place and does not allocate for packets without Geneve options.
// Packets are forwarded unmodified.
package packet
