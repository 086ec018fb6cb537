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
	// closedLife is how long a closed flow is remembered for late copies.
	closedLife = 2 * clock.Second
	// idleLife is how long a flow without packets counts as open. It may be
	// gone, or its packets may pass another VM now.
	idleLife = 10 * clock.Second
	// busyLife is how long a request without packets counts as under way.
	busyLife = 3 * clock.Second
)

// flowKey identifies a flow by its two ends.
type flowKey [12]byte

func keyOf(p *Packet) (k flowKey) {
	putEnd(k[0:6], p.Caller)
	putEnd(k[6:12], p.Service)
	return k
}

func putEnd(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

// hash is the same on all VMs and in all runs.
func (k flowKey) hash() uint64 {
	h := binary.BigEndian.Uint64(k[:8])*0x9e3779b97f4a7c15 ^ uint64(binary.BigEndian.Uint32(k[8:]))
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// flow is what is remembered of a flow.
type flow struct {
	target  *target
	route   *routeStat
	opening uint32 // sequence number of the opening packet, if it was seen
	seq     uint32 // end of the data that the caller sent
	ack     uint32 // end of the answer that the caller acknowledged
	seen    clock.Millis
	sentAt  clock.Millis // first sending of what waits for an answer
	busyAt  clock.Millis // last packet of the request under way, 0 for none
	stallAt clock.Millis // last time at which the flow sent something again
	// stalledSent is the sentAt for which the flow was counted as stalled.
	stalledSent clock.Millis
	steady      int32  // part in the steady load of the upstream
	answers     uint16 // requests that were answered
	opened      bool   // the opening packet passed this VM
	linked      bool   // a packet after the opening one passed
	asked       bool   // a request was sent and not answered yet
	counted     bool   // the flow counts as open
	closed      bool
}

// shard holds a part of the flows.
type shard struct {
	mu    sync.Mutex
	flows map[flowKey]flow
}

// table holds the flows.
type table struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

func newTable() *table {
	t := &table{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].flows = make(map[flowKey]flow)
	}
	return t
}

func (t *table) shard(k flowKey) *shard {
	return &t.shards[maphash.Comparable(t.seed, k)%shardCount]
}

// count adds the flow to the load of its upstream, once.
func (f *flow) count() {
	if f.counted {
		return
	}
	f.counted = true
	if !f.route.short() {
		f.steady = f.route.steady.Load()
		f.target.load.steady.Add(f.steady)
		f.target.load.added.Add(f.steady)
	}
}

// begin starts a request, or goes on with one.
func (f *flow) begin(now clock.Millis) {
	if f.busyAt == 0 {
		f.target.load.busy.Add(1)
		if f.answers > 0 {
			f.route.busy.Add(1)
		}
	}
	f.busyAt = now
}

// finish ends the request under way.
func (f *flow) finish() {
	if f.busyAt == 0 {
		return
	}
	f.busyAt = 0
	f.target.load.busy.Add(-1)
	if f.answers > 0 {
		f.route.busy.Add(-1)
	}
}

// answered ends the request under way with an answer. It reports whether one
// was under way.
func (f *flow) answered() bool {
	f.asked = false
	if f.busyAt == 0 {
		return false
	}
	f.finish()
	if f.answers == 0 {
		f.route.open.Add(1)
	}
	f.answers = min(f.answers+1, maxAnswers)
	return true
}

// uncount takes the flow out of the load of its upstream.
func (f *flow) uncount() {
	f.finish()
	if !f.counted {
		return
	}
	f.counted = false
	if f.answers > 0 {
		f.route.open.Add(-1)
	}
	f.target.load.steady.Add(-f.steady)
	f.steady = 0
}

// end takes the flow out of all counts for good.
func (f *flow) end() {
	if f.target == nil || f.closed {
		return
	}
	f.uncount()
	f.closed = true
	if f.answers <= 1 {
		f.route.endedShort()
	}
}

// sweep forgets flows of one shard that ended or fell silent.
func (s *shard) sweep(now clock.Millis) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, f := range s.flows {
		idle := now - f.seen
		switch {
		case idle > idleLife || f.closed && idle > closedLife:
			f.end()
			delete(s.flows, k)
		case f.busyAt != 0 && now-f.busyAt > busyLife:
			f.finish()
			s.flows[k] = f
		}
	}
	return len(s.flows)
}

// giveUp ends the flows to l that were seen to wait in vain, and appends a
// packet of each, which told is told. The others may have been heard, or will
// send again.
func (s *shard) giveUp(l *upstreamLoad, packets []Packet, told func(*Packet, *catalog.Entry)) []Packet {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, f := range s.flows {
		if f.target.load != l || f.closed || f.busyAt == 0 || f.stalledSent != f.sentAt {
			continue
		}
		packets = append(packets, Packet{
			Caller: endOf(k[0:6]), Service: endOf(k[6:12]), Ack: f.ack, Opening: !f.linked,
		})
		told(&packets[len(packets)-1], f.target.entry)
		f.end()
		s.flows[k] = f
	}
	return packets
}

func endOf(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
}
