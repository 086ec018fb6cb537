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
	// batchSize is the maximum number of packets per system call.
	batchSize = 32
	// socketBufferBytes is the size of the receive buffer, which holds the packets
	// that arrive during a pause of the process.
	socketBufferBytes = 4 << 20
	// datagramHeaderBytes is the length of the headers of IPv4 and UDP.
	datagramHeaderBytes = 28
)

// dataPath forwards packets from the fabric to upstreams.
type dataPath struct {
	conn     *net.UDPConn
	batch    *ipv4.PacketConn
	codec    Codec
	engine   *forward.Engine
	clk      clock.Clock
	pauses   *pauseDetector
	requests requestLog
	// requestRead requests a read of the published items while there is no
	// catalog, since packets wait for the first one.
	requestRead func()
	// awaitHistory blocks for a limited time after the start, until this VM knows what
	// was removed before. It is set before run is called.
	awaitHistory func(ctx context.Context)
	// sheds reports whether to drop an opening packet since this VM is near its limits.
	// It is set before run is called.
	sheds func(packet *forward.Packet) bool
	// replyPort is the port at which callers receive packets.
	replyPort uint16

	buffers [][]byte // one packet each, preceded by space for its encapsulation header
	resets  [][]byte
	in, out []ipv4.Message
	queued  int

	received, malformed, sendErrors atomic.Int64
	lastPacketAt                    atomic.Int64 // clock.Millis
	// bytesIn and bytesOut count the bytes on the link, with all headers from that of IP.
	bytesIn, bytesOut atomic.Int64
}

// listenPackets opens the packet socket. Its buffer holds arriving packets until
// the data path runs.
func listenPackets(ctx context.Context, address netip.AddrPort) (conn *net.UDPConn, err error) {
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

func newDataPath(conn *net.UDPConn, a *Adapter, engine *forward.Engine, clk clock.Clock, pauses *pauseDetector, requests requestLog, requestRead func()) *dataPath {
	port := conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	p := &dataPath{conn: conn, batch: ipv4.NewPacketConn(conn), codec: a.Codec, engine: engine, clk: clk, pauses: pauses, replyPort: port, requests: requests, requestRead: requestRead, awaitHistory: func(context.Context) {}, sheds: func(*forward.Packet) bool { return false }}
	p.makeBuffers()
	return p
}

func (p *dataPath) makeBuffers() {
	p.buffers = make([][]byte, batchSize)
	p.resets = make([][]byte, batchSize)
	p.in = make([]ipv4.Message, batchSize)
	p.out = make([]ipv4.Message, batchSize)
	for i := range p.in {
		p.buffers[i] = make([]byte, p.codec.EncapBytes+p.codec.MaxPacketBytes)
		p.resets[i] = make([]byte, 0, p.codec.MaxPacketBytes)
		p.in[i].Buffers = [][]byte{p.buffers[i][p.codec.EncapBytes:]}
		p.out[i].Buffers = make([][]byte, 1)
		p.out[i].Addr = &net.UDPAddr{IP: make(net.IP, net.IPv4len)}
	}
}

// run forwards packets until the socket is closed.
func (p *dataPath) run(ctx context.Context) error {
	for {
		n, err := p.batch.ReadBatch(p.in, 0)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "entry: read packets")
		}
		if !p.engine.Ready() {
			p.requestRead()
		}
		p.pauses.waitVerified(ctx)
		p.awaitHistory(ctx)
		now := p.clk.Now()
		p.received.Add(int64(n))
		p.lastPacketAt.Store(int64(now))
		p.bytesIn.Add(linkBytes(p.in[:n], true))
		for i := range p.in[:n] {
			p.handle(now, p.buffers[i], p.in[i].N)
		}
		p.flush()
		p.resetLostFlows(now)
	}
}

// handle processes one packet of n bytes and queues the datagram to send, if any.
func (p *dataPath) handle(now clock.Millis, buffer []byte, n int) {
	data := buffer[p.codec.EncapBytes:][:n]
	var packet forward.Packet
	if err := p.codec.Parse(data, &packet); err != nil {
		p.malformed.Add(1)
		return
	}
	d := p.decide(now, &packet)
	if packet.Bytes > 0 {
		p.logRequest(data, &packet, &d)
	}
	switch d.Action {
	case forward.Forward:
		if packet.Opening {
			p.codec.SetToken(data, d.Token)
		}
		p.codec.Encapsulate(buffer, d.EncapID)
		p.queue(buffer[:p.codec.EncapBytes+n], d.To)
	case forward.Refuse:
		if packet.Resetting {
			return
		}
		p.queueReset(&packet)
	case forward.Drop:
	}
}

// decide decides what to do with a packet.
func (p *dataPath) decide(now clock.Millis, packet *forward.Packet) forward.Decision {
	if packet.Opening && p.sheds(packet) {
		return p.engine.DropOverloaded()
	}
	return p.engine.Handle(now, packet)
}

// logRequest logs the decision about a packet in which a request starts.
func (p *dataPath) logRequest(data []byte, packet *forward.Packet, d *forward.Decision) {
	request := p.codec.RequestID(data)
	if request == "" {
		return
	}
	var upstream *catalog.Entry
	if c := p.engine.Catalog(); c != nil {
		upstream, _ = c.ByToken(packet.Token)
	}
	p.requests.logDecision(request, packet, d, upstream)
}

// queue adds a datagram to the send batch. The caller flushes before more than
// batchSize are queued.
func (p *dataPath) queue(data []byte, to netip.AddrPort) {
	m := &p.out[p.queued]
	m.Buffers[0] = data
	addr := m.Addr.(*net.UDPAddr)
	ip := to.Addr().As4()
	copy(addr.IP, ip[:])
	addr.Port = int(to.Port())
	p.queued++
}

// resetLostFlows resets the flows that wait for an upstream that was just found
// lost.
func (p *dataPath) resetLostFlows(now clock.Millis) {
	packets := p.engine.PendingResets(now)
	for i := range packets {
		if p.queued == batchSize {
			p.flush()
		}
		p.queueReset(&packets[i])
	}
	p.flush()
}

// queueReset queues a reset of the flow of a packet towards its caller.
func (p *dataPath) queueReset(packet *forward.Packet) {
	reset := p.codec.AppendReset(p.resets[p.queued][:0], packet)
	p.queue(reset, netip.AddrPortFrom(packet.Caller.Addr(), p.replyPort))
}

// flush sends the batch. Datagrams that cannot be sent are counted and skipped.
func (p *dataPath) flush() {
	for sent := 0; sent < p.queued; {
		n, err := p.batch.WriteBatch(p.out[sent:p.queued], 0)
		n = max(0, n)
		p.bytesOut.Add(linkBytes(p.out[sent:sent+n], false))
		sent += n
		if err != nil {
			p.sendErrors.Add(1)
			sent++
		}
	}
	p.queued = 0
}

// linkBytes returns the length of received or sent datagrams with their headers.
func linkBytes(list []ipv4.Message, received bool) (n int64) {
	for i := range list {
		if received {
			n += int64(list[i].N)
		} else {
			n += int64(len(list[i].Buffers[0]))
		}
	}
	return n + int64(len(list))*datagramHeaderBytes
}
