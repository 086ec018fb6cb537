package entry

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// ErrForgotten means that the source no longer knows the changes since a
// revision.
var ErrForgotten = errors.New("entry: source forgot the changes")

const (
	// watchWait bounds how long a silent watch goes unnoticed.
	watchWait clock.Millis = 1000
	// answerWait is the time that the source has to answer beyond a watch.
	answerWait clock.Millis = 500
	// rereadEvery is the period at which everything is read again, in case a
	// watch left a change out.
	rereadEvery = 6 * clock.Second
	// firstRetry is the wait after a failed call. It doubles up to lastRetry.
	firstRetry clock.Millis = 100
	lastRetry  clock.Millis = 800
	// freshFor is how long after its last answer the source counts as present.
	freshFor = 3 * clock.Second
)

// keeper keeps the copy of what is published, and the catalog made of it.
type keeper struct {
	source Source
	clk    clock.Clock
	log    *slog.Logger
	// publish takes each new catalog.
	publish func(c *catalog.Catalog)
	// news is told of each new revision.
	news func(rev replica.Revision)

	mu      sync.Mutex
	replica *replica.Replica
	builder *catalog.Builder

	kick     chan struct{} // asks for a read at once
	answered atomic.Int64  // clock.Millis of the last answer of the source
	down     atomic.Bool
	calls    atomic.Int64
	failures atomic.Int64
}

func newKeeper(a *Adapter, clk clock.Clock, log *slog.Logger, heartbeat clock.Millis, publish func(*catalog.Catalog)) *keeper {
	k := &keeper{
		source: a.Source, clk: clk, log: log, publish: publish,
		replica: replica.New(),
		kick:    make(chan struct{}, 1),
		news:    func(replica.Revision) {},
	}
	k.builder = catalog.NewBuilder(a.Decode, k.reject, 2*heartbeat)
	return k
}

func (k *keeper) reject(item replica.Item, err error) {
	event.Log(context.Background(), k.log, event.ItemInvalid,
		slog.String("key", string(item.Key)), slog.Uint64("revision", uint64(item.Revision)), slog.String("error", err.Error()))
}

// complete returns the revision up to which the copy holds every change.
func (k *keeper) complete() replica.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.Complete()
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
	k.builder.Take(now, changed)
	complete := k.replica.Complete()
	if len(changed) > 0 || before == 0 {
		if c := k.builder.Build(complete); c != nil {
			k.publish(c)
		}
	}
	k.mu.Unlock()
	for i := range changed {
		event.Log(context.Background(), k.log, event.ItemChanged,
			slog.String("key", string(changed[i].Key)), slog.Uint64("revision", uint64(changed[i].Revision)),
			slog.Bool("removed", changed[i].Removed), slog.String("from", from), slog.Uint64("complete", uint64(complete)))
	}
	if complete > before {
		k.news(complete)
	}
}

// forget drops what was removed long ago.
func (k *keeper) forget() {
	now := k.clk.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replica.Forget(now)
	k.builder.Forget(now)
}

// reread asks for a read at once, in place of the watch under way.
func (k *keeper) reread() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// present reports whether the source answered lately.
func (k *keeper) present() bool {
	return k.clk.Now()-clock.Millis(k.answered.Load()) < freshFor
}

// run follows the source until ctx ends.
func (k *keeper) run(ctx context.Context) error {
	retry := firstRetry
	readAt := clock.Millis(0)
	for ctx.Err() == nil {
		var err error
		if k.clk.Now() >= readAt {
			if err = k.read(ctx); err == nil {
				readAt = k.clk.Now() + rereadEvery
			}
		} else {
			err = k.watch(ctx)
		}
		switch {
		case err == nil:
			retry = firstRetry
		case errors.Is(err, ErrForgotten), errors.Is(err, errKicked):
			readAt = 0
		default:
			k.failed(ctx, err)
			sleep(ctx, retry)
			retry = min(2*retry, lastRetry)
		}
	}
	return nil
}

var errKicked = errors.New("entry: watch was interrupted")

func (k *keeper) read(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, (watchWait + answerWait).Duration())
	defer cancel()
	k.calls.Add(1)
	u, err := k.source.Read(bounded)
	if err != nil {
		return err
	}
	k.succeeded(ctx)
	k.apply(u, "source")
	return nil
}

func (k *keeper) watch(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, (watchWait + answerWait).Duration())
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	var kicked atomic.Bool
	go func() {
		select {
		case <-k.kick:
			kicked.Store(true)
			cancel()
		case <-done:
		}
	}()
	k.calls.Add(1)
	u, err := k.source.Watch(bounded, k.complete(), watchWait)
	if err != nil {
		if kicked.Load() {
			return errKicked
		}
		return err
	}
	k.succeeded(ctx)
	k.apply(u, "source")
	return nil
}

func (k *keeper) succeeded(ctx context.Context) {
	k.answered.Store(int64(k.clk.Now()))
	if k.down.CompareAndSwap(true, false) {
		event.Log(ctx, k.log, event.PlatformBack)
	}
}

func (k *keeper) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	k.failures.Add(1)
	k.source.Renew()
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
