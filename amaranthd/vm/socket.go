package vm

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/net/ipv4"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

const (
	batchSize = 32
	// maxDatagramBytes holds the largest datagram that UDP carries.
	maxDatagramBytes = 1 << 16
	// datagramOverheadBytes is the IPv4 and UDP header of a datagram in bytes.
	datagramOverheadBytes = 28
)

// SocketHandlers are called by the reader of a Socket.
type SocketHandlers struct {
	// Detour handles a packet that another VM detoured. The data is valid only
	// during the call.
	Detour func(h wire.DetourHeader, data []byte)
	// Datagram handles any other datagram.
	Datagram func(kind wire.Kind, data []byte)
	// Invalid is called for a detour datagram that cannot be parsed.
	Invalid func()
}

// Directory is the set of VMs that this VM exchanges datagrams with. It is
// immutable.
type Directory map[config.VMID]membership.VM

// Socket exchanges UDP datagrams with other VMs.
type Socket struct {
	self     config.VMID
	conn     *net.UDPConn
	handlers SocketHandlers
	dir      atomic.Pointer[Directory]

	// Out and In count the bytes sent and received by kind of datagram, IP and
	// UDP headers included. In does not count detours.
	Out, In [wire.KindCount]atomic.Int64
}

// NewSocket opens the peer address with buffers of the given size.
func NewSocket(ctx context.Context, self config.VMID, address netip.AddrPort, bufferBytes int) (s *Socket, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "vm: open %s", address) }()
	var lc net.ListenConfig
	pc, err := lc.ListenPacket(ctx, "udp", address.String())
	if err != nil {
		return nil, nil, err
	}
	s = &Socket{self: self, conn: pc.(*net.UDPConn)}
	_ = s.conn.SetReadBuffer(bufferBytes)
	_ = s.conn.SetWriteBuffer(bufferBytes)
	s.dir.Store(&Directory{})
	return s, func() { _ = s.conn.Close() }, nil
}

// SetHandlers sets the handlers of received datagrams. Call it before Run.
func (s *Socket) SetHandlers(handlers SocketHandlers) { s.handlers = handlers }

// SetDirectory replaces the directory.
func (s *Socket) SetDirectory(d Directory) { s.dir.Store(&d) }

// Directory returns the current directory. The caller must not change it.
func (s *Socket) Directory() Directory { return *s.dir.Load() }

// Run starts the reader, which ends when the socket is closed and then sends its
// error, or nil if ctx has ended, on the returned channel.
func (s *Socket) Run(ctx context.Context) <-chan error {
	ch := make(chan error, 1)
	go func() { ch <- s.read(ctx) }()
	return ch
}

func (s *Socket) read(ctx context.Context) error {
	pc := ipv4.NewPacketConn(s.conn)
	in := make([]ipv4.Message, batchSize)
	for i := range in {
		in[i].Buffers = [][]byte{make([]byte, maxDatagramBytes)}
	}
	for {
		n, err := pc.ReadBatch(in, 0)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "vm: read")
		}
		for i := range in[:n] {
			s.receive(in[i].Buffers[0][:in[i].N])
		}
	}
}

func (s *Socket) receive(data []byte) {
	if len(data) == 0 {
		return
	}
	if kind := wire.Kind(data[0]); kind != wire.Detour {
		if kind < wire.KindCount {
			s.In[kind].Add(int64(len(data) + datagramOverheadBytes))
		}
		s.handlers.Datagram(kind, data)
		return
	}
	h, packet, err := wire.ParseDetour(data, s.intern)
	if err != nil {
		s.handlers.Invalid()
		return
	}
	s.handlers.Detour(h, packet)
}

// intern returns the identifier of a VM in the directory without allocating.
func (s *Socket) intern(id []byte) (config.VMID, bool) {
	vm, ok := (*s.dir.Load())[config.VMID(id)]
	return vm.ID, ok
}

// SendDetour sends a detoured packet to another VM. It drops the packet if the VM
// is not in the directory or the write fails.
func (s *Socket) SendDetour(to config.VMID, hops uint8, cachedUpstream config.UpstreamID, data []byte) {
	vm, ok := (*s.dir.Load())[to]
	if !ok {
		return
	}
	var buf [2048]byte
	out := wire.AppendDetour(buf[:0], wire.DetourHeader{From: s.self, Hops: hops, CachedUpstream: cachedUpstream})
	out = append(out, data...)
	s.Out[wire.Detour].Add(int64(len(out) + datagramOverheadBytes))
	_, _ = s.conn.WriteToUDPAddrPort(out, vm.Peer)
}

// Send sends a datagram other than a detour to a VM. It returns an error if the
// VM is not in the directory.
func (s *Socket) Send(to config.VMID, kind wire.Kind, v any) (err error) {
	vm, ok := (*s.dir.Load())[to]
	if !ok {
		return eris.Errorf("vm: %s is not in the directory", to)
	}
	return s.SendTo(vm.Peer, kind, v)
}

// SendTo sends a datagram to an address.
func (s *Socket) SendTo(to netip.AddrPort, kind wire.Kind, v any) (err error) {
	data, err := wire.Encode(kind, v)
	if err != nil {
		return err
	}
	s.Out[kind].Add(int64(len(data) + datagramOverheadBytes))
	_, err = s.conn.WriteToUDPAddrPort(data, to)
	return eris.Wrap(err, "vm: send")
}
