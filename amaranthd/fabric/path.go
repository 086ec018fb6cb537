package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
	"golang.org/x/sys/unix"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
)

const (
	batchSize     = 32
	holdsPerFlow  = 4
	maxHeldFlows  = 8192
	packetBufSize = 9216 // a jumbo frame
)

// batchConn is a UDP socket that reads and writes many packets a call.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// Counters counts packets.
type Counters struct {
	Received  atomic.Int64
	Forwarded atomic.Int64
	Detoured  atomic.Int64
	DetourIn  atomic.Int64
	Malformed atomic.Int64
	Resets    atomic.Int64
	Held      atomic.Int64
	Dropped   [steering.ReasonCount]atomic.Int64
}

// Seams connect a Path with the rest of the daemon.
type Seams struct {
	// Now tells the time.
	Now func() clock.Millis
	// Paused reports whether the process stood still and may not forward.
	Paused func(now clock.Millis) bool
	// SendDetour sends a packet to another VM.
	SendDetour func(to config.VMID, hops uint8, belief config.UpstreamID, data []byte)
	// Learn tells a VM where a flow is.
	Learn func(m steering.Message)
	// Flush sends what the engine queued, if it is urgent.
	Flush func()
	// Trace records a packet's hop, if it is sampled.
	Trace func(p *steering.Packet, act steering.Action)
}

// Path is the data path of one VM.
type Path struct {
	engine *steering.Engine
	seams  Seams
	reply  netip.AddrPort
	conns  []*net.UDPConn
	key    atomic.Pointer[flow.Key]

	holdMu sync.Mutex
	held   map[flow.ID][]heldPacket

	Counters Counters
}

// heldPacket is a packet that waits for its flow's place.
type heldPacket struct {
	data   []byte
	from   config.VMID
	hops   uint8
	belief config.UpstreamID
}

// Option configures a Path.
type Option func(*options)

type options struct {
	workers int
	buffers int
}

// WithWorkers sets the number of sockets that read the tunnel address.
func WithWorkers(n int) Option { return func(o *options) { o.workers = n } }

// WithSocketBuffers sets the size of the sockets' buffers in bytes.
func WithSocketBuffers(n int) Option { return func(o *options) { o.buffers = n } }

// New opens the tunnel address. reply takes packets to callers; it may be the
// zero value. The workers start with Run.
func New(ctx context.Context, engine *steering.Engine, tunnel, reply netip.AddrPort, seams Seams, opts ...Option) (p *Path, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "fabric: open %s", tunnel) }()
	o := options{workers: 1, buffers: 1 << 20}
	for _, opt := range opts {
		opt(&o)
	}
	p = &Path{engine: engine, seams: seams, reply: reply, held: make(map[flow.ID][]heldPacket)}
	p.key.Store(&flow.Key{})
	cleanup = func() {
		for _, c := range p.conns {
			_ = c.Close()
		}
	}
	for range o.workers {
		conn, err := listenShared(ctx, tunnel)
		if err != nil {
			cleanup()
			return nil, nil, err
		}
		_ = conn.SetReadBuffer(o.buffers)
		_ = conn.SetWriteBuffer(o.buffers)
		p.conns = append(p.conns, conn)
	}
	return p, cleanup, nil
}

// listenShared opens a socket that shares its address with other sockets of
// the process.
func listenShared(ctx context.Context, address netip.AddrPort) (conn *net.UDPConn, err error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var opErr error
		err := raw.Control(func(fd uintptr) {
			opErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		if err != nil {
			return err
		}
		return opErr
	}}
	pc, err := lc.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		return nil, err
	}
	return pc.(*net.UDPConn), nil
}

func batched(conn *net.UDPConn) batchConn {
	if conn.LocalAddr().(*net.UDPAddr).IP.To4() != nil {
		return ipv4.NewPacketConn(conn)
	}
	return ipv6.NewPacketConn(conn)
}

// SetKey changes the key of the flow hash for all workers.
func (p *Path) SetKey(k flow.Key) { p.key.Store(&k) }

// Run starts the workers. Each reports its end on the returned channel, which
// the caller reads as often as there are workers; they end when the sockets
// are closed or ctx ends.
func (p *Path) Run(ctx context.Context) (ended <-chan error, workers int) {
	ch := make(chan error, len(p.conns))
	for _, conn := range p.conns {
		w := p.newWorker(conn)
		go func() { ch <- w.run(ctx) }()
	}
	return ch, len(p.conns)
}

// worker reads one socket.
type worker struct {
	p      *Path
	conn   batchConn
	parser *packet.Parser
	key    flow.Key
	in     []ipv4.Message
	out    []ipv4.Message
	addrs  map[netip.AddrPort]*net.UDPAddr
	pkt    steering.Packet
}

func (p *Path) newWorker(conn *net.UDPConn) *worker {
	w := &worker{p: p, conn: batched(conn), parser: packet.NewParser(flow.Key{}), addrs: make(map[netip.AddrPort]*net.UDPAddr)}
	w.in = make([]ipv4.Message, batchSize)
	for i := range w.in {
		w.in[i].Buffers = [][]byte{make([]byte, packetBufSize)}
	}
	w.out = make([]ipv4.Message, 0, batchSize)
	return w
}

