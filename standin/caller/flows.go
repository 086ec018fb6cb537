package caller

import (
	"container/heap"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
)

const socketBufferBytes = 4 << 20

// FlowDriver opens flows, sends their segments over a fabric and checks the answers.
type FlowDriver struct {
	conn *net.UDPConn
	send func([]byte)
	rng  *rand.Rand

	mu             sync.Mutex
	bySrc          map[netip.AddrPort]*Flow
	queue          flowQueue
	opened         int
	closed         int
	broken         int
	brokenFlows    []BrokenFlow
	reset          int
	misrouted      int
	expectedBreaks int
	expectBreaks   map[string]bool
	longestStall   time.Duration
	plans          []*planState
	sources        uint32
}

// planState is a plan with its open flows and the token bucket that limits new ones.
type planState struct {
	FlowPlan
	open     int
	tokens   float64
	refilled time.Time
}

// NewFlowDriver returns a driver that sends packets with send and receives answers on
// replyAddress. Upstreams answer directly, bypassing the VMs.
func NewFlowDriver(ctx context.Context, replyAddress string, send func([]byte), seed uint64) (f *FlowDriver, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "caller: new flow driver") }()
	ap, err := netip.ParseAddrPort(replyAddress)
	if err != nil {
		return nil, nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	f = &FlowDriver{
		conn: conn, send: send, rng: rand.New(rand.NewPCG(seed, 2)),
		bySrc: make(map[netip.AddrPort]*Flow), expectBreaks: make(map[string]bool),
		sources: 0xc6120000 + uint32(seed%64)<<8, // 198.18.0.0/15, reserved for benchmarks (RFC 2544)
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{}, 2)
	go func() { f.receive(); done <- struct{}{} }()
	go func() { f.run(ctx); done <- struct{}{} }()
	return f, func() { cancel(); _ = conn.Close(); <-done; <-done }, nil
}

// ReplyAddress returns the address to which upstreams send answers.
func (f *FlowDriver) ReplyAddress() netip.AddrPort {
	return f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Add starts opening the flows of a plan.
func (f *FlowDriver) Add(p FlowPlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans = append(f.plans, &planState{FlowPlan: p, refilled: time.Now()})
}

// ExpectBreaks marks upstreams whose flows are expected to break from now on. Broken
// flows on them count as expected.
func (f *FlowDriver) ExpectBreaks(servers ...config.UpstreamName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range servers {
		f.expectBreaks[string(s)] = true
	}
}

func (f *FlowDriver) run(ctx context.Context) {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, data := range f.duePackets(now) {
				f.send(data)
			}
		}
	}
}

// duePackets opens new flows and returns the packets that are due.
func (f *FlowDriver) duePackets(now time.Time) (out [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.plans {
		f.openFlows(now, p)
	}
	for len(f.queue) > 0 && !f.queue[0].nextEvent.After(now) {
		fl := f.queue[0]
		if data := f.nextSegment(now, fl); data != nil {
			out = append(out, data)
		}
		if fl.state == closed {
			heap.Pop(&f.queue)
			continue
		}
		heap.Fix(&f.queue, 0)
	}
	return out
}

func (f *FlowDriver) openFlows(now time.Time, p *planState) {
	p.tokens = min(p.tokens+p.OpenPerSecond*now.Sub(p.refilled).Seconds(), p.OpenPerSecond/10+1)
	p.refilled = now
	for p.open < p.Flows && p.tokens >= 1 {
		p.tokens--
		p.open++
		f.opened++
		fl := &Flow{plan: &p.FlowPlan, src: f.nextSource(), nextEvent: now, lastAnswer: now, opened: now}
		f.bySrc[fl.src] = fl
		heap.Push(&f.queue, fl)
	}
}

// nextSource returns the next source address of 198.18.0.0/15 with a random port.
// Addresses repeat after 1<<17 flows.
func (f *FlowDriver) nextSource() netip.AddrPort {
	f.sources++
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], 0xc6120000+f.sources%(1<<17))
	return netip.AddrPortFrom(netip.AddrFrom4(a), uint16(1024+f.rng.IntN(60000)))
}

// nextSegment returns the flow's next segment, or the last one again if it is
// unanswered, and nil for a broken flow, which it removes.
func (f *FlowDriver) nextSegment(now time.Time, fl *Flow) []byte {
	if fl.state == broken {
		f.finish(fl)
		return nil
	}
	if wait := now.Sub(fl.lastAnswer); fl.awaiting && wait > fl.longestStall {
		fl.longestStall = wait
		f.longestStall = max(f.longestStall, wait)
	}
	flags := packet.ACK
	switch {
	case fl.state == opening:
		flags = packet.SYN
	case !fl.awaiting:
		fl.seq++
		fl.sent++
	}
	done := fl.plan.Segments > 0 && fl.sent > fl.plan.Segments
	if done {
		flags = packet.FIN | packet.ACK
	}
	if !fl.awaiting {
		fl.lastAnswer = now
	}
	fl.awaiting = true
	fl.nextEvent = now.Add(fl.plan.RetransmitTimeout)
	data, _ := packet.Build(packet.Segment{
		VNI: fl.plan.VNI, Src: fl.src, Dst: netip.AddrPortFrom(fl.plan.Address, 7000),
		TCP: true, Flags: flags, Seq: fl.seq, Ack: 1, Payload: []byte("x")[:boolToInt(flags == packet.ACK)],
	})
	if done {
		f.finish(fl)
	}
	return data
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (f *FlowDriver) finish(fl *Flow) {
	if fl.state != broken {
		f.closed++
	}
	fl.state = closed
	delete(f.bySrc, fl.src)
	for _, p := range f.plans {
		if &p.FlowPlan == fl.plan && (fl.plan.Reconnect || fl.plan.Segments > 0) {
			p.open--
		}
	}
}

func (f *FlowDriver) receive() {
	buf := make([]byte, 1<<16)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		s, err := packet.Decode(buf[:n])
		if err != nil {
			continue
		}
		f.handleAnswer(time.Now(), s)
	}
}

func (f *FlowDriver) handleAnswer(now time.Time, s packet.Segment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl := f.bySrc[s.Dst]
	if fl == nil || fl.state == broken || fl.state == closed {
		return
	}
	server := string(s.Payload)
	switch {
	case s.Flags.Has(packet.RST):
		f.breakFlow(now, fl, server, true)
	case fl.state == opening && s.Flags.Has(packet.SYN):
		fl.state, fl.server, fl.awaiting = open, server, false
	case server != fl.server:
		f.breakFlow(now, fl, server, false)
	default:
		fl.awaiting = false
	}
	fl.lastAnswer = now
	if !fl.awaiting {
		fl.nextEvent = now.Add(fl.plan.Interval/2 + time.Duration(f.rng.Int64N(int64(fl.plan.Interval)+1)))
		heap.Fix(&f.queue, fl.index)
	}
}

func (f *FlowDriver) breakFlow(now time.Time, fl *Flow, answer string, reset bool) {
	if fl.state == opening {
		return // the open was refused; the SYN is retransmitted
	}
	fl.state = broken
	fl.nextEvent = now
	fl.awaiting = false
	heap.Fix(&f.queue, fl.index)
	if f.expectBreaks[fl.server] {
		f.expectedBreaks++
		return
	}
	f.broken++
	if reset {
		f.reset++
	} else {
		f.misrouted++
	}
	if len(f.brokenFlows) < maxBrokenFlows {
		f.brokenFlows = append(f.brokenFlows, BrokenFlow{At: now, Source: fl.src.String(), Server: fl.server, Answer: answer, Age: now.Sub(fl.opened)})
	}
}
