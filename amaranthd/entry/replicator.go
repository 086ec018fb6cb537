package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// sourceOutageAge is the age of the copy above which the source counts as having
// been unavailable. It exceeds the age that a copy reaches while the source is
// available.
const sourceOutageAge clock.Millis = 2500

// Origins of updates in the log, in addition to the identifiers of other VMs.
const (
	fromRead  = "read"
	fromWatch = "watch"
)

// replicator maintains the copy of the published items and the catalog built from
// it. The reader of the group watches the source. The other VMs receive changes
// from it by gossip, and call the source only when no VM confirms their copy any
// more.
type replicator struct {
	source Source
	clk    clock.Clock
	pauses *pauseDetector
	log    *slog.Logger
	// setCatalog is called with each new catalog.
	setCatalog func(c *catalog.Catalog)
	// onUpdate is called with the changes after each increase of the revision.
	onUpdate func(u *replica.Update)
	// onActive is called after each build with the time for which the oldest change in
	// it was pending.
	onActive func(pending clock.Millis)
	// awaitHistory blocks for a limited time after the start, and reports whether an older
	// VM has sent its tombstones.
	awaitHistory func(ctx context.Context) bool
	// askSeeds asks the seeds for the tombstones that they know. known is false if this VM
	// is a seed, or none of them tells in time.
	askSeeds func(ctx context.Context, complete replica.Revision) (tombstones []replica.Item, known bool)

	mu      sync.Mutex
	replica *replica.Replica
	builder *catalog.Builder
	// builtAt and buildTook are the end and the duration of the last build.
	// buildScheduled is set while a delayed build is pending.
	builtAt        time.Time
	buildTook      time.Duration
	buildScheduled bool
	// newerRevision is the highest revision that another VM has reported, and
	// behindSince the time since which this copy lacks it, 0 if it does not.
	newerRevision replica.Revision
	behindSince   clock.Millis
	// pendingSince is when the oldest change that is not in the catalog arrived, 0 if
	// there is none.
	pendingSince clock.Millis
	// readRequested is set while a requested read has not started. cancelWait ends
	// the current wait or watch, nil if there is none.
	readRequested bool
	cancelWait    func()

	started           clock.Millis
	nextReadAt        clock.Millis // time of the next full read, 0 for immediately
	rank              atomic.Int64 // rank in the group, 0 for the reader
	sourceOutage      atomic.Bool  // other VMs report that the source does not respond
	confirmedAt       atomic.Int64 // clock.Millis; last time at which the copy was known to be complete
	sourceUnreachable atomic.Bool  // the last completed call of this VM to the source failed
	calls             atomic.Int64
	failures          atomic.Int64
}

func newReplicator(a *Adapter, clk clock.Clock, pauses *pauseDetector, log *slog.Logger, heartbeat clock.Millis, setCatalog func(*catalog.Catalog)) *replicator {
	r := &replicator{
		source: a.Source, clk: clk, pauses: pauses, log: log, setCatalog: setCatalog,
		replica: replica.New(), started: clk.Now(),
		onUpdate: func(*replica.Update) {}, onActive: func(clock.Millis) {}, awaitHistory: func(context.Context) bool { return false },
		askSeeds: func(context.Context, replica.Revision) ([]replica.Item, bool) { return nil, false },
	}
	r.rank.Store(1) // not the reader until the group has elected one
	r.builder = catalog.NewBuilder(a.Decode, r.logInvalidItem, 2*heartbeat)
	r.builder.SetHeartbeat(heartbeat)
	return r
}

func (r *replicator) logInvalidItem(item replica.Item, err error) {
	event.Log(context.Background(), r.log, event.ItemInvalid,
		slog.String("key", string(item.Key)), slog.Any("revision", item.Revision), event.Error(err))
}

// localCopy returns the revision of the copy and the time at which it was last
// confirmed.
func (r *replicator) localCopy() gossip.ReplicaState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return gossip.ReplicaState{Complete: r.replica.Complete(), ConfirmedAt: clock.Millis(r.confirmedAt.Load())}
}

// noteNewer records that another VM has a copy of a higher revision.
func (r *replicator) noteNewer(revision replica.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.replica.Complete() {
		return
	}
	r.newerRevision = max(r.newerRevision, revision)
	if r.behindSince == 0 {
		r.behindSince = r.clk.Now()
	}
}

// behind returns the time since which this VM has known of a newer copy, 0 if its own
// is the newest.
func (r *replicator) behind() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.behindSince == 0 {
		return 0
	}
	return r.clk.Now() - r.behindSince
}

// confirm records that the copy was complete at the given time. Earlier times than
// the recorded one are ignored.
func (r *replicator) confirm(at clock.Millis) {
	for {
		old := r.confirmedAt.Load()
		if int64(at) <= old || r.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// setRank sets the rank of this VM in the group, 0 for the reader, and whether
// other VMs report that the source does not respond.
func (r *replicator) setRank(rank int, sourceOutage bool) {
	r.rank.Store(int64(rank))
	r.sourceOutage.Store(sourceOutage)
}

// changesSince returns the changes after a revision, for another VM.
func (r *replicator) changesSince(after replica.Revision) replica.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.Since(after)
}

// recentRemovals returns the ages of the tombstones that are at most maxAge old.
func (r *replicator) recentRemovals(maxAge clock.Millis) map[replica.Key]clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replica.RecentRemovals(r.clk.Now(), maxAge)
}

// apply merges an update and schedules a build of the catalog if any item changed.
func (r *replicator) apply(u replica.Update, from string) { r.applyWithKept(u, nil, from) }

// applyWithKept does so, and applies the items that the sender of the update keeps in
// force since the source came back from an older copy.
func (r *replicator) applyWithKept(u replica.Update, kept []catalog.Kept, from string) {
	now := r.clk.Now()
	r.mu.Lock()
	before := r.replica.Complete()
	hadOutage := before > 0 && now-clock.Millis(r.confirmedAt.Load()) >= sourceOutageAge
	changed, keptTaken := r.builder.Merge(now, r.replica, u, kept, hadOutage)
	complete := r.replica.Complete()
	if complete >= r.newerRevision {
		r.behindSince = 0
	}
	if len(changed) > 0 && r.pendingSince == 0 {
		r.pendingSince = now
	}
	if len(changed) > 0 || complete.Era() != before.Era() || before == 0 || keptTaken {
		r.scheduleBuild()
	}
	// The items that changed now are not sufficient: the pages of a read are no
	// snapshot and may hold items newer than its revision. They were merged with
	// that read, but other VMs may lack them.
	var update replica.Update
	if complete > before {
		update = r.replica.Since(before)
	}
	r.mu.Unlock()
	if before > 0 && complete.Era() > before.Era() {
		event.Log(context.Background(), r.log, event.StoreEraChanged,
			slog.Int("old", int(before.Era())), slog.Int("new", int(complete.Era())), slog.String("from", from))
	}
	for i := range changed {
		event.Log(context.Background(), r.log, event.ItemChanged,
			slog.String("key", string(changed[i].Key)), slog.Any("revision", changed[i].Revision),
			slog.Bool("removed", changed[i].Removed), slog.String("from", from), slog.Any("complete", complete))
	}
	if complete > before {
		r.onUpdate(&update)
	}
}

// prune drops expired tombstones.
func (r *replicator) prune() {
	now := r.clk.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replica.Forget(now)
	r.builder.Forget(now)
}
