package packet

import (
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

var (
	addr4  = netip.MustParseAddrPort("198.18.0.1:40000")
	vip4   = netip.MustParseAddrPort("198.51.100.1:443")
	addr6  = netip.MustParseAddrPort("[2001:db8::1]:40000")
	vip6   = netip.MustParseAddrPort("[2001:db8::2]:443")
	sample = Segment{VNI: 101, Src: addr4, Dst: vip4, TCP: true, Flags: ACK, Seq: 10, Ack: 20, Payload: []byte("hello")}
)

func build(t testing.TB, s Segment) []byte {
	t.Helper()
	data, err := Build(s)
	assert.NilError(t, err)
	return data
}

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		s    Segment
	}{
		{"TCP over IPv4", sample},
		{"SYN over IPv6", Segment{VNI: 1 << 20, Src: addr6, Dst: vip6, TCP: true, Flags: SYN, Seq: 1}},
		{"UDP over IPv4", Segment{VNI: 5, Src: addr4, Dst: vip4, Payload: []byte("x")}},
		{"UDP over IPv6", Segment{VNI: 5, Src: addr6, Dst: vip6, Payload: []byte("x")}},
	}
	p := NewParser(flow.Key{K0: 1, K1: 2})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var info Info
			assert.NilError(t, p.Parse(build(t, test.s), &info))
			assert.Equal(t, info.VNI, test.s.VNI)
			assert.Equal(t, info.TCP, test.s.TCP)
			assert.Equal(t, info.Flags, test.s.Flags)
			assert.Equal(t, info.Src, test.s.Src)
			assert.Equal(t, info.Dst, test.s.Dst)
			assert.Equal(t, string(info.Payload), string(test.s.Payload))
			assert.Assert(t, info.ID != flow.ID{})
		})
	}
}

func TestParseInnerEthernet(t *testing.T) {
	whole := gopacket.NewPacket(build(t, sample), layers.LayerTypeGeneve, gopacket.Default)
	buf := gopacket.NewSerializeBuffer()
	err := gopacket.SerializeLayers(buf, gopacket.SerializeOptions{},
		&layers.Geneve{VNI: 101, Protocol: layers.EthernetTypeTransparentEthernetBridging},
		&layers.Ethernet{SrcMAC: make([]byte, 6), DstMAC: make([]byte, 6), EthernetType: layers.EthernetTypeIPv4},
		gopacket.Payload(whole.Layer(layers.LayerTypeGeneve).LayerPayload()))
	assert.NilError(t, err)
	p := NewParser(flow.Key{})
	var direct, bridged Info
	assert.NilError(t, p.Parse(build(t, sample), &direct))
	assert.NilError(t, p.Parse(buf.Bytes(), &bridged))
	assert.Equal(t, direct.ID, bridged.ID)
}

func TestParseMalformed(t *testing.T) {
	whole := build(t, sample)
	p := NewParser(flow.Key{})
	var info Info
	for n := range whole[:8+20+20] {
		assert.Assert(t, p.Parse(whole[:n], &info) != nil, "%d bytes were taken", n)
	}
	fragment := append([]byte(nil), whole...)
	fragment[8+6] |= 0x20
	assert.Equal(t, p.Parse(fragment, &info), ErrFragment)
	critical := append([]byte(nil), whole...)
	critical[1] |= 0x40
	assert.Equal(t, p.Parse(critical, &info), ErrTunnel)
}

func TestReset(t *testing.T) {
	reply, ok := BuildReset(build(t, sample))
	assert.Assert(t, ok)
	s, err := Decode(reply)
	assert.NilError(t, err)
	assert.Equal(t, s.Flags, RST)
	assert.Equal(t, s.Seq, sample.Ack)
	assert.Equal(t, s.Dst, sample.Src)
	syn := sample
	syn.Flags, syn.Payload = SYN, nil
	reply, ok = BuildReset(build(t, syn))
	assert.Assert(t, ok)
	s, err = Decode(reply)
	assert.NilError(t, err)
	assert.Equal(t, s.Flags, RST|ACK)
	assert.Equal(t, s.Ack, syn.Seq+1)
	_, ok = BuildReset(build(t, Segment{VNI: 1, Src: addr4, Dst: vip4, TCP: true, Flags: RST}))
	assert.Assert(t, !ok, "a reset was answered")
}

func FuzzParse(f *testing.F) {
	f.Add(build(f, sample))
	f.Add(build(f, Segment{VNI: 5, Src: addr6, Dst: vip6, Payload: []byte("x")}))
	long := append([]byte{0x3f, 0, 0x08, 0, 0, 0, 1, 0}, make([]byte, 300)...)
	f.Add(long)
	p := NewParser(flow.Key{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var info Info
		if err := p.Parse(data, &info); err != nil {
			return
		}
		if _, err := Decode(data); err != nil {
			t.Fatalf("parsed but not decoded: %v", err)
		}
		BuildReset(data)
	})
}

func BenchmarkParse(b *testing.B) {
	data := build(b, sample)
	p := NewParser(flow.Key{})
	var info Info
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Parse(data, &info); err != nil {
			b.Fatal(err)
		}
	}
}
