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
	batchSize      = 32
	maxHeldPerFlow = 4
	maxHeldFlows   = 8192
	packetBufBytes = 9216 // a jumbo frame
)

// batchConn is a UDP socket that reads and writes several packets per call.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

// Counters counts packets since the start of the process.
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

// Hooks connect a DataPath to the rest of the daemon.
type Hooks struct {
	// Now returns the current time in milliseconds.
	Now func() clock.Millis
	// Paused reports whether packets must be dropped, because the process has
	// just started or was suspended.
	Paused func(now clock.Millis) bool
	// SendDetour sends a packet to another VM.
	SendDetour func(to config.VMID, hops uint8, cachedUpstream config.UpstreamID, data []byte)
	// Learn queues a message that tells a VM the upstream of a flow.
	Learn func(m steering.Message)
	// Flush sends the messages that the engine queued, if any is urgent.
	Flush func()
	// Trace records the action for a packet whose flow is sampled. It may be nil.
	Trace func(p *steering.Packet, act steering.Action)
}

// DataPath is the data path of one VM.
type DataPath struct {
	engine *steering.Engine
	hooks  Hooks
	reply  netip.AddrPort
	conns  []*net.UDPConn
	key    atomic.Pointer[flow.Key]

	holdMu sync.Mutex
	held   map[flow.ID][]heldPacket

	Counters Counters
}

// heldPacket is a packet that waits until the upstream of its flow is known.
type heldPacket struct {
	data           []byte
	from           config.VMID
	hops           uint8
	cachedUpstream config.UpstreamID
}

// Option configures a Path.
type Option func(*options)

type options struct {
	workers     int
	bufferBytes int
}

// WithWorkers sets the number of sockets that read the tunnel address.
func WithWorkers(n int) Option { return func(o *options) { o.workers = n } }

// WithSocketBuffers sets the size in bytes of each socket's read and write
// buffers.
func WithSocketBuffers(n int) Option { return func(o *options) { o.bufferBytes = n } }

// New opens the sockets at the tunnel address. TCP resets to callers are sent to
// reply; if it is the zero value, no resets are sent. Run starts the workers.
func New(ctx context.Context, engine *steering.Engine, tunnel, reply netip.AddrPort, hooks Hooks, opts ...Option) (p *DataPath, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "fabric: open %s", tunnel) }()
	o := options{workers: 1, bufferBytes: 1 << 20}
	for _, opt := range opts {
		opt(&o)
	}
	p = &DataPath{engine: engine, hooks: hooks, reply: reply, held: make(map[flow.ID][]heldPacket)}
	p.key.Store(&flow.Key{})
	cleanup = func() {
		for _, c := range p.conns {
			_ = c.Close()
		}
	}
	for range o.workers {
		conn, err := listenReusePort(ctx, tunnel)
		if err != nil {
			cleanup()
			return nil, nil, err
		}
		_ = conn.SetReadBuffer(o.bufferBytes)
		_ = conn.SetWriteBuffer(o.bufferBytes)
		p.conns = append(p.conns, conn)
	}
	return p, cleanup, nil
}

