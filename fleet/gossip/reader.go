package gossip

import (
	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	// readerLife is how long a reader is believed in after it last said so
	// itself. Word of it takes a few rounds to reach all VMs of a large fleet.
	readerLife = 2 * clock.Second
	// readerAfter is the time in which a VM that starts hears of a reader, if
	// there is one, before it takes itself for that.
	readerAfter clock.Millis = 500
	// claimStep is the wait of each further VM, by rank, before it takes itself for
	// the reader when there is none, so that the word of the first one arrives
	// before most others claim. No VM waits more than claimSteps of them.
	claimStep  clock.Millis = 100
	claimSteps              = 10
)

// reader is the VM that this one believes to read for the region.
type reader struct {
	id   ident.VMID
	seen clock.Millis // when it last said so itself
}

func (r *reader) alive(now clock.Millis) bool { return r.id != "" && now-r.seen < readerLife }

// SetPublisherUnreachable sets whether the publisher does not answer this VM, which then is
// no reader.
func (g *Group) SetPublisherUnreachable(failing bool) { g.failing = failing }

// Rank returns the place of this VM among those of its region, 0 for the reader,
// which follows the publisher for all of them. VMs that are cut off from each
// other have a reader each.
func (g *Group) Rank(now clock.Millis) (rank int) {
	if g.isReader(now) {
		return 0
	}
	return max(1, g.above(now))
}

// isReader reports whether this VM may read for others and knows of none that
// goes before it.
func (g *Group) isReader(now clock.Millis) bool {
	if g.failing || g.leaving || now-g.started < readerAfter {
		return false
	}
	if g.reader.alive(now) {
		return outranks(g.self.ID, g.reader.id)
	}
	vacant := max(g.started+readerAfter, g.reader.seen+readerLife)
	return now-vacant >= claimStep*clock.Millis(min(g.above(now), claimSteps))
}

// awayAfter is the number of living VMs that the publisher does not answer, after
// which more of them need not ask.
const awayAfter = 2

// PublisherOutage reports whether several other VMs say that the publisher does not
// answer them. It may answer others, whose word then keeps the copy young.
func (g *Group) PublisherOutage(now clock.Millis) bool {
	failing := 0
	for _, m := range g.members {
		if m.failing && m.peer.Region == g.self.Region && m.alive(now) {
			failing++
		}
	}
	return failing >= awayAfter
}

// above counts the VMs of the region that are heard and rank higher.
func (g *Group) above(now clock.Millis) (n int) {
	for id, m := range g.members {
		if m.peer.Region == g.self.Region && m.alive(now) && outranks(id, g.self.ID) {
			n++
		}
	}
	return n
}

// readerNow returns what this VM tells others of the reader.
func (g *Group) readerNow(now clock.Millis) Reader {
	switch {
	case g.isReader(now):
		return Reader{ID: g.self.ID}
	case g.reader.alive(now):
		return Reader{ID: g.reader.id, Age: now - g.reader.seen}
	}
	return Reader{}
}

// hearOfReader takes what another VM tells of the reader of its region.
func (g *Group) hearOfReader(now clock.Millis, msg *Message) {
	if msg.From.Region != g.self.Region {
		return
	}
	if msg.Leaving && g.reader.id == msg.From.ID {
		g.reader = reader{seen: now - readerLife}
	}
	told := reader{id: msg.Reader.ID, seen: now - max(0, msg.Reader.Age)}
	if told.id == g.self.ID || !told.alive(now) {
		return
	}
	switch {
	case told.id == g.reader.id:
		g.reader.seen = max(g.reader.seen, told.seen)
	case !g.reader.alive(now), outranks(told.id, g.reader.id):
		g.reader = told
	}
}

// outranks orders VMs alike on all of them.
func outranks(a, b ident.VMID) bool {
	wa, wb := xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))
	return wa > wb || wa == wb && a < b
}
