package entry

import (
	"context"
	"errors"
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

// ErrCompacted means that the source no longer has the changes after the requested
// revision, so that everything must be read again.
var ErrCompacted = errors.New("entry: source has compacted the requested changes")

const (
	// watchWait is the long-poll wait of the reader. It bounds how long a watch
	// that fails silently goes unnoticed.
	watchWait clock.Millis = 800
	// responseTimeout is the time for the response of the source, in addition to
	// the wait of a watch. A full read is given as long as a watch of watchWait.
	responseTimeout clock.Millis = 400
	// readTimeout is the time for a full read, and for the search of tombstones that the
	// read does not hold.
	readTimeout = watchWait + responseTimeout
	// coalesceDelay is the pause of the reader after a change, so that changes in
	// quick succession arrive in one response.
	coalesceDelay clock.Millis = 50
	// checkWait is the long-poll wait of a VM that only checks for changes.
	checkWait clock.Millis = 1
	// fullReadInterval is the period at which the reader reads everything again,
	// in case a watch missed a change.
	fullReadInterval = 8 * clock.Second
	// sourceOutageAge is the age of the copy above which the source counts as having
	// been unavailable. It exceeds the age that a copy reaches while the source is
	// available.
	sourceOutageAge clock.Millis = 2500
	// buildPauseFactor is the shortest pause between two builds of the catalog, as
	// a multiple of the duration of the last build. It limits builds to 2 % of a
	// core while changes arrive in quick succession.
	buildPauseFactor = 50
	// maxBuildPause bounds that pause, since a build may take long because the VM
	// was slow or paused. Changes must be active within seconds.
	maxBuildPause = 1 * clock.Second
	// ageCheckInterval is the period at which a VM that follows another one checks
	// the age of its copy.
	ageCheckInterval clock.Millis = 50
)

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

// scheduleBuild builds the catalog immediately, or after the pause that
// buildPauseFactor and maxBuildPause ask for since the last build. The caller holds
// mu.
func (r *replicator) scheduleBuild() {
	wait := min(buildPauseFactor*r.buildTook, maxBuildPause.Duration()) - time.Since(r.builtAt)
	if wait <= 0 {
		r.build()
		return
	}
	if !r.buildScheduled {
		r.buildScheduled = true
		time.AfterFunc(wait, r.buildNow)
	}
}

// buildNow builds the catalog if a delayed build is pending.
func (r *replicator) buildNow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.buildScheduled {
		r.build()
	}
}

// build builds a catalog and passes it to setCatalog. The caller holds mu.
func (r *replicator) build() {
	r.buildScheduled = false
	start := time.Now()
	c := r.builder.Build(r.replica.Complete())
	if c == nil {
		return
	}
	r.setCatalog(c)
	r.builtAt = time.Now()
	r.buildTook = r.builtAt.Sub(start)
	r.recordActive(c)
}

// recordActive logs that c is active and reports how long its changes were pending.
// The caller holds mu.
func (r *replicator) recordActive(c *catalog.Catalog) {
	pending := clock.Millis(0)
	if r.pendingSince != 0 {
		pending = r.clk.Now() - r.pendingSince
	}
	r.pendingSince = 0
	r.onActive(pending)
	event.Log(context.Background(), r.log, event.CatalogTaken, slog.Uint64("version", uint64(c.Config.Version)),
		slog.Any("revision", c.Revision), slog.Int("routes", len(c.Config.Routes)),
		slog.Int("upstreams", c.UpstreamCount()), slog.Any("domainsOut", c.DomainsOut()),
		slog.Int64("pendingMillis", int64(pending)), slog.Int64("buildMillis", r.buildTook.Milliseconds()))
}

// prune drops expired tombstones.
func (r *replicator) prune() {
	now := r.clk.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replica.Forget(now)
	r.builder.Forget(now)
}

// requestRead requests a full read and ends the current wait or watch.
func (r *replicator) requestRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readRequested = true
	if r.cancelWait != nil {
		r.cancelWait()
	}
}

// takeReadRequest reports whether a read was requested and clears the request.
func (r *replicator) takeReadRequest() (requested bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requested, r.readRequested = r.readRequested, false
	return requested
}

// hasReadRequest reports whether a requested read has not started yet.
func (r *replicator) hasReadRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readRequested
}

// setCancelWait sets the function that ends the current wait, nil if there is
// none. It calls the function at once if a read is already requested.
func (r *replicator) setCancelWait(cancel func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelWait = cancel
	if r.readRequested && cancel != nil {
		cancel()
	}
}

// wait waits for d, or until a read is requested or ctx is done.
func (r *replicator) wait(ctx context.Context, d clock.Millis) {
	bounded, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	r.setCancelWait(cancel)
	defer r.setCancelWait(nil)
	<-bounded.Done()
}

