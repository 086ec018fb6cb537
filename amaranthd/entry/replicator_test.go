package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// fakeSource is a source with replaceable responses that counts calls.
type fakeSource struct {
	mu      sync.Mutex
	reads   int
	watches int
	read    func() (replica.Update, error)
	// watch may be nil for a source whose watches fail.
	watch func(ctx context.Context, after replica.Revision) (replica.Update, error)
	// domainChanges may be nil for a source without history.
	domainChanges func(after replica.Revision) (replica.Update, error)
}

func (f *fakeSource) source() Source {
	return Source{
		Read: func(context.Context, replica.Era) (replica.Update, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.reads++
			return f.read()
		},
		Watch: func(ctx context.Context, after replica.Revision, _ clock.Millis) (replica.Update, error) {
			f.mu.Lock()
			f.watches++
			watch := f.watch
			f.mu.Unlock()
			if watch == nil {
				return replica.Update{}, errors.New("watches fail")
			}
			return watch(ctx, after)
		},
		DomainChanges: func(_ context.Context, after replica.Revision) (replica.Update, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.domainChanges == nil {
				return replica.Update{}, ErrCompacted
			}
			return f.domainChanges(after)
		},
		Reconnect: func() {},
	}
}

func (f *fakeSource) counts() (reads, watches int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads, f.watches
}

// newTestReplicator returns a replicator of items whose value is the version of a
// configuration.
func newTestReplicator(f *fakeSource, published func(*catalog.Catalog)) *replicator {
	a := &Adapter{Source: f.source(), Decode: func(item replica.Item) (c catalog.Change, err error) {
		c.Config = &catalog.Config{}
		_, err = fmt.Sscan(string(item.Value), &c.Config.Version)
		return c, err
	}}
	clk := clock.System()
	return newReplicator(a, clk, newPauseDetector(clk, time.Now), slog.New(slog.DiscardHandler), 500, published)
}

func configItem(rev replica.Revision) replica.Item {
	return replica.Item{Key: "config", Value: fmt.Append(nil, rev), Revision: rev, Created: 1}
}

func fullUpdate(rev replica.Revision) (replica.Update, error) {
	return replica.Update{Full: true, Complete: rev, Items: []replica.Item{configItem(rev)}}, nil
}

// startReplicator runs the replicator until the test ends.
func startReplicator(t *testing.T, r *replicator) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
}

// TestFullReadAfterCompaction compacts the history at the source. The reader and a
// VM whose copy nobody confirms must read everything again and not repeat the
// watch.
func TestFullReadAfterCompaction(t *testing.T) {
	for rank := range 2 {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) {
			t.Parallel()
			f := &fakeSource{}
			rev := replica.Revision(3)
			f.read = func() (replica.Update, error) { return fullUpdate(rev) }
			f.watch = func(ctx context.Context, after replica.Revision) (replica.Update, error) {
				if after < 9 {
					f.mu.Lock()
					rev = 9
					f.mu.Unlock()
					return replica.Update{}, ErrCompacted
				}
				<-ctx.Done()
				return replica.Update{}, ctx.Err()
			}
			r := newTestReplicator(f, func(*catalog.Catalog) {})
			r.setRank(rank, false)
			startReplicator(t, r)
			waitFor(t, func() bool { return r.localCopy().Complete == 9 })
			_, watches := f.counts()
			assert.Assert(t, watches <= 3, "%d watches", watches)
		})
	}
}

// TestSourceGoesBackWithoutEra guards against full reads without a pause from a source that
// gives out revisions again and does not tell so.
func TestSourceGoesBackWithoutEra(t *testing.T) {
	f := &fakeSource{read: func() (replica.Update, error) { return fullUpdate(3) }}
	f.watch = func(context.Context, replica.Revision) (replica.Update, error) { return replica.Update{}, ErrCompacted }
	r := newTestReplicator(f, func(*catalog.Catalog) {})
	r.setRank(0, false)
	startReplicator(t, r)
	time.Sleep(800 * time.Millisecond)
	reads, _ := f.counts()
	assert.Assert(t, reads > 1 && reads <= 10, "%d reads", reads)
}

