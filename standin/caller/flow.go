package caller

import (
	"net/netip"
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// FlowPlan describes the flows to one service.
type FlowPlan struct {
	VNI     config.VNI
	Address netip.Addr
	// Flows is the number of flows held open; one that ends is replaced.
	Flows int
	// OpenPerSecond bounds the rate of new flows.
	OpenPerSecond float64
	// Segments is the number of segments of a flow before it closes, or zero
	// for flows that stay open.
	Segments int
	// Interval is the time between segments of a flow.
	Interval time.Duration
	// RetransmitTimeout is the wait for an answer before a segment is sent again.
	RetransmitTimeout time.Duration
	// Reconnect makes a broken flow open again.
	Reconnect bool
}

// flowState is the progress of one flow.
type flowState uint8

const (
	opening flowState = iota
	open
	broken
	closed
)

// Flow is one connection of a caller.
type Flow struct {
	plan   *FlowPlan
	src    netip.AddrPort
	state  flowState
	seq    uint32
	sent   int
	server string
	at     time.Time // next event
	last   time.Time // last answer
	waits  bool      // for an answer
	stall  time.Duration
	begun  time.Time
	index  int // in the heap
	reset  bool
	moved  bool
}

// flowQueue orders flows by their next event.
type flowQueue []*Flow

// Len implements heap.Interface.
func (q flowQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q flowQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }

// Swap implements heap.Interface.
func (q flowQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *flowQueue) Push(x any) {
	fl := x.(*Flow)
	fl.index = len(*q)
	*q = append(*q, fl)
}

// Pop implements heap.Interface.
func (q *flowQueue) Pop() any {
	old := *q
	fl := old[len(old)-1]
	*q = old[:len(old)-1]
	return fl
}
