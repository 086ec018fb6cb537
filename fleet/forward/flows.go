package forward

import (
	"encoding/binary"
	"hash/maphash"
	"net/netip"
	"sync"

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
	opening uint32 // sequence number of the opening packet, if it was seen
	seq     uint32 // end of the data that the caller sent
	ack     uint32 // end of the answer that the caller acknowledged
	seen    clock.Millis
	busyAt  clock.Millis // last packet of the request under way, 0 for none
	stallAt clock.Millis // time at which the flow was counted as stalled
	// answers is the number of requests that were answered.
	answers uint16
	opened  bool // the opening packet passed this VM
	linked  bool // a packet after the opening one passed
	counted bool // the flow counts as open
	closed  bool
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
	if !f.counted {
		f.counted = true
		f.target.load.open.Add(1)
	}
}

// begin starts a request.
func (f *flow) begin(now clock.Millis) {
	if f.busyAt == 0 {
		f.target.load.busy.Add(1)
	}
	f.busyAt = now
}

// finish ends the request under way.
func (f *flow) finish() {
	if f.busyAt != 0 {
		f.busyAt = 0
		f.target.load.busy.Add(-1)
	}
}

// uncount takes the flow out of the load of its upstream.
func (f *flow) uncount() {
	f.finish()
	if f.counted {
		f.counted = false
		f.target.load.open.Add(-1)
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
			f.uncount()
			delete(s.flows, k)
		case f.busyAt != 0 && now-f.busyAt > busyLife:
			f.finish()
			s.flows[k] = f
		}
	}
	return len(s.flows)
}