// TestReadAfterWatchTimeout has watches hang while reads succeed. The reader and a
// VM whose copy nobody confirms must find the change by a read.
func TestReadAfterWatchTimeout(t *testing.T) {
	for rank := range 2 {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) {
			t.Parallel()
			rev := replica.Revision(3)
			f := &fakeSource{}
			f.read = func() (replica.Update, error) { return fullUpdate(rev) }
			f.watch = func(ctx context.Context, _ replica.Revision) (replica.Update, error) {
				f.mu.Lock()
				rev = 8
				f.mu.Unlock()
				<-ctx.Done()
				return replica.Update{}, ctx.Err()
			}
			r := newTestReplicator(f, func(*catalog.Catalog) {})
			r.setRank(rank, false)
			startReplicator(t, r)
			waitFor(t, func() bool { return r.localCopy().Complete == 8 })
		})
	}
}

// TestFollowerDoesNotCallSource confirms the copy, as messages of the reader do.
// The VM must call the source only after these stop.
func TestFollowerDoesNotCallSource(t *testing.T) {
	f := &fakeSource{read: func() (replica.Update, error) { return fullUpdate(3) }}
	f.watch = func(context.Context, replica.Revision) (replica.Update, error) {
		return replica.Update{After: 3, Complete: 3}, nil
	}
	r := newTestReplicator(f, func(*catalog.Catalog) {})
	r.setRank(3, false)
	startReplicator(t, r)
	waitFor(t, func() bool { return r.localCopy().Complete == 3 })
	for range 20 {
		r.confirm(r.clk.Now())
		time.Sleep(100 * time.Millisecond)
	}
	reads, watches := f.counts()
	assert.Equal(t, reads, 1)
	assert.Equal(t, watches, 0)
	// The reader stops: the copy is checked within the bound.
	const checkedWithin clock.Millis = 1950
	time.Sleep((checkedWithin + 200).Duration())
	_, watches = f.counts()
	assert.Assert(t, watches >= 1)
	assert.Assert(t, r.clk.Now()-r.localCopy().ConfirmedAt < 1000)
}

// TestVMBehindCallsSource confirms the copy again and again, as slow VMs with the same
// old copy do, while another VM reports a newer one that it does not send. The VM must
// get it from the source in time.
func TestVMBehindCallsSource(t *testing.T) {
	const configBound = 3 * time.Second
	f := &fakeSource{read: func() (replica.Update, error) { return fullUpdate(9) }}
	r := newTestReplicator(f, func(*catalog.Catalog) {})
	r.apply(replica.Update{Full: true, Complete: 5, Items: []replica.Item{configItem(5)}}, "test")
	startReplicator(t, r)
	r.noteNewer(9)
	for begun := time.Now(); r.localCopy().Complete < 9 && time.Since(begun) < configBound; time.Sleep(20 * time.Millisecond) {
		r.confirm(r.clk.Now())
	}
	assert.Equal(t, r.localCopy().Complete, replica.Revision(9))
	assert.Equal(t, r.behind(), clock.Millis(0))
}

// TestRetryBackoff counts the calls to a source that rejects all of them.
func TestRetryBackoff(t *testing.T) {
	f := &fakeSource{read: func() (replica.Update, error) { return replica.Update{}, errors.New("busy") }}
	r := newTestReplicator(f, func(*catalog.Catalog) {})
	startReplicator(t, r)
	time.Sleep(2 * time.Second)
	reads, _ := f.counts()
	assert.Assert(t, reads >= 3 && reads <= 6, "%d calls in 2 s", reads)
}