func (w *worker) run(ctx context.Context) error {
	for {
		n, err := w.conn.ReadBatch(w.in, 0)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "fabric: read")
		}
		w.handleBatch(w.in[:n])
	}
}

func (w *worker) handleBatch(in []ipv4.Message) {
	now := w.p.seams.Now()
	w.p.Counters.Received.Add(int64(len(in)))
	if w.p.seams.Paused(now) {
		w.p.Counters.Dropped[steering.Paused].Add(int64(len(in)))
		return
	}
	w.out = w.out[:0]
	for i := range in {
		w.handle(now, in[i].Buffers[0][:in[i].N], "", 0, 0)
	}
	w.flush()
	w.p.seams.Flush()
}

// handle steers one packet and queues it if it is to be forwarded.
func (w *worker) handle(now clock.Millis, data []byte, from config.VMID, hops uint8, belief config.UpstreamID) {
	if key := *w.p.key.Load(); key != w.key {
		w.key = key
		w.parser.SetKey(key)
	}
	if err := w.parser.Parse(data, &w.pkt.Info); err != nil {
		w.p.Counters.Malformed.Add(1)
		return
	}
	w.pkt.From, w.pkt.Hops, w.pkt.CachedUpstream = from, hops, belief
	act := w.p.engine.Handle(now, &w.pkt)
	if w.p.seams.Trace != nil {
		w.p.seams.Trace(&w.pkt, act)
	}
	if act.Learn != 0 {
		w.p.seams.Learn(steering.Message{To: from, Kind: steering.Learn, ID: w.pkt.ID, Upstream: act.Learn})
	}
	switch act.Kind {
	case steering.Forward:
		w.p.Counters.Forwarded.Add(1)
		w.queue(data, act.To)
	case steering.Detour:
		w.p.Counters.Detoured.Add(1)
		w.p.seams.SendDetour(act.VM, hops+1, act.CachedUpstream, data)
	case steering.Hold:
		w.p.hold(w.pkt.ID, heldPacket{data: append([]byte(nil), data...), from: from, hops: hops, belief: belief})
	case steering.Reset:
		w.reset(data)
	default:
		w.p.Counters.Dropped[act.Reason].Add(1)
	}
}

func (w *worker) queue(data []byte, to netip.AddrPort) {
	addr := w.addrs[to]
	if addr == nil {
		addr = net.UDPAddrFromAddrPort(to)
		w.addrs[to] = addr
	}
	if len(w.out) < cap(w.out) {
		w.out = w.out[:len(w.out)+1]
	} else {
		w.out = append(w.out, ipv4.Message{})
	}
	m := &w.out[len(w.out)-1]
	if m.Buffers == nil {
		m.Buffers = make([][]byte, 1)
	}
	m.Buffers[0], m.Addr = data, addr
}

func (w *worker) flush() {
	for out := w.out; len(out) > 0; {
		n, err := w.conn.WriteBatch(out, 0)
		if err != nil {
			n = max(n, 1) // skip the packet that cannot be sent
		}
		out = out[n:]
	}
}

func (w *worker) reset(data []byte) {
	reply, ok := packet.BuildReset(data)
	if !ok || !w.p.reply.IsValid() {
		return
	}
	w.p.Counters.Resets.Add(1)
	w.queue(reply, w.p.reply)
}

// SendReset sends an unprompted reset to a caller.
func (p *Path) SendReset(s packet.Segment) {
	data, err := packet.Build(s)
	if err != nil || !p.reply.IsValid() {
		return
	}
	p.Counters.Resets.Add(1)
	_, _ = p.conns[0].WriteToUDPAddrPort(data, p.reply)
}

func (p *Path) hold(id flow.ID, h heldPacket) {
	p.holdMu.Lock()
	defer p.holdMu.Unlock()
	list := p.held[id]
	if len(list) >= holdsPerFlow || (list == nil && len(p.held) >= maxHeldFlows) {
		p.Counters.Dropped[steering.HoldFull].Add(1)
		return
	}
	p.Counters.Held.Add(1)
	p.held[id] = append(list, h)
}

// Injector steers packets that come from elsewhere than the tunnel address.
// It belongs to one goroutine.
type Injector struct {
	w *worker
}

// NewInjector returns an injector that sends from the tunnel address.
func (p *Path) NewInjector() *Injector { return &Injector{w: p.newWorker(p.conns[0])} }

// Inject steers a packet that another VM detoured.
func (i *Injector) Inject(now clock.Millis, data []byte, from config.VMID, hops uint8, belief config.UpstreamID) {
	i.w.p.Counters.DetourIn.Add(1)
	if i.w.p.seams.Paused(now) {
		i.w.p.Counters.Dropped[steering.Paused].Add(1)
		return
	}
	i.w.out = i.w.out[:0]
	i.w.handle(now, data, from, hops, belief)
	i.w.flush()
}

// Release handles the packets of a flow that no longer waits.
func (i *Injector) Release(now clock.Millis, r steering.Release) {
	p := i.w.p
	p.holdMu.Lock()
	list := p.held[r.ID]
	delete(p.held, r.ID)
	p.holdMu.Unlock()
	if r.Discard {
		p.Counters.Dropped[r.Reason].Add(int64(len(list)))
		return
	}
	i.w.out = i.w.out[:0]
	for _, h := range list {
		i.w.handle(now, h.data, h.from, h.hops, h.belief)
	}
	i.w.flush()
}
