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

// entryFlags hold the conditions of a flow.
type entryFlags uint8

const (
	flagTCP entryFlags = 1 << iota
	// flagCounted marks a flow that this VM counts on its upstream.
	flagCounted
	// flagEstablished marks a flow that went beyond its first packet.
	flagEstablished
	// flagClosing marks a flow that sent FIN or RST.
	flagClosing
	// flagCopy marks an entry held for another VM that is the flow's home.
	flagCopy
	// flagOwned marks a flow that this VM was home of when it last decided.
	flagOwned
	// flagReset marks a flow whose caller got an unprompted reset.
	flagReset
)

// entry is what a VM knows of one flow. Times are in seconds since the engine
// started, to keep it small.
type entry struct {
	up      *Upstream
	client  [16]byte
	ports   [2]uint16
	ack     uint32
	seen    uint32
	since   uint32
	synced  uint32
	home    uint32 // short hash of the home that was last told of the flow
	packets uint8
	flags   entryFlags
}

func (en *entry) is(f entryFlags) bool { return en.flags&f != 0 }

// shard is a part of the flow table under its own lock.
type shard struct {
	mu      sync.Mutex
	flows   map[flow.ID]*entry
	pending map[flow.ID]*pending
}

// pending is a flow that waits for answers of other VMs.
type pending struct {
	opening  bool
	udp      bool
	vni      config.VNI
	waiting  []config.VMID // VMs that were asked and have not answered
	missed   bool
	deadline clock.Millis
	client   netip.AddrPort
	port     uint16
}

func (e *Engine) shard(id flow.ID) *shard { return &e.shards[id.Hi&shardMask] }

// seconds converts a time to an entry's unit.
func (e *Engine) seconds(now clock.Millis) uint32 {
	return uint32((now - e.start) / clock.Second)
}

// count adds a flow to its upstream's count once.
func (en *entry) count() {
	if !en.is(flagCounted) {
		en.flags |= flagCounted
		en.up.local.Add(1)
	}
}

// uncount takes a flow off its upstream's count.
func (en *entry) uncount() {
	if en.is(flagCounted) {
		en.flags &^= flagCounted
		en.up.local.Add(-1)
	}
}

// remove takes an entry out of the table and off its upstream's count.
func (e *Engine) remove(sh *shard, id flow.ID, en *entry) {
	en.uncount()
	delete(sh.flows, id)
	e.flows.Add(-1)
}
