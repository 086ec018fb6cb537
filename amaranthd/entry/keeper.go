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

// ErrCompacted means that the source no longer knows the changes since a
// revision.
var ErrCompacted = errors.New("entry: source forgot the changes")

const (
	// watchWait bounds how long a silent watch of the reader goes unnoticed.
	watchWait clock.Millis = 800
	// answerWait is the time that the source has to answer beyond a watch.
	answerWait clock.Millis = 400
	// watchGap lets changes in quick succession come together.
	watchGap clock.Millis = 50
	// checkWait is the wait of a VM that only checks for changes.
	checkWait clock.Millis = 1
	// rereadEvery is the period at which the reader reads everything again, in
	// case a watch left a change out.
	rereadEvery = 8 * clock.Second
	// awayAfter is the age of the copy at which the source counts as having
	// been away. It exceeds the age that a copy reaches without that.
	awayAfter clock.Millis = 2500
	// buildPause is the least pause after building a catalog, in multiples of
	// the time that this took: changes in quick succession take 2 % of a core.
	buildPause = 50
	// ageCheck is the period at which the age is looked at.
	ageCheck clock.Millis = 50
)

// keeper keeps the copy of what is published, and the catalog made of it. The
// reader of the group follows the source; the others hear of changes from it
// and ask the source only when nobody confirms their copy any more.
type keeper struct {
	source Source
	clk    clock.Clock
	pauses *pauses
	log    *slog.Logger
	// publish takes each new catalog.
	publish func(c *catalog.Catalog)
	// news is told of each change.
	news func(u *replica.Update)

	mu      sync.Mutex
	replica *replica.Replica
	builder *catalog.Builder
	// builtAt and buildTook tell of the last catalog, buildDue that one is due.
	builtAt   time.Time
	buildTook time.Duration
	buildDue  bool
	// kicked tells that a read was asked for, interrupt ends what waits for it.
	kicked    bool
	interrupt func()

	started   clock.Millis
	readAt    clock.Millis // when everything is to be read again, 0 for at once
	rank      atomic.Int64 // 0 for the reader
	away      atomic.Bool  // others say that the source answers nobody
	confirmed atomic.Int64 // clock.Millis at which the copy was complete
	down      atomic.Bool
	calls     atomic.Int64
	failures  atomic.Int64
}

func newKeeper(a *Adapter, clk clock.Clock, ps *pauses, log *slog.Logger, heartbeat clock.Millis, publish func(*catalog.Catalog)) *keeper {
	k := &keeper{
		source: a.Source, clk: clk, pauses: ps, log: log, publish: publish,
		replica: replica.New(), started: clk.Now(),
		news: func(*replica.Update) {},
	}
	k.rank.Store(1) // until the group knows better
	k.builder = catalog.NewBuilder(a.Decode, k.reject, 2*heartbeat)
	return k
}

func (k *keeper) reject(item replica.Item, err error) {
	event.Log(context.Background(), k.log, event.ItemInvalid,
		slog.String("key", string(item.Key)), slog.Uint64("revision", uint64(item.Revision)), slog.String("error", err.Error()))
}

// held returns what this VM holds.
func (k *keeper) held() gossip.ReplicaState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return gossip.ReplicaState{Complete: k.replica.Complete(), ConfirmedAt: clock.Millis(k.confirmed.Load())}
}

// confirm takes note that the copy was complete at the given time.
func (k *keeper) confirm(at clock.Millis) {
	for {
		old := k.confirmed.Load()
		if int64(at) <= old || k.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// setRank sets the place of this VM in the group, 0 for the reader, and whether
// others say that the source answers nobody.
func (k *keeper) setRank(rank int, away bool) {
	k.rank.Store(int64(rank))
	k.away.Store(away)
}

// since returns what changed after a revision, for another VM.
func (k *keeper) since(after replica.Revision) replica.Update {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.Since(after)
}

// apply merges an update and publishes the catalog if anything changed.
func (k *keeper) apply(u replica.Update, from string) {
	now := k.clk.Now()
	k.mu.Lock()
	before := k.replica.Complete()
	changed := k.replica.Apply(now, u)
	away := before > 0 && now-clock.Millis(k.confirmed.Load()) >= awayAfter
	k.builder.Apply(now, changed, away)
	complete := k.replica.Complete()
	if len(changed) > 0 || before == 0 {
		k.rebuild()
	}
	// What changed now is not enough: pages of a read may hold items that are newer
	// than it, which others lack.
	var news replica.Update
	if complete > before {
		news = k.replica.Since(before)
	}
	k.mu.Unlock()
	for i := range changed {
		event.Log(context.Background(), k.log, event.ItemChanged,
			slog.String("key", string(changed[i].Key)), slog.Uint64("revision", uint64(changed[i].Revision)),
			slog.Bool("removed", changed[i].Removed), slog.String("from", from), slog.Uint64("complete", uint64(complete)))
	}
	if complete > before {
		k.news(&news)
	}
}

// rebuild publishes a new catalog, at once unless the last one was built so
// short a time ago that building would take more than its share. The caller
// holds mu.
func (k *keeper) rebuild() {
	wait := buildPause*k.buildTook - time.Since(k.builtAt)
	if wait <= 0 {
		k.build()
		return
	}
	if !k.buildDue {
		k.buildDue = true
		time.AfterFunc(wait, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.build()
		})
	}
}

// build publishes a new catalog. The caller holds mu.
func (k *keeper) build() {
	k.buildDue = false
	begun := time.Now()
	c := k.builder.Build(k.replica.Complete())
	if c == nil {
		return
	}
	k.publish(c)
	k.builtAt = time.Now()
	k.buildTook = k.builtAt.Sub(begun)
}

// forget drops what was removed long ago.
func (k *keeper) forget() {
	now := k.clk.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replica.Forget(now)
	k.builder.Forget(now)
}

// reread asks for a read at once, in place of what the keeper waits for.
func (k *keeper) reread() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kicked = true
	if k.interrupt != nil {
		k.interrupt()
	}
}

