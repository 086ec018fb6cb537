package caller

import (
	"net/netip"
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// FlowPlan describes a set of flows to one service.
type FlowPlan struct {
	VNI     config.VNI
	Address netip.Addr
	// Flows is the number of concurrent flows. A flow that closes is replaced.
	Flows int
	// OpenPerSecond limits the rate of new flows.
	OpenPerSecond float64
	// Segments is the number of data segments after which a flow closes, or zero for
	// flows that stay open.
	Segments int
	// Interval is the mean time between an answer and the next segment of a flow.
	Interval time.Duration
	// RetransmitTimeout is the time after which an unanswered segment is sent again.
	RetransmitTimeout time.Duration
	// Reconnect replaces broken flows by new ones. Flows with a number of segments are
	// always replaced.
	Reconnect bool
}

// flowState is the state of a flow's connection.
type flowState uint8

const (
	opening flowState = iota
	open
	broken
	closed
)

// Flow is one connection of a caller.
type Flow struct {
	plan         *FlowPlan
	src          netip.AddrPort
	state        flowState
	seq          uint32
	sent         int
	server       string
	nextEvent    time.Time
	lastAnswer   time.Time // or, while awaiting one, the first transmission of the segment
	awaiting     bool      // an answer is outstanding
	longestStall time.Duration
	opened       time.Time
	index        int // in the flowQueue
	reset        bool
	moved        bool
}

// flowQueue is a heap of flows ordered by nextEvent.
type flowQueue []*Flow

// Len implements heap.Interface.
func (q flowQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q flowQueue) Less(i, j int) bool { return q[i].nextEvent.Before(q[j].nextEvent) }

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
