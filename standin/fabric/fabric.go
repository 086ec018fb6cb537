package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const socketBufferBytes = 4 << 20

// Fabric sends each packet to a randomly chosen entry VM.
type Fabric struct {
	conn *net.UDPConn
	sent atomic.Int64

	mu      sync.Mutex
	rng     *rand.Rand
	targets []netip.AddrPort
}

// New returns a fabric that sends from address and chooses VMs at random with seed.
func New(address string, seed uint64) (f *Fabric, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "fabric: new") }()
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetWriteBuffer(socketBufferBytes)
	f = &Fabric{conn: conn, rng: rand.New(rand.NewPCG(seed, 1))}
	return f, func() { _ = conn.Close() }, nil
}

// SetTargets replaces the tunnel addresses to which packets are sent.
func (f *Fabric) SetTargets(targets []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = append([]netip.AddrPort(nil), targets...)
}

// Send sends a packet to a random entry VM. Without targets it drops the packet.
func (f *Fabric) Send(data []byte) {
	f.mu.Lock()
	if len(f.targets) == 0 {
		f.mu.Unlock()
		return
	}
	to := f.targets[f.rng.IntN(len(f.targets))]
	f.mu.Unlock()
	f.sent.Add(1)
	_, _ = f.conn.WriteToUDPAddrPort(data, to)
}

// Sent returns the number of packets sent.
func (f *Fabric) Sent() int64 { return f.sent.Load() }
