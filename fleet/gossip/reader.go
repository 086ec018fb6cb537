package gossip

import (
	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	// readerTimeout is the time for which a reader is trusted after it last claimed
	// the role itself. Its claim takes a few rounds to reach all VMs of a large fleet.
	readerTimeout = 2 * clock.Second
	// startupDelay is the time that a starting VM waits to hear of an existing reader
	// before it may claim the role.
	startupDelay clock.Millis = 500
	// claimStepDelay is the wait per rank before a VM claims a vacant reader role, so
	// that the first claim reaches most others before they claim too. No VM waits
	// longer than maxClaimSteps of these delays.
	claimStepDelay clock.Millis = 100
	maxClaimSteps               = 10
)

// reader is the VM that this one takes for the reader of its region.
type reader struct {
	id   ident.VMID
	seen clock.Millis // time of its own last claim
}

func (r *reader) alive(now clock.Millis) bool { return r.id != "" && now-r.seen < readerTimeout }

// SetPublisherUnreachable sets whether the publisher fails to answer this VM. A VM
// that it does not answer cannot be the reader.
func (g *Group) SetPublisherUnreachable(unreachable bool) {
	g.publisherUnreachable = unreachable
}

// Rank returns the rank of this VM in its region. Rank 0 is the reader, the elected
// VM that watches the publisher for the whole region. Each side of a network
// partition has its own reader.
func (g *Group) Rank(now clock.Millis) (rank int) {
	if g.isReader(now) {
		return 0
	}
	return max(1, g.higherRanked(now))
}

// isReader reports whether this VM is eligible as reader and knows of no VM with
// precedence.
func (g *Group) isReader(now clock.Millis) bool {
	if g.publisherUnreachable || g.leaving || now-g.started < startupDelay {
		return false
	}
	if g.reader.alive(now) {
		return outranks(g.self.ID, g.reader.id)
	}
	vacant := max(g.started+startupDelay, g.reader.seen+readerTimeout)
	return now-vacant >= claimStepDelay*clock.Millis(min(g.higherRanked(now), maxClaimSteps))
}

// outageReports is the number of living VMs without an answer from the publisher at
// which the others need not try it as well.
const outageReports = 2

// PublisherOutage reports whether at least outageReports other VMs of the region
// have no answer from the publisher. It may still answer other VMs, whose
// confirmations then keep the local replica current.
func (g *Group) PublisherOutage(now clock.Millis) bool {
	reports := 0
	for _, m := range g.members {
		if m.publisherUnreachable && m.peer.Region == g.self.Region && m.alive(now) {
			reports++
		}
	}
	return reports >= outageReports
}

// higherRanked counts the living VMs of the region that rank above this one.
func (g *Group) higherRanked(now clock.Millis) (n int) {
	for id, m := range g.members {
		if m.peer.Region == g.self.Region && m.alive(now) && outranks(id, g.self.ID) {
			n++
		}
	}
	return n
}

// readerInfo returns the reader to report in messages.
func (g *Group) readerInfo(now clock.Millis) Reader {
	switch {
	case g.isReader(now):
		return Reader{ID: g.self.ID}
	case g.reader.alive(now):
		return Reader{ID: g.reader.id, Age: now - g.reader.seen}
	}
	return Reader{}
}

// mergeReader updates the known reader from a message of a VM of the region.
func (g *Group) mergeReader(now clock.Millis, msg *Message) {
	if msg.From.Region != g.self.Region {
		return
	}
	if msg.Leaving && g.reader.id == msg.From.ID {
		g.reader = reader{seen: now - readerTimeout}
	}
	reported := reader{id: msg.Reader.ID, seen: now - max(0, msg.Reader.Age)}
	if reported.id == g.self.ID || !reported.alive(now) {
		return
	}
	switch {
	case reported.id == g.reader.id:
		g.reader.seen = max(g.reader.seen, reported.seen)
	case !g.reader.alive(now), outranks(reported.id, g.reader.id):
		g.reader = reported
	}
}

// outranks is a total order of VMs that is the same on all of them.
func outranks(a, b ident.VMID) bool {
	wa, wb := xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))
	return wa > wb || wa == wb && a < b
}
