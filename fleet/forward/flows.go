package forward

import (
	"encoding/binary"
	"hash/maphash"
	"net/netip"
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

const (
	shardCount = 16
	// closedTTL is how long a closed flow is kept for late retransmissions.
	closedTTL = 2 * clock.Second
	// idleTimeout is how long a flow without packets counts as open. Afterwards
	// it may have ended, or its packets may pass through another VM.
	idleTimeout = 10 * clock.Second
	// requestTimeout is how long a request without packets counts as in flight.
	requestTimeout = 3 * clock.Second
)

// flowKey identifies a flow by the addresses of its two ends.
type flowKey [12]byte

func keyOf(p *Packet) (k flowKey) {
	putAddrPort(k[0:6], p.Caller)
	putAddrPort(k[6:12], p.Destination)
	return k
}

func putAddrPort(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

// hash returns a hash that is the same on all VMs and across restarts.
func (k flowKey) hash() uint64 {
	h := binary.BigEndian.Uint64(k[:8])*0x9e3779b97f4a7c15 ^ uint64(binary.BigEndian.Uint32(k[8:]))
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// FlowHash returns a hash of the flow of the packet that is the same on all VMs.
func (p *Packet) FlowHash() uint64 { return keyOf(p).hash() }

// flow is the state of one flow.
type flow struct {
	target       *target // the upstream as it was published when its last packet was handled
	route        *routeStat
	openingSeq   uint32 // sequence number of the opening packet, if opened is set
	seq          uint32 // sequence number after the last byte sent by the caller
	ack          uint32 // acknowledgement number last sent by the caller
	seenAt       clock.Millis
	sentAt       clock.Millis // first transmission of the request or opening that awaits an answer
	requestAt    clock.Millis // last packet of the request in flight, 0 if there is none
	retransmitAt clock.Millis // last retransmission that counted as a stall
	// establishedAt is when this VM first saw a packet after the opening one, 0 before.
	establishedAt clock.Millis
	// stalledSentAt is the sentAt for which the flow was counted as stalled.
	stalledSentAt clock.Millis
	expected      int32  // contribution to the expected load of the upstream
	responses     uint16 // requests answered so far, at most maxResponses
	opened        bool   // this VM saw the opening packet
	awaiting      bool   // a request was sent and is not answered yet
	counted       bool   // the flow is included in the expected load
	rejected      bool   // the upstream rejected a request
	closed        bool
}

// shard holds the flows of one part of the key space.
type shard struct {
	mu    sync.Mutex
	flows map[flowKey]flow
}

// flowTable is a sharded table of flows.
type flowTable struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

func newFlowTable() *flowTable {
	t := &flowTable{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].flows = make(map[flowKey]flow)
	}
	return t
}

func (t *flowTable) shard(k flowKey) *shard {
	return &t.shards[maphash.Comparable(t.seed, k)%shardCount]
}

// established reports whether this VM saw a packet after the opening one.
func (f *flow) established() bool { return f.establishedAt != 0 }

// addLoad adds the flow to the expected load of its upstream, unless it is
// included already. Flows of routes that carry one request each add none.
func (f *flow) addLoad() {
	if f.counted {
		return
	}
	f.counted = true
	if !f.route.short() {
		f.expected = f.route.expected.Load()
		f.target.load.expected.Add(f.expected)
		f.target.load.added.Add(f.expected)
	}
}

// beginRequest marks a request as in flight, or renews the one in flight.
func (f *flow) beginRequest(now clock.Millis) {
	if f.requestAt == 0 {
		f.target.load.inFlight.Add(1)
		if f.responses > 0 {
			f.route.inFlight.Add(1)
		}
	}
	f.requestAt = now
}

// endRequest ends the request in flight, if there is one.
func (f *flow) endRequest() {
	if f.requestAt == 0 {
		return
	}
	f.requestAt = 0
	f.target.load.inFlight.Add(-1)
	if f.responses > 0 {
		f.route.inFlight.Add(-1)
	}
}

// endAnswered ends the request in flight as answered. It reports whether there
// was one.
func (f *flow) endAnswered() bool {
	f.awaiting = false
	if f.requestAt == 0 {
		return false
	}
	f.endRequest()
	if f.responses == 0 {
		f.route.open.Add(1)
	}
	f.responses = min(f.responses+1, maxResponses)
	return true
}

// removeLoad removes the flow from the load of its upstream.
func (f *flow) removeLoad() {
	f.endRequest()
	if !f.counted {
		return
	}
	f.counted = false
	if f.responses > 0 {
		f.route.open.Add(-1)
	}
	f.target.load.expected.Add(-f.expected)
	f.expected = 0
}

// end closes the flow and removes it from all load counts.
func (f *flow) end() {
	if f.target == nil || f.closed {
		return
	}
	f.removeLoad()
	f.closed = true
	if f.responses <= 1 && !f.rejected {
		f.route.recordShort()
	}
}

// placed reports whether the flow was opened by an opening packet with the given sequence
// number and is not closed.
func (f *flow) placed(seq uint32) bool { return f.opened && f.openingSeq == seq && !f.closed }

// sweep removes closed and idle flows, ends requests that timed out, and
// returns the number of flows left.
func (s *shard) sweep(now clock.Millis) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, f := range s.flows {
		idle := now - f.seenAt
		switch {
		case idle > idleTimeout || f.closed && idle > closedTTL:
			f.end()
			delete(s.flows, k)
		case f.requestAt != 0 && now-f.requestAt > requestTimeout:
			f.endRequest()
			s.flows[k] = f
		}
	}
	return len(s.flows)
}

// abortStalled closes the flows to l that were counted as stalled, calls onLost
// for each and appends to packets one packet per flow to be answered with a
// reset. Open flows are left out unless resetOpen is set. The other flows are
// left open: their data may have arrived, or they will retransmit.
func (s *shard) abortStalled(l *upstreamLoad, resetOpen bool, packets []Packet, onLost func(*Packet, *catalog.Entry)) []Packet {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, f := range s.flows {
		if f.target.load != l || f.closed || f.requestAt == 0 || f.stalledSentAt != f.sentAt || f.established() && !resetOpen {
			continue
		}
		packets = append(packets, Packet{
			Caller: addrPortOf(k[0:6]), Destination: addrPortOf(k[6:12]), Ack: f.ack, Opening: !f.established(),
		})
		onLost(&packets[len(packets)-1], f.target.entry)
		f.end()
		s.flows[k] = f
	}
	return packets
}

func addrPortOf(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
}
