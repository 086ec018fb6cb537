package flowend

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of packets.
const (
	FlagRST byte = 2
	FlagFIN byte = 4
	FlagSYN byte = 8
	FlagACK byte = 128
)

const (
	headBytes = 31
	nameBytes = 8
)

// Packet is a packet of a flow.
type Packet struct {
	Flags    byte
	Token    uint32
	Seq, Ack uint32
	To, From netip.AddrPort
	Checksum uint32
	Data     []byte
}

// Append appends the packet as it travels, with its sum unless it is a reset
// of the balancer's own, whose sum is 0.
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
	buf = binary.BigEndian.AppendUint32(buf, sum(buf[start:], p.Data))
	return append(buf, p.Data...)
}

// sum covers all but the token.
func sum(head, data []byte) uint32 {
	h := crc32.NewIEEE()
	_, _ = h.Write(head[:1])
	_, _ = h.Write(head[5:27])
	_, _ = h.Write(data)
	return h.Sum32()
}

// Parse reads a packet. It fails if the packet was changed on its way.
func Parse(data []byte) (p Packet, ok bool) {
	if len(data) < headBytes || len(data) != headBytes+int(binary.BigEndian.Uint16(data[25:])) {
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
		Data:     append([]byte(nil), data[headBytes:]...),
	}
	ours := p.Flags == FlagRST && p.Checksum == 0 && len(p.Data) == 0
	return p, ours || p.Checksum == sum(data, p.Data)
}