// run keeps the copy up to date until ctx is done. It retries failed calls after a
// delay.
func (r *replicator) run(ctx context.Context) error {
	failures, compactedAt := 0, replica.Revision(0)
	for ctx.Err() == nil {
		calledAt := r.clk.Now()
		err := r.step(ctx)
		switch {
		case err == nil:
			failures = 0
		case errors.Is(err, errInterrupted):
		case errors.Is(err, ErrCompacted):
			r.nextReadAt = 0
			complete := r.localCopy().Complete
			if complete == compactedAt {
				// A read did not help. The source has gone back in the same era.
				r.wait(ctx, replica.RetryDelay(int(r.rank.Load()), 1, false))
			}
			compactedAt = complete
		default:
			// A watch may hang while reads still succeed, so read next.
			r.nextReadAt = 0
			r.recordFailure(ctx, err)
			// The duration of the failed call counts towards the delay.
			failures++
			retry := replica.RetryDelay(int(r.rank.Load()), failures, r.localCopy().Complete == 0)
			r.wait(ctx, max(1, retry-(r.clk.Now()-calledAt)))
		}
	}
	return nil
}

// step makes the call that is due, or waits if none is due.
func (r *replicator) step(ctx context.Context) error {
	now := r.clk.Now()
	confirmed := clock.Millis(r.confirmedAt.Load())
	reading := replica.ReadState{
		Rank: int(r.rank.Load()), Requested: r.takeReadRequest(), Empty: r.localCopy().Complete == 0, Uptime: now - r.started,
		Age: now - confirmed, Behind: r.behind(), PublisherAway: r.sourceOutage.Load(), Due: now >= r.nextReadAt, Failed: r.nextReadAt == 0,
	}
	switch reading.Next() {
	case replica.ReadAll:
		return r.read(ctx, reading.Requested)
	case replica.Watch:
		return r.watch(ctx, watchWait)
	case replica.Poll:
		return r.watch(ctx, checkWait)
	case replica.NoCall:
		r.wait(ctx, ageCheckInterval)
	}
	return nil
}

var errInterrupted = errors.New("entry: watch interrupted by a requested read")

// read reads all items and applies them, with the tombstones that the copy lacks. requested
// is set if packets wait for it.
func (r *replicator) read(ctx context.Context, requested bool) error {
	bounded, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	r.calls.Add(1)
	requestedAt, count := r.clk.Now(), r.pauses.poll()
	u, err := r.source.Read(bounded, r.localCopy().Complete.Era())
	if err != nil {
		return err
	}
	catchUpTimeout := responseTimeout
	if requested {
		catchUpTimeout = verifyTimeout / 2
	}
	known := r.addRemovals(ctx, &u, catchUpTimeout)
	if err = r.checkEra(&u); err != nil {
		return err
	}
	if !known {
		r.assumeReturns()
	}
	r.nextReadAt = r.clk.Now() + fullReadInterval
	r.apply(u, fromRead)
	r.recordSuccess(ctx, requestedAt, count)
	return nil
}

// catchUp requests the changes up to a revision that a read has shown, before the
// read is applied. Without them the copy would lack the tombstones since its own
// revision, and other VMs would need full updates. After an error the read is applied all
// the same, since it holds all items that exist.
func (r *replicator) catchUp(ctx context.Context, target replica.Revision, timeout clock.Millis) error {
	after := r.localCopy().Complete
	if after >= target || after.Era() != target.Era() {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	r.calls.Add(1)
	u, err := r.source.Watch(bounded, after, checkWait)
	if err == nil {
		err = r.checkEra(&u)
	}
	if err != nil {
		r.failures.Add(1)
		return err
	}
	r.apply(u, fromWatch)
	return nil
}

// watch requests changes and waits for them for at most the given time.
func (r *replicator) watch(ctx context.Context, wait clock.Millis) error {
	bounded, cancel := context.WithTimeout(ctx, (wait + responseTimeout).Duration())
	defer cancel()
	r.setCancelWait(cancel)
	defer r.setCancelWait(nil)
	r.calls.Add(1)
	validAt, count := r.clk.Now(), r.pauses.poll()
	u, err := r.source.Watch(bounded, r.localCopy().Complete, wait)
	if err != nil {
		if r.hasReadRequest() {
			return errInterrupted
		}
		return err
	}
	if err = r.checkEra(&u); err != nil {
		return err
	}
	r.apply(u, fromWatch)
	if r.pauses.poll() == count {
		validAt = r.clk.Now() // without a pause, the response did not wait in the socket
	}
	r.recordSuccess(ctx, validAt, count)
	if len(u.Items) > 0 && wait > coalesceDelay {
		r.wait(ctx, coalesceDelay)
	}
	return nil
}

// recordSuccess records a response of the source that was valid at the given time.
// count is the number of pauses before the request.
func (r *replicator) recordSuccess(ctx context.Context, at clock.Millis, count int) {
	r.confirm(at)
	r.mu.Lock()
	r.behindSince, r.newerRevision = 0, 0 // the source knows better than other VMs
	r.mu.Unlock()
	r.pauses.markVerified(count)
	if r.sourceUnreachable.CompareAndSwap(true, false) {
		event.Log(ctx, r.log, event.PlatformBack)
	}
}

func (r *replicator) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.failures.Add(1)
	r.source.Reconnect()
	if r.sourceUnreachable.CompareAndSwap(false, true) {
		event.Log(ctx, r.log, event.PlatformDown, event.Error(err))
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d clock.Millis) {
	bounded, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	<-bounded.Done()
}