// TestRequestedReadInterruptsWatch requests a read while a watch waits.
func TestRequestedReadInterruptsWatch(t *testing.T) {
	rev := replica.Revision(3)
	f := &fakeSource{}
	f.read = func() (replica.Update, error) { return fullUpdate(rev) }
	f.watch = func(ctx context.Context, _ replica.Revision) (replica.Update, error) {
		<-ctx.Done()
		return replica.Update{}, ctx.Err()
	}
	r := newTestReplicator(f, func(*catalog.Catalog) {})
	r.setRank(0, false)
	startReplicator(t, r)
	waitFor(t, func() bool { _, w := f.counts(); return w == 1 })
	f.mu.Lock()
	rev = 8
	f.mu.Unlock()
	start := time.Now()
	r.requestRead()
	waitFor(t, func() bool { return r.localCopy().Complete == 8 })
	assert.Assert(t, time.Since(start) < 300*time.Millisecond)
}

// TestRequestsDuringTheFirstRead guards against a second read of a VM that starts, since more
// packets arrive while the first one is under way.
func TestRequestsDuringTheFirstRead(t *testing.T) {
	var r *replicator
	f := &fakeSource{read: func() (replica.Update, error) {
		r.requestRead()
		return fullUpdate(3)
	}}
	r = newTestReplicator(f, func(*catalog.Catalog) {})
	r.requestRead()
	assert.NilError(t, r.step(t.Context()))
	assert.Assert(t, !r.hasReadRequest())
	reads, _ := f.counts()
	assert.Equal(t, reads, 1)

	r.requestRead() // as after a pause
	assert.NilError(t, r.step(t.Context()))
	assert.Assert(t, r.hasReadRequest(), "a request during a later read is kept")
}

// TestBuildRateIsLimited applies changes faster than catalogs may be built. The
// last change must come into force, with few builds in between.
func TestBuildRateIsLimited(t *testing.T) {
	var mu sync.Mutex
	built, last := 0, catalog.Catalog{}
	r := newTestReplicator(&fakeSource{}, func(c *catalog.Catalog) {
		mu.Lock()
		defer mu.Unlock()
		built++
		last = *c
		time.Sleep(time.Millisecond) // duration of a build with thousands of upstreams
	})
	const changes = 200
	for i := range replica.Revision(changes) {
		r.apply(replica.Update{After: i, Complete: i + 1, Items: []replica.Item{configItem(i + 1)}}, "test")
		time.Sleep(time.Millisecond)
	}
	waitFor(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return last.Config.Version == changes
	})
	assert.Assert(t, built <= 20, "%d built", built)
}

// TestSlowBuildDoesNotDelayChanges has one build take long, as it does on a VM that
// is slow for a while. The changes that follow must be active within the bound for
// configurations, since upstreams that leave would get new flows until then.
func TestSlowBuildDoesNotDelayChanges(t *testing.T) {
	const (
		slowBuild   = 200 * time.Millisecond
		configBound = 3 * time.Second
	)
	var active atomic.Uint64
	r := newTestReplicator(&fakeSource{}, func(c *catalog.Catalog) {
		if c.Config.Version == 1 {
			time.Sleep(slowBuild)
		}
		active.Store(uint64(c.Config.Version))
	})
	r.apply(replica.Update{Complete: 1, Items: []replica.Item{configItem(1)}}, "test")
	changedAt := time.Now()
	r.apply(replica.Update{After: 1, Complete: 2, Items: []replica.Item{configItem(2)}}, "test")
	for active.Load() != 2 && time.Since(changedAt) < configBound {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, active.Load(), uint64(2), "not active after %v", time.Since(changedAt))
}

// TestReadKeepsUpdatesIncremental has a periodic read find a change before the watch
// does. The update for the other VMs must hold only the change: a full one is too
// large for a message, and each VM would fetch it.
func TestReadKeepsUpdatesIncremental(t *testing.T) {
	f := &fakeSource{
		read: func() (replica.Update, error) { return fullUpdate(9) },
		watch: func(_ context.Context, after replica.Revision) (replica.Update, error) {
			return replica.Update{After: after, Complete: 9, Items: []replica.Item{configItem(9)}}, nil
		},
	}
	r := newTestReplicator(f, func(*catalog.Catalog) {})
	r.apply(replica.Update{Full: true, Complete: 5, Items: []replica.Item{configItem(5)}}, fromRead)
	var updates []replica.Update
	r.onUpdate = func(u *replica.Update) { updates = append(updates, *u) }
	assert.NilError(t, r.read(context.Background(), false))
	assert.DeepEqual(t, updates, []replica.Update{{After: 5, Complete: 9, Items: []replica.Item{configItem(9)}}})
}

