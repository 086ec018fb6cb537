package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

const hopLimit = 64

// Segment describes a TCP segment or UDP datagram to build.
type Segment struct {
	VNI      config.VNI
	Src, Dst netip.AddrPort
	TCP      bool
	Flags    Flags
	Seq, Ack uint32
	Payload  []byte
}

// Build encodes s as a Geneve payload with an inner IP packet.
func Build(s Segment) (data []byte, err error) {
	defer func() { err = eris.Wrap(err, "packet: build") }()
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	ip, etherType, network := ipLayer(s)
	transport := transportLayer(s, network)
	tunnel := &layers.Geneve{Protocol: etherType, VNI: uint32(s.VNI)}
	if err = gopacket.SerializeLayers(buf, opts, tunnel, ip, transport, gopacket.Payload(s.Payload)); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func ipLayer(s Segment) (ip gopacket.SerializableLayer, kind layers.EthernetType, network gopacket.NetworkLayer) {
	proto := layers.IPProtocolUDP
	if s.TCP {
		proto = layers.IPProtocolTCP
	}
	if s.Src.Addr().Is4() {
		l := &layers.IPv4{Version: 4, TTL: hopLimit, Protocol: proto, SrcIP: s.Src.Addr().AsSlice(), DstIP: s.Dst.Addr().AsSlice()}
		return l, layers.EthernetTypeIPv4, l
	}
	l := &layers.IPv6{Version: 6, HopLimit: hopLimit, NextHeader: proto, SrcIP: s.Src.Addr().AsSlice(), DstIP: s.Dst.Addr().AsSlice()}
	return l, layers.EthernetTypeIPv6, l
}

func transportLayer(s Segment, network gopacket.NetworkLayer) gopacket.SerializableLayer {
	if !s.TCP {
		l := &layers.UDP{SrcPort: layers.UDPPort(s.Src.Port()), DstPort: layers.UDPPort(s.Dst.Port())}
		_ = l.SetNetworkLayerForChecksum(network)
		return l
	}
	l := &layers.TCP{
		SrcPort: layers.TCPPort(s.Src.Port()),
		DstPort: layers.TCPPort(s.Dst.Port()),
		Seq:     s.Seq,
		Ack:     s.Ack,
		FIN:     s.Flags.Has(FIN),
		SYN:     s.Flags.Has(SYN),
		RST:     s.Flags.Has(RST),
		ACK:     s.Flags.Has(ACK),
		Window:  65535,
	}
	_ = l.SetNetworkLayerForChecksum(network)
	return l
}

// Decode reads data as a Segment with its addresses and payload. It allocates
// and serves the slow path and the stand-ins.
func Decode(data []byte) (s Segment, err error) {
	p := NewParser(flow.Key{})
	var info Info
	if err = p.Parse(data, &info); err != nil {
		return Segment{}, err
	}
	return Segment{
		VNI: info.VNI, Src: info.Src, Dst: info.Dst, TCP: info.TCP,
		Flags: info.Flags, Seq: info.Seq, Ack: info.Ack, Payload: info.Payload,
	}, nil
}

// BuildReset builds the TCP reset that answers the packet data towards its sender.
// The second result is false for packets that must not be answered: UDP and
// resets themselves.
func BuildReset(data []byte) (reply []byte, ok bool) {
	s, err := Decode(data)
	if err != nil || !s.TCP || s.Flags.Has(RST) {
		return nil, false
	}
	r := Segment{VNI: s.VNI, Src: s.Dst, Dst: s.Src, TCP: true, Flags: RST}
	if s.Flags.Has(ACK) {
		r.Seq = s.Ack
	} else {
		r.Flags |= ACK
		r.Ack = s.Seq + segmentLength(s)
	}
	reply, err = Build(r)
	return reply, err == nil
}

// segmentLength counts the sequence numbers that s takes.
func segmentLength(s Segment) (n uint32) {
	n = uint32(len(s.Payload))
	if s.Flags.Has(SYN) {
		n++
	}
	if s.Flags.Has(FIN) {
		n++
	}
	return n
}
