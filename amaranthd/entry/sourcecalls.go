package entry

import (
	"context"
	"errors"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// ErrCompacted means that the source no longer has the changes after the requested
// revision, so that everything must be read again.
var ErrCompacted = errors.New("entry: source has compacted the requested changes")

var errInterrupted = errors.New("entry: watch interrupted by a requested read")

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
	// ageCheckInterval is the period at which a VM that follows another one checks
	// the age of its copy.
	ageCheckInterval clock.Millis = 50
)

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

// read reads all items and applies them, with the tombstones that the copy lacks. requested
// is set if packets wait for it.
func (r *replicator) read(ctx context.Context, requested bool) error {
	bounded, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	r.calls.Add(1)
	requestedAt, count := r.clk.Now(), r.pauses.poll()
	first := r.localCopy().Complete == 0
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
	if first && r.pauses.poll() == count {
		r.takeReadRequest() // for packets that waited for this copy
	}
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

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d clock.Millis) {
	bounded, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	<-bounded.Done()
}