// listenReusePort opens a UDP socket with SO_REUSEPORT, so that the workers'
// sockets share one address.
func listenReusePort(ctx context.Context, address netip.AddrPort) (conn *net.UDPConn, err error) {
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

func newBatchConn(conn *net.UDPConn) batchConn {
	if conn.LocalAddr().(*net.UDPAddr).IP.To4() != nil {
		return ipv4.NewPacketConn(conn)
	}
	return ipv6.NewPacketConn(conn)
}

// SetKey sets the key of the flow hash for all workers.
func (p *DataPath) SetKey(k flow.Key) { p.key.Store(&k) }

// Run starts the workers, which end when the sockets are closed. Each sends its
// error, or nil if ctx has ended, on the returned channel, so the caller receives
// as many values as there are workers.
func (p *DataPath) Run(ctx context.Context) (ended <-chan error, workers int) {
	ch := make(chan error, len(p.conns))
	for _, conn := range p.conns {
		w := p.newWorker(conn)
		go func() { ch <- w.run(ctx) }()
	}
	return ch, len(p.conns)
}

// worker reads and steers the packets of one socket.
type worker struct {
	path   *DataPath
	conn   batchConn
	parser *packet.Parser
	key    flow.Key
	in     []ipv4.Message
	out    []ipv4.Message
	addrs  map[netip.AddrPort]*net.UDPAddr
	pkt    steering.Packet
}

func (p *DataPath) newWorker(conn *net.UDPConn) *worker {
	w := &worker{path: p, conn: newBatchConn(conn), parser: packet.NewParser(flow.Key{}), addrs: make(map[netip.AddrPort]*net.UDPAddr)}
	w.in = make([]ipv4.Message, batchSize)
	for i := range w.in {
		w.in[i].Buffers = [][]byte{make([]byte, packetBufBytes)}
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
	now := w.path.hooks.Now()
	w.path.Counters.Received.Add(int64(len(in)))
	if w.path.hooks.Paused(now) {
		w.path.Counters.Dropped[steering.Paused].Add(int64(len(in)))
		return
	}
	w.out = w.out[:0]
	for i := range in {
		w.handle(now, in[i].Buffers[0][:in[i].N], "", 0, 0)
	}
	w.flush()
	w.path.hooks.Flush()
}

// handle steers one packet and carries out the action, except that packets to
// forward are queued until flush.
func (w *worker) handle(now clock.Millis, data []byte, from config.VMID, hops uint8, cachedUpstream config.UpstreamID) {
	if key := *w.path.key.Load(); key != w.key {
		w.key = key
		w.parser.SetKey(key)
	}
	if err := w.parser.Parse(data, &w.pkt.Info); err != nil {
		w.path.Counters.Malformed.Add(1)
		return
	}
	w.pkt.From, w.pkt.Hops, w.pkt.CachedUpstream = from, hops, cachedUpstream
	act := w.path.engine.Handle(now, &w.pkt)
	if w.path.hooks.Trace != nil {
		w.path.hooks.Trace(&w.pkt, act)
	}
	if act.Learn != 0 {
		w.path.hooks.Learn(steering.Message{To: from, Kind: steering.Learn, ID: w.pkt.ID, Upstream: act.Learn})
	}
	switch act.Kind {
	case steering.Forward:
		w.path.Counters.Forwarded.Add(1)
		w.queue(data, act.To)
	case steering.Detour:
		w.path.Counters.Detoured.Add(1)
		w.path.hooks.SendDetour(act.VM, hops+1, act.CachedUpstream, data)
	case steering.Hold:
		w.path.hold(w.pkt.ID, heldPacket{data: append([]byte(nil), data...), from: from, hops: hops, cachedUpstream: cachedUpstream})
	case steering.Reset:
		w.reset(data)
	default:
		w.path.Counters.Dropped[act.Reason].Add(1)
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
			n = max(n, 1) // Skip the packet that cannot be sent.
		}
		out = out[n:]
	}
}

func (w *worker) reset(data []byte) {
	reply, ok := packet.BuildReset(data)
	if !ok || !w.path.reply.IsValid() {
		return
	}
	w.path.Counters.Resets.Add(1)
	w.queue(reply, w.path.reply)
}

// SendReset sends a TCP reset that does not answer a packet to a caller.
func (p *DataPath) SendReset(s packet.Segment) {
	data, err := packet.Build(s)
	if err != nil || !p.reply.IsValid() {
		return
	}
	p.Counters.Resets.Add(1)
	_, _ = p.conns[0].WriteToUDPAddrPort(data, p.reply)
}

func (p *DataPath) hold(id flow.ID, h heldPacket) {
	p.holdMu.Lock()
	defer p.holdMu.Unlock()
	list := p.held[id]
	if len(list) >= maxHeldPerFlow || (list == nil && len(p.held) >= maxHeldFlows) {
		p.Counters.Dropped[steering.HoldFull].Add(1)
		return
	}
	p.Counters.Held.Add(1)
	p.held[id] = append(list, h)
}

// Injector steers packets that did not arrive at the tunnel address. It is not
// safe for concurrent use.
type Injector struct {
	w *worker
}

// NewInjector returns an injector that sends from the tunnel address.
func (p *DataPath) NewInjector() *Injector { return &Injector{w: p.newWorker(p.conns[0])} }

// Inject steers a packet that another VM detoured.
func (i *Injector) Inject(now clock.Millis, data []byte, from config.VMID, hops uint8, cachedUpstream config.UpstreamID) {
	i.w.path.Counters.DetourIn.Add(1)
	if i.w.path.hooks.Paused(now) {
		i.w.path.Counters.Dropped[steering.Paused].Add(1)
		return
	}
	i.w.out = i.w.out[:0]
	i.w.handle(now, data, from, hops, cachedUpstream)
	i.w.flush()
}

// Release steers, detours or discards the held packets of a flow, as r demands.
func (i *Injector) Release(now clock.Millis, r steering.Release) {
	p := i.w.path
	p.holdMu.Lock()
	list := p.held[r.ID]
	delete(p.held, r.ID)
	p.holdMu.Unlock()
	if r.Discard {
		p.Counters.Dropped[r.Reason].Add(int64(len(list)))
		return
	}
	if r.VM != "" {
		p.Counters.Detoured.Add(int64(len(list)))
		for _, h := range list {
			p.hooks.SendDetour(r.VM, h.hops+1, h.cachedUpstream, h.data)
		}
		return
	}
	i.w.out = i.w.out[:0]
	for _, h := range list {
		i.w.handle(now, h.data, h.from, h.hops, h.cachedUpstream)
	}
	i.w.flush()
}
