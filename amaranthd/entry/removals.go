package entry

import (
	"context"
	"errors"
	"log/slog"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// removalAttempts is the number of times that a VM asks the source for the tombstones that
// its first copy lacks.
const removalAttempts = 2

// addRemovals adds to a full read the tombstones of failure domains that returned to service
// since the copy was complete, which a read does not hold. The upstreams of such a domain may
// be cold although their entries, written before, say that they are warm. known is false if a
// VM without a copy could not learn whether any domain returned.
func (r *replicator) addRemovals(ctx context.Context, u *replica.Update, catchUpTimeout clock.Millis) (known bool) {
	var tombstones []replica.Item
	first := r.localCopy().Complete == 0
	if first {
		tombstones, known = r.firstRemovals(ctx, u)
	}
	if r.localCopy().Complete > 0 {
		tombstones = append(tombstones, r.laterRemovals(ctx, u, catchUpTimeout)...)
	}
	u.Items = append(tombstones, u.Items...)
	return known || !first
}

// laterRemovals returns the tombstones that a VM with a copy lacks, after it has applied the
// changes since then. If the source no longer has these, it searches its history.
func (r *replicator) laterRemovals(ctx context.Context, u *replica.Update, catchUpTimeout clock.Millis) []replica.Item {
	if err := r.catchUp(ctx, u.Complete, catchUpTimeout); !errors.Is(err, ErrCompacted) {
		return nil
	}
	tombstones, err := r.findRemovals(ctx, u)
	if err != nil {
		r.failures.Add(1) // the domains that were out of service before are known
	}
	return tombstones
}

// removals is the result of a search of the history.
type removals struct {
	tombstones []replica.Item
	err        error
}

// firstRemovals returns the tombstones that a VM without a copy lacks. It searches the
// history of the source while packets wait for an older VM, which knows more. known is true
// if that has sent its copy, or the search has ended.
func (r *replicator) firstRemovals(ctx context.Context, u *replica.Update) (tombstones []replica.Item, known bool) {
	searching, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan removals, 1)
	go func() { found <- r.searchRemovals(searching, u) }()
	if r.awaitHistory(ctx) {
		cancel()
		<-found
		return nil, true
	}
	result := <-found
	if result.err != nil {
		event.Log(ctx, r.log, event.RemovalsUnknown, event.Error(result.err))
	}
	return result.tombstones, result.err == nil
}

// searchRemovals calls findRemovals up to removalAttempts times. In a large fleet it first asks
// the seeds.
func (r *replicator) searchRemovals(ctx context.Context, u *replica.Update) (result removals) {
	if len(u.Items) > smallFleetItems {
		if tombstones, known := r.askSeeds(ctx, u.Complete); known {
			return removals{tombstones: tombstones}
		}
	}
	for range removalAttempts {
		result.tombstones, result.err = r.findRemovals(ctx, u)
		if result.err == nil || ctx.Err() != nil {
			break
		}
		r.failures.Add(1)
		r.source.Reconnect()
	}
	return result
}

// findRemovals returns the tombstones of failure domains up to the revision of a full read,
// as far back as the source still has them and an item of the read was written before. It makes
// no call if the read shows all changes.
func (r *replicator) findRemovals(ctx context.Context, u *replica.Update) (tombstones []replica.Item, err error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	calls := 0
	oldest, newest := replica.MissingNumbers(u)
	_, err = replica.FindHorizon(oldest, newest, func(after uint64) (bool, error) {
		calls++
		changes, err := r.domainChanges(bounded, replica.RevisionOf(u.Complete.Era(), after))
		if errors.Is(err, ErrCompacted) {
			return false, nil
		}
		tombstones = removedUpTo(changes.Items, u.Complete)
		return err == nil, err
	})
	if err != nil {
		return nil, err
	}
	event.Log(ctx, r.log, event.RemovalsRead, slog.Int("removals", len(tombstones)), slog.Int("calls", calls), slog.Any("complete", u.Complete))
	return tombstones, nil
}

// domainChanges makes one call of the search.
func (r *replicator) domainChanges(ctx context.Context, after replica.Revision) (replica.Update, error) {
	bounded, cancel := context.WithTimeout(ctx, responseTimeout.Duration())
	defer cancel()
	r.calls.Add(1)
	return r.source.DomainChanges(bounded, after)
}

// removedUpTo returns the tombstones of the items that do not exist at a revision. The
// changes are in the order of their revisions.
func removedUpTo(changes []replica.Item, complete replica.Revision) (tombstones []replica.Item) {
	last := make(map[replica.Key]replica.Item)
	for _, item := range changes {
		if item.Revision <= complete {
			last[item.Key] = item
		}
	}
	for _, item := range changes {
		if item.Removed && last[item.Key].Revision == item.Revision {
			tombstones = append(tombstones, item)
		}
	}
	return tombstones
}

// assumeReturns lets the upstreams of all failure domains count as cold for as long as one
// that is cold takes to publish so. Open flows are not concerned.
func (r *replicator) assumeReturns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.builder.AssumeReturns(r.clk.Now())
}

// knowReturns ends that, since an older VM has sent its tombstones.
func (r *replicator) knowReturns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.builder.KnowReturns() {
		r.scheduleBuild()
	}
}

// returnsAssumed reports whether a VM that gets its first copy from this one has to assume
// the same.
func (r *replicator) returnsAssumed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.builder.ReturnsAssumed(r.clk.Now())
}
