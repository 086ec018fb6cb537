package entry

import (
	"context"
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

const (
	// smallFleetItems is the number of items up to which each VM that starts searches the
	// history of the source itself. Beyond it the seeds do so for the others, since many VMs
	// that start together would use up the calls that the source grants to all of them.
	smallFleetItems = 128
	// askTimeout is the time for which a VM asks the seeds before it searches itself, and
	// askPause the pause between two questions to one.
	askTimeout clock.Millis = 400
	askPause   clock.Millis = 25
)

// askRemovals asks other VMs at the same time which tombstones they know, until one that has
// a copy of the given revision or a later one tells, for at most askTimeout.
func (t *stateTransfer) askRemovals(ctx context.Context, from []netip.AddrPort, complete replica.Revision) (tombstones []replica.Item, known bool) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	replies := make(chan *sinceReply, len(from))
	for _, address := range from {
		go func() { replies <- t.pollRemovals(bounded, address, complete) }()
	}
	for range from {
		if reply := <-replies; reply != nil {
			return tombstonesOf(reply, complete), true
		}
	}
	return nil, false
}

// pollRemovals asks one VM again and again until it knows its tombstones up to a revision. It
// returns nil once ctx is done.
func (t *stateTransfer) pollRemovals(ctx context.Context, address netip.AddrPort, complete replica.Revision) *sinceReply {
	for ctx.Err() == nil {
		var reply sinceReply
		err := t.pool.Call(ctx, address, methodSince, sinceRequest{After: complete, Eras: true}, &reply)
		if err == nil && !reply.ReturnsAssumed && reply.covers(complete) {
			return &reply
		}
		sleep(ctx, askPause)
	}
	return nil
}

// covers reports whether the copy of the sender holds all changes up to a revision, in the
// same era.
func (r *sinceReply) covers(complete replica.Revision) bool {
	u, err := decodeUpdate(r.Update)
	return err == nil && u.Complete >= complete && u.Complete.Era() == complete.Era()
}

// tombstonesOf returns the tombstones whose ages a reply tells, as of a revision.
func tombstonesOf(reply *sinceReply, complete replica.Revision) (tombstones []replica.Item) {
	for key, age := range reply.RemovalAges {
		tombstones = append(tombstones, replica.Item{Key: key, Revision: complete, Removed: true, Age: min(max(0, age), maxRemovalAge)})
	}
	return tombstones
}

// otherSeeds returns the seeds that a VM asks, none if it is a seed itself.
func otherSeeds(settings *Settings) []netip.AddrPort {
	if slices.Contains(settings.Seeds, settings.Peers) {
		return nil
	}
	return settings.Seeds
}