// TestEraDuringRead has another VM pass on a new era while a read catches up. It guards
// against late answers that are applied and confirm the copy of the new era.
func TestEraDuringRead(t *testing.T) {
	f := &fakeSource{read: func() (replica.Update, error) { return fullUpdate(9) }}
	r := newTestReplicator(f, func(*catalog.Catalog) {})
	f.watch = func(context.Context, replica.Revision) (replica.Update, error) {
		u, _ := fullUpdate(replica.RevisionOf(1, 3))
		r.apply(u, "other")
		return fullUpdate(9)
	}
	r.apply(replica.Update{Full: true, Complete: 5, Items: []replica.Item{configItem(5)}}, fromRead)
	assert.ErrorIs(t, r.read(context.Background(), false), errLate)
	assert.Equal(t, r.localCopy().ConfirmedAt, clock.Millis(0))
}

func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 3 s")
		}
	}
}

// TestFirstCopyFromPeer starts a VM that receives everything from another VM at
// once. It must not call the source, unless packets wait.
func TestFirstCopyFromPeer(t *testing.T) {
	for _, packetsWait := range []bool{false, true} {
		f := &fakeSource{read: func() (replica.Update, error) { return fullUpdate(3) }}
		r := newTestReplicator(f, func(*catalog.Catalog) {})
		if packetsWait {
			r.requestRead()
		}
		startReplicator(t, r)
		time.Sleep(100 * time.Millisecond)
		u, _ := fullUpdate(3)
		r.confirm(r.clk.Now()) // before apply, since an unconfirmed copy is read again
		r.apply(u, "other")
		for range 8 {
			r.confirm(r.clk.Now())
			time.Sleep(50 * time.Millisecond)
		}
		reads, _ := f.counts()
		assert.Equal(t, reads == 1, packetsWait)
	}
}

// TestOldFirstCopyIsChecked starts a VM whose first copy comes from a partitioned
// VM. The copy may still contain an upstream that left or a route that was
// withdrawn, so it must be checked.
func TestOldFirstCopyIsChecked(t *testing.T) {
	f := &fakeSource{read: func() (replica.Update, error) { return fullUpdate(8) }}
	f.watch = func(context.Context, replica.Revision) (replica.Update, error) {
		return replica.Update{After: 3, Complete: 8, Items: []replica.Item{configItem(8)}}, nil
	}
	r := newTestReplicator(f, func(*catalog.Catalog) {})
	r.setRank(9, true)
	u, _ := fullUpdate(3)
	r.apply(u, "other")
	r.confirm(r.clk.Now() - 3000)
	startReplicator(t, r)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, r.localCopy().Complete, replica.Revision(8))
}

// TestUpdateIncludesItemsNewerThanRead reads pages that are no snapshot, so that
// one item is newer than the revision of the read. The update sent after the next
// change must include that item, for VMs that receive only that update.
func TestUpdateIncludesItemsNewerThanRead(t *testing.T) {
	r := newTestReplicator(&fakeSource{}, func(*catalog.Catalog) {})
	var updates []replica.Update
	r.onUpdate = func(u *replica.Update) { updates = append(updates, *u) }
	early := replica.Item{Key: "upstream", Value: []byte("1"), Revision: 30, Created: 9}
	r.apply(replica.Update{Full: true, Complete: 28, Items: []replica.Item{configItem(28), early}}, fromRead)
	r.apply(replica.Update{After: 28, Complete: 30, Items: []replica.Item{early}}, fromWatch)
	assert.Equal(t, len(updates), 2)
	assert.Equal(t, updates[1].After, replica.Revision(28))
	assert.Equal(t, len(updates[1].Items), 1)
	assert.Equal(t, updates[1].Items[0].Key, early.Key)
}
