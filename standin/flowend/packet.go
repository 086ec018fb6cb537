package flowend

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flag bits of the packet header.
const (
	FlagRST byte = 2
	FlagFIN byte = 4
	FlagSYN byte = 8
	FlagACK byte = 128
)

const (
	headerBytes   = 31
	envelopeBytes = 8
)

// Packet is a packet of a flow. Seq and Ack are sequence numbers in bytes; in a SYN,
// Ack counts the retransmissions.
type Packet struct {
	Flags    byte
	Token    uint32
	Seq, Ack uint32
	To, From netip.AddrPort
	Checksum uint32
	Data     []byte
}

// Append appends the encoded packet to buf, with a computed checksum.
func (p *Packet) Append(buf []byte) []byte {
	start := len(buf)
	buf = append(buf, p.Flags)
	buf = binary.BigEndian.AppendUint32(buf, p.Token)
	buf = binary.BigEndian.AppendUint32(buf, p.Seq)
	buf = binary.BigEndian.AppendUint32(buf, p.Ack)
	buf = binary.BigEndian.AppendUint16(buf, p.To.Port())
	buf = append(buf, p.To.Addr().AsSlice()...)
	buf = append(buf, p.From.Addr().AsSlice()...)
	buf = binary.BigEndian.AppendUint16(buf, p.From.Port())
	buf = binary.BigEndian.AppendUint16(buf, uint16(len(p.Data)))
	buf = binary.BigEndian.AppendUint32(buf, checksum(buf[start:], p.Data))
	return append(buf, p.Data...)
}

// checksum returns the checksum of a packet. It covers all fields but the token, which the
// load balancer may write into a SYN.
func checksum(head, data []byte) uint32 {
	h := crc32.NewIEEE()
	_, _ = h.Write(head[:1])
	_, _ = h.Write(head[5:27])
	_, _ = h.Write(data)
	return h.Sum32()
}

// Parse parses a packet. ok is false if its length or checksum is wrong. The checksum
// 0 is valid for resets that the load balancer generates.
func Parse(data []byte) (p Packet, ok bool) {
	if len(data) < headerBytes || len(data) != headerBytes+int(binary.BigEndian.Uint16(data[25:])) {
		return p, false
	}
	p = Packet{
		Flags:    data[0],
		Token:    binary.BigEndian.Uint32(data[1:]),
		Seq:      binary.BigEndian.Uint32(data[5:]),
		Ack:      binary.BigEndian.Uint32(data[9:]),
		To:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[15:19])), binary.BigEndian.Uint16(data[13:])),
		From:     netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[19:23])), binary.BigEndian.Uint16(data[23:])),
		Checksum: binary.BigEndian.Uint32(data[27:]),
		Data:     append([]byte(nil), data[headerBytes:]...),
	}
	ours := p.Flags == FlagRST && p.Checksum == 0 && len(p.Data) == 0
	return p, ours || p.Checksum == checksum(data, p.Data)
}
