package entry

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
)

const (
	// batchPackets is the number of packets that one system call takes.
	batchPackets = 32
	// socketBufferBytes holds the packets of a pause of the process.
	socketBufferBytes = 4 << 20
)

// path carries packets from the fabric to upstreams.
type path struct {
	conn   *net.UDPConn
	batch  *ipv4.PacketConn
	codec  Codec
	engine *forward.Engine
	clk    clock.Clock
	pauses *pauses
	// requests logs what is decided about requests.
	requests requestLog
	// wake asks for the first copy, which packets wait for.
	wake func()
	// replyPort is the port at which callers take packets.
	replyPort uint16

	rooms   [][]byte // a packet each, with room for an envelope before it
	resets  [][]byte
	in, out []ipv4.Message
	queued  int

	received, malformed, failed atomic.Int64
	lastPacket                  atomic.Int64 // clock.Millis
}

// openPackets opens the socket of the packets. What comes from then on waits until
// the path runs.
func openPackets(ctx context.Context, address netip.AddrPort) (conn *net.UDPConn, err error) {
	defer func() { err = eris.Wrapf(err, "entry: open packets address %s", address) }()
	var lc net.ListenConfig
	pc, err := lc.ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, err
	}
	conn = pc.(*net.UDPConn)
	_ = conn.SetReadBuffer(socketBufferBytes)
	return conn, nil
}

func newPath(conn *net.UDPConn, a *Adapter, engine *forward.Engine, clk clock.Clock, ps *pauses, requests requestLog, wake func()) *path {
	port := conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	p := &path{conn: conn, batch: ipv4.NewPacketConn(conn), codec: a.Codec, engine: engine, clk: clk, pauses: ps, replyPort: port, requests: requests, wake: wake}
	p.makeBuffers()
	return p
}

func (p *path) makeBuffers() {
	p.rooms = make([][]byte, batchPackets)
	p.resets = make([][]byte, batchPackets)
	p.in = make([]ipv4.Message, batchPackets)
	p.out = make([]ipv4.Message, batchPackets)
	for i := range p.in {
		p.rooms[i] = make([]byte, p.codec.EncapBytes+p.codec.MaxPacketBytes)
		p.resets[i] = make([]byte, 0, p.codec.MaxPacketBytes)
		p.in[i].Buffers = [][]byte{p.rooms[i][p.codec.EncapBytes:]}
		p.out[i].Buffers = make([][]byte, 1)
		p.out[i].Addr = &net.UDPAddr{IP: make(net.IP, net.IPv4len)}
	}
}

// run forwards packets until the socket is closed.
func (p *path) run(ctx context.Context) error {
	for {
		n, err := p.batch.ReadBatch(p.in, 0)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "entry: read packets")
		}
		if !p.engine.Ready() {
			p.wake()
		}
		p.pauses.wait(ctx)
		now := p.clk.Now()
		p.received.Add(int64(n))
		p.lastPacket.Store(int64(now))
		for i := range p.in[:n] {
			p.handle(now, p.rooms[i], p.in[i].N)
		}
		p.flush()
		p.giveUp()
	}
}

// handle decides about one packet of n bytes and queues what is to be sent.
func (p *path) handle(now clock.Millis, room []byte, n int) {
	data := room[p.codec.EncapBytes:][:n]
	var packet forward.Packet
	if err := p.codec.Parse(data, &packet); err != nil {
		p.malformed.Add(1)
		return
	}
	d := p.engine.Handle(now, &packet)
	if packet.Bytes > 0 {
		p.logRequest(data, &packet, &d)
	}
	switch d.Action {
	case forward.Forward:
		if packet.Opening {
			p.codec.SetToken(data, d.Token)
		}
		p.codec.Encapsulate(room, d.Name)
		p.queue(room[:p.codec.EncapBytes+n], d.To)
	case forward.Refuse:
		if packet.Resetting {
			return
		}
		p.queueReset(&packet)
	case forward.Drop:
	}
}

// logRequest logs the decision about a packet that begins a request.
func (p *path) logRequest(data []byte, packet *forward.Packet, d *forward.Decision) {
	request := p.codec.RequestID(data)
	if request == "" {
		return
	}
	var upstream *catalog.Entry
	if c := p.engine.Catalog(); c != nil {
		upstream, _ = c.ByToken(packet.Token)
	}
	p.requests.decided(request, packet, d, upstream)
}

// queue adds a datagram to the batch. At most one is queued for each packet
// that was read.
func (p *path) queue(data []byte, to netip.AddrPort) {
	m := &p.out[p.queued]
	m.Buffers[0] = data
	addr := m.Addr.(*net.UDPAddr)
	ip := to.Addr().As4()
	copy(addr.IP, ip[:])
	addr.Port = int(to.Port())
	p.queued++
}

// giveUp resets the flows that wait for an upstream found lost.
func (p *path) giveUp() {
	packets := p.engine.PendingResets()
	for i := range packets {
		if p.queued == batchPackets {
			p.flush()
		}
		p.queueReset(&packets[i])
	}
	p.flush()
}

// queueReset queues a reset of a packet's flow towards its caller.
func (p *path) queueReset(packet *forward.Packet) {
	reset := p.codec.AppendReset(p.resets[p.queued][:0], packet)
	p.queue(reset, netip.AddrPortFrom(packet.Caller.Addr(), p.replyPort))
}

// flush sends the batch. A datagram that cannot be sent is left out.
func (p *path) flush() {
	for sent := 0; sent < p.queued; {
		n, err := p.batch.WriteBatch(p.out[sent:p.queued], 0)
		sent += max(0, n)
		if err != nil {
			p.failed.Add(1)
			sent++
		}
	}
	p.queued = 0
}
