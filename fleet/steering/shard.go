package steering

import (
	"net/netip"
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

const (
	shardCount = 64
	shardMask  = shardCount - 1
)

// entryFlags is the set of flags of an entry.
type entryFlags uint8

const (
	flagTCP entryFlags = 1 << iota
	// flagCounted marks a flow that is included in this VM's count of flows on
	// the upstream.
	flagCounted
	// flagEstablished marks a flow that sent a packet other than an initial SYN.
	flagEstablished
	// flagClosing marks a flow that sent FIN or RST.
	flagClosing
	// flagCopy marks a copy of an exception whose home is another VM.
	flagCopy
	// flagHome marks a flow for which this VM last acted as the home.
	flagHome
	// flagReset marks a flow for which Tick issued a reset.
	flagReset
)

// entry is the record of one flow in the flow table. Times are in seconds since
// the engine started, to keep it small.
type entry struct {
	upstream  *Upstream
	client    [16]byte
	ports     [2]uint16
	lastAck   uint32
	lastSeen  uint32
	createdAt uint32
	syncedAt  uint32
	homeHash  uint32 // hash of the VM or VMs that last received the flow, at syncedAt
	packets   uint8
	flags     entryFlags
}

func (en *entry) hasAny(f entryFlags) bool { return en.flags&f != 0 }

// shard is a part of the flow table with its own lock.
type shard struct {
	mu      sync.Mutex
	flows   map[flow.ID]*entry
	pending map[flow.ID]*flowQuery
}

// flowQuery is a pending query for the upstream of a flow.
type flowQuery struct {
	isNew    bool
	udp      bool
	vni      config.VNI
	awaiting []config.VMID // VMs that were queried and have not replied
	deadline clock.Millis
	client   netip.AddrPort
	port     uint16
	hops     uint8
	// home is the home of the flow if it replied, so that it can place the flow, or
	// empty.
	home config.VMID
}

func (e *Engine) shard(id flow.ID) *shard { return &e.shards[id.Hi&shardMask] }

// seconds converts a time to seconds since the engine started.
func (e *Engine) seconds(now clock.Millis) uint32 {
	return uint32((now - e.start) / clock.Second)
}

// elapsed returns the time from at to now, in whole seconds. It is zero if at is
// later: a goroutine may read the time before another one stores a later one.
func (e *Engine) elapsed(now clock.Millis, at uint32) clock.Millis {
	s := e.seconds(now)
	if at > s {
		return 0
	}
	return clock.Millis(s-at) * clock.Second
}

// count adds the flow to the count of its upstream unless it is already included.
func (en *entry) count() {
	if !en.hasAny(flagCounted) {
		en.flags |= flagCounted
		en.upstream.local.Add(1)
	}
}

// uncount removes the flow from the count of its upstream if it is included.
func (en *entry) uncount() {
	if en.hasAny(flagCounted) {
		en.flags &^= flagCounted
		en.upstream.local.Add(-1)
	}
}

// remove deletes an entry from the flow table and removes it from the count of its
// upstream.
func (e *Engine) remove(sh *shard, id flow.ID, en *entry) {
	en.uncount()
	delete(sh.flows, id)
	e.flows.Add(-1)
}