// takeKick reports whether a read was asked for since the last call.
func (k *keeper) takeKick() (kicked bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	kicked, k.kicked = k.kicked, false
	return kicked
}

// isKicked reports whether a read was asked for and is not begun.
func (k *keeper) isKicked() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.kicked
}

// setInterrupt sets what ends the present wait, nil if there is none. A read that
// was asked for before ends it at once.
func (k *keeper) setInterrupt(interrupt func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.interrupt = interrupt
	if k.kicked && interrupt != nil {
		interrupt()
	}
}

// rest waits for d, or until a read is asked for or ctx ends.
func (k *keeper) rest(ctx context.Context, d clock.Millis) {
	bounded, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	k.setInterrupt(cancel)
	defer k.setInterrupt(nil)
	<-bounded.Done()
}

// run follows the source, or waits until that is needed, until ctx ends.
func (k *keeper) run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		called := k.clk.Now()
		err := k.step(ctx)
		switch {
		case err == nil:
			failures = 0
		case errors.Is(err, errKicked):
		case errors.Is(err, ErrCompacted):
			k.readAt = 0
		default:
			// A watch may have fallen silent while plain reads are answered.
			k.readAt = 0
			k.failed(ctx, err)
			// A call that took long has waited enough.
			failures++
			retry := replica.RetryDelay(int(k.rank.Load()), failures, k.held().Complete == 0)
			k.rest(ctx, max(1, retry-(k.clk.Now()-called)))
		}
	}
	return nil
}

// step makes the call that is due, or waits if none is.
func (k *keeper) step(ctx context.Context) error {
	now := k.clk.Now()
	confirmed := clock.Millis(k.confirmed.Load())
	reading := replica.ReadState{
		Rank: int(k.rank.Load()), Requested: k.takeKick(), Empty: k.held().Complete == 0, Uptime: now - k.started,
		Age: now - confirmed, PublisherAway: k.away.Load(), Due: now >= k.readAt, Failed: k.readAt == 0,
	}
	switch reading.Next() {
	case replica.ReadAll:
		return k.read(ctx)
	case replica.Watch:
		return k.watch(ctx, watchWait)
	case replica.Poll:
		return k.watch(ctx, checkWait)
	case replica.NoCall:
		k.rest(ctx, ageCheck)
	}
	return nil
}

var errKicked = errors.New("entry: watch was interrupted")

func (k *keeper) read(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, (watchWait + answerWait).Duration())
	defer cancel()
	k.calls.Add(1)
	asked, count := k.clk.Now(), k.pauses.look()
	u, err := k.source.Read(bounded)
	if err != nil {
		return err
	}
	k.readAt = k.clk.Now() + rereadEvery
	k.apply(u, "source")
	k.succeeded(ctx, asked, count)
	return nil
}

// watch waits for changes for at most the given time.
func (k *keeper) watch(ctx context.Context, wait clock.Millis) error {
	bounded, cancel := context.WithTimeout(ctx, (wait + answerWait).Duration())
	defer cancel()
	k.setInterrupt(cancel)
	defer k.setInterrupt(nil)
	k.calls.Add(1)
	asked, count := k.clk.Now(), k.pauses.look()
	u, err := k.source.Watch(bounded, k.held().Complete, wait)
	if err != nil {
		if k.isKicked() {
			return errKicked
		}
		return err
	}
	k.apply(u, "source")
	if k.pauses.look() == count {
		asked = k.clk.Now() // else the answer may have waited for this VM
	}
	k.succeeded(ctx, asked, count)
	if len(u.Items) > 0 && wait > watchGap {
		k.rest(ctx, watchGap)
	}
	return nil
}

// succeeded takes note of an answer of the source that was true at the given
// time, and was asked for after the given number of pauses.
func (k *keeper) succeeded(ctx context.Context, at clock.Millis, count int) {
	k.confirm(at)
	k.pauses.check(count)
	if k.down.CompareAndSwap(true, false) {
		event.Log(ctx, k.log, event.PlatformBack)
	}
}

func (k *keeper) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	k.failures.Add(1)
	k.source.Reconnect()
	if k.down.CompareAndSwap(false, true) {
		event.Log(ctx, k.log, event.PlatformDown, slog.String("error", err.Error()))
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d clock.Millis) {
	bounded, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	<-bounded.Done()
}
