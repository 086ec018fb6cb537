package packet

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

// Errors of Parser.Parse.
var (
	ErrTunnel    = errors.New("packet: invalid or unsupported Geneve header")
	ErrNetwork   = errors.New("packet: invalid or unsupported Ethernet or IP header")
	ErrTransport = errors.New("packet: neither TCP nor UDP, or invalid transport header")
	ErrFragment  = errors.New("packet: IP fragment")
)

// maxOptionBytes is the largest accepted size of the Geneve options. The decoder's
// offset, which includes the 8-byte header, has only eight bits.
const maxOptionBytes = 244

const (
	geneveHeaderBytes = 8
	tupleHeaderBytes  = 4 + 1
	maxTupleBytes     = tupleHeaderBytes + 2*16 + 4
)

// Flags is a set of TCP flags.
type Flags uint8

// TCP flags that steering depends on.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	ACK
)

// Has reports whether all flags of mask are set.
func (f Flags) Has(mask Flags) bool { return f&mask == mask }

// Info holds the fields of a packet that steering depends on. Seq, Ack and Flags are
// zero for UDP.
type Info struct {
	VNI   config.VNI
	ID    flow.ID
	TCP   bool
	Flags Flags
	Seq   uint32
	Ack   uint32
	Src   netip.AddrPort
	Dst   netip.AddrPort
	// Payload is the transport payload. It refers to the parsed data.
	Payload []byte
}

// Parser decodes packets. It reuses its decoded layers between calls and is not safe
// for concurrent use.
type Parser struct {
	key    flow.Key
	tuple  [maxTupleBytes]byte
	geneve layers.Geneve
	eth    layers.Ethernet
	ip4    layers.IPv4
	ip6    layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
}

// NewParser returns a parser that computes flow identifiers with key.
func NewParser(key flow.Key) *Parser { return &Parser{key: key} }

// SetKey replaces the key of the flow hash.
func (p *Parser) SetKey(key flow.Key) { p.key = key }

// Parse decodes data, a UDP payload received on the tunnel port. It returns
// ErrTunnel, ErrNetwork, ErrTransport or ErrFragment if the packet cannot be
// steered.
func (p *Parser) Parse(data []byte, info *Info) error {
	if len(data) < geneveHeaderBytes || int(data[0]&0x3f)*4 > maxOptionBytes {
		return ErrTunnel
	}
	if err := p.geneve.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ErrTunnel
	}
	if p.geneve.Version != 0 || p.geneve.OAMPacket || p.geneve.CriticalOption {
		return ErrTunnel
	}
	info.VNI = config.VNI(p.geneve.VNI)
	inner, kind := p.geneve.Payload, p.geneve.Protocol
	if kind == layers.EthernetTypeTransparentEthernetBridging {
		if err := p.eth.DecodeFromBytes(inner, gopacket.NilDecodeFeedback); err != nil {
			return ErrNetwork
		}
		inner, kind = p.eth.Payload, p.eth.EthernetType
	}
	switch kind {
	case layers.EthernetTypeIPv4:
		return p.parse4(inner, info)
	case layers.EthernetTypeIPv6:
		return p.parse6(inner, info)
	}
	return ErrNetwork
}

func (p *Parser) parse4(data []byte, info *Info) error {
	if err := p.ip4.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ErrNetwork
	}
	if p.ip4.Flags&layers.IPv4MoreFragments != 0 || p.ip4.FragOffset != 0 {
		return ErrFragment
	}
	return p.transport(p.ip4.Protocol, p.ip4.SrcIP, p.ip4.DstIP, p.ip4.Payload, info)
}

func (p *Parser) parse6(data []byte, info *Info) error {
	if err := p.ip6.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ErrNetwork
	}
	if p.ip6.NextHeader == layers.IPProtocolIPv6Fragment {
		return ErrFragment
	}
	return p.transport(p.ip6.NextHeader, p.ip6.SrcIP, p.ip6.DstIP, p.ip6.Payload, info)
}

func (p *Parser) transport(proto layers.IPProtocol, from, to, data []byte, info *Info) error {
	var src, dst uint16
	switch proto {
	case layers.IPProtocolTCP:
		if err := p.tcp.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return ErrTransport
		}
		src, dst = uint16(p.tcp.SrcPort), uint16(p.tcp.DstPort)
		info.TCP, info.Flags = true, tcpFlags(&p.tcp)
		info.Seq, info.Ack = p.tcp.Seq, p.tcp.Ack
		info.Payload = p.tcp.Payload
	case layers.IPProtocolUDP:
		if err := p.udp.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return ErrTransport
		}
		src, dst = uint16(p.udp.SrcPort), uint16(p.udp.DstPort)
		info.TCP, info.Flags, info.Seq, info.Ack = false, 0, 0, 0
		info.Payload = p.udp.Payload
	default:
		return ErrTransport
	}
	a, _ := netip.AddrFromSlice(from)
	b, _ := netip.AddrFromSlice(to)
	info.Src, info.Dst = netip.AddrPortFrom(a, src), netip.AddrPortFrom(b, dst)
	binary.BigEndian.PutUint32(p.tuple[:], uint32(info.VNI))
	p.tuple[4] = byte(proto)
	n := tupleHeaderBytes
	n += copy(p.tuple[n:], from)
	n += copy(p.tuple[n:], to)
	binary.BigEndian.PutUint16(p.tuple[n:], src)
	binary.BigEndian.PutUint16(p.tuple[n+2:], dst)
	info.ID = p.key.Hash(p.tuple[:n+4])
	return nil
}

func tcpFlags(t *layers.TCP) (f Flags) {
	if t.FIN {
		f |= FIN
	}
	if t.SYN {
		f |= SYN
	}
	if t.RST {
		f |= RST
	}
	if t.ACK {
		f |= ACK
	}
	return f
}
