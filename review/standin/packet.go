package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flag bits of the packet header.
const (
	flagRST byte = 2
	flagFIN byte = 4
	flagSYN byte = 8
	flagACK byte = 128
)

const (
	headerBytes   = 31
	envelopeBytes = 8
	// resetWindow is the distance between the sequence number of a reset and the
	// last acknowledgement of the consumer within which the reset is taken.
	resetWindow = 76_800
)

// packet is a packet of a flow.
type packet struct {
	flags    byte
	echo     uint32
	seq, ack uint32
	dst, src netip.AddrPort
	sum      uint32
	data     []byte
}

var sumKey = []byte("review")

func (p *packet) append(buf []byte) []byte {
	start := len(buf)
	buf = append(buf, p.flags)
	buf = binary.BigEndian.AppendUint32(buf, p.echo)
	buf = binary.BigEndian.AppendUint32(buf, p.seq)
	buf = binary.BigEndian.AppendUint32(buf, p.ack)
	buf = binary.BigEndian.AppendUint16(buf, p.dst.Port())
	buf = append(buf, p.dst.Addr().AsSlice()...)
	buf = append(buf, p.src.Addr().AsSlice()...)
	buf = binary.BigEndian.AppendUint16(buf, p.src.Port())
	buf = binary.BigEndian.AppendUint16(buf, uint16(len(p.data)))
	buf = binary.BigEndian.AppendUint32(buf, keyedSum(buf[start:], p.data))
	return append(buf, p.data...)
}

// keyedSum covers all fields but the echo.
func keyedSum(head, data []byte) uint32 {
	h := crc32.NewIEEE()
	_, _ = h.Write(sumKey)
	_, _ = h.Write(head[:1])
	_, _ = h.Write(head[5:27])
	_, _ = h.Write(data)
	return max(1, h.Sum32())
}

// parsePacket parses a packet. written reports whether one of the two ends of the flow
// wrote it so; systemReset whether it is a reset of the system's own.
func parsePacket(b []byte) (p packet, written, systemReset bool) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.BigEndian.Uint16(b[25:])) {
		return p, false, false
	}
	p = packet{
		flags: b[0],
		echo:  binary.BigEndian.Uint32(b[1:]),
		seq:   binary.BigEndian.Uint32(b[5:]),
		ack:   binary.BigEndian.Uint32(b[9:]),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[15:19])), binary.BigEndian.Uint16(b[13:])),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[19:23])), binary.BigEndian.Uint16(b[23:])),
		sum:   binary.BigEndian.Uint32(b[27:]),
		data:  append([]byte(nil), b[headerBytes:]...),
	}
	return p, p.sum == keyedSum(b, p.data), p.flags == flagRST && p.sum == 0 && len(p.data) == 0
}
