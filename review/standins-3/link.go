package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// links carries the traffic between the machines, and can cut it silently.
type links struct {
	mu  sync.Mutex
	cut map[netip.Addr]bool // machines that are partitioned from all others
}

func newLinks() *links { return &links{cut: map[netip.Addr]bool{}} }

// setCut partitions a machine from all other machines, or ends that.
func (l *links) setCut(ip string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[netip.MustParseAddr(ip)] = cut
}

func (l *links) passes(from, to netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return from == to || !l.cut[from] && !l.cut[to]
}

// attach puts a machine behind a link: others reach it at controlPort, and it listens on
// bindPort.
func (l *links) attach(m *machine) error {
	ip := netip.MustParseAddr(m.ip)
	public, bound := netip.AddrPortFrom(ip, controlPort), netip.AddrPortFrom(ip, bindPort)
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(public))
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp4", public.String())
	if err != nil {
		return err
	}
	m.fields["peersListen"] = bound.String()
	go l.carryDatagrams(udp, ip, bound)
	go l.carryConnections(tcp, ip, bound)
	return nil
}

func (l *links) carryDatagrams(udp *net.UDPConn, to netip.Addr, bound netip.AddrPort) {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if l.passes(from.Addr().Unmap(), to) {
			_, _ = udp.WriteToUDPAddrPort(buf[:n], bound)
		}
	}
}

func (l *links) carryConnections(tcp net.Listener, to netip.Addr, bound netip.AddrPort) {
	for {
		in, err := tcp.Accept()
		if err != nil {
			return
		}
		from := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		go l.carry(in, from, to, bound)
	}
}

func (l *links) carry(in net.Conn, from, to netip.Addr, bound netip.AddrPort) {
	defer func() { _ = in.Close() }()
	for !l.passes(from, to) {
		time.Sleep(20 * time.Millisecond) // what is sent meanwhile is held up
	}
	out, err := net.Dial("tcp4", bound.String())
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
		go func() {
			l.copy(pair[1], pair[0], from, to)
			ended <- struct{}{}
		}()
	}
	<-ended
}

func (l *links) copy(w io.Writer, r io.Reader, from, to netip.Addr) {
	buf := make([]byte, 1<<15)
	for {
		n, err := r.Read(buf)
		if err != nil {
			return
		}
		for !l.passes(from, to) {
			time.Sleep(20 * time.Millisecond)
		}
		if _, err = w.Write(buf[:n]); err != nil {
			return
		}
	}
}
