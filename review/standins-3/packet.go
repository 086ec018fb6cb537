package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flag bits of the packet header.
const (
	flagRST = 2
	flagFIN = 4
	flagSYN = 8
	flagACK = 128
)

const (
	headerBytes   = 31
	envelopeBytes = 8
)

// packet is one datagram of a flow, see PROTOCOL.md, "Packets".
type packet struct {
	flags    byte
	echo     uint32
	seq, ack uint32
	to, from netip.AddrPort
	sum      uint32
	data     []byte
}

// sumKey keys the sum, so that the system cannot compute it.
var sumKey = []byte("stand-in key")

func (p *packet) encode(buf []byte) []byte {
	start := len(buf)
	buf = append(buf, p.flags)
	buf = binary.BigEndian.AppendUint32(buf, p.echo)
	buf = binary.BigEndian.AppendUint32(buf, p.seq)
	buf = binary.BigEndian.AppendUint32(buf, p.ack)
	buf = binary.BigEndian.AppendUint16(buf, p.to.Port())
	buf = append(buf, p.to.Addr().AsSlice()...)
	buf = append(buf, p.from.Addr().AsSlice()...)
	buf = binary.BigEndian.AppendUint16(buf, p.from.Port())
	buf = binary.BigEndian.AppendUint16(buf, uint16(len(p.data)))
	buf = binary.BigEndian.AppendUint32(buf, sumOf(buf[start:], p.data))
	return append(buf, p.data...)
}

// sumOf returns the keyed sum over all fields except echo.
func sumOf(head, data []byte) uint32 {
	h := crc32.NewIEEE()
	_, _ = h.Write(sumKey)
	_, _ = h.Write(head[:1])
	_, _ = h.Write(head[5:27])
	_, _ = h.Write(data)
	return h.Sum32() | 1
}

// parsePacket decodes a packet. sound is false if its sum is wrong.
func parsePacket(b []byte) (p packet, sound bool) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.BigEndian.Uint16(b[25:])) {
		return p, false
	}
	p = packet{
		flags: b[0], echo: binary.BigEndian.Uint32(b[1:]), seq: binary.BigEndian.Uint32(b[5:]), ack: binary.BigEndian.Uint32(b[9:]),
		to:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[15:19])), binary.BigEndian.Uint16(b[13:])),
		from: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[19:23])), binary.BigEndian.Uint16(b[23:])),
		sum:  binary.BigEndian.Uint32(b[27:]),
		data: append([]byte(nil), b[headerBytes:]...),
	}
	return p, p.sum == sumOf(b, p.data)
}

// isOwnReset reports whether the packet is a reset of the system's own.
func (p *packet) isOwnReset() bool { return p.flags == flagRST && p.sum == 0 && len(p.data) == 0 }
