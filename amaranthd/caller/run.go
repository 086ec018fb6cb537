package caller

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/holder"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/upstream"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// maxAttempts is the maximum number of attempts for a request, hedges included.
const maxAttempts = 4

// attempt is one attempt to run a request at an upstream.
type attempt struct {
	res       upstream.Result
	slot      *holder.Slot
	cancel    context.CancelFunc
	startedAt clock.Millis
	noSlot    bool
}

// release closes the response, cancels the attempt's context and releases its
// slot.
func (a *attempt) release() {
	if a.res.Response != nil {
		_ = a.res.Response.Body.Close()
	}
	a.cancel()
	if a.slot != nil {
		a.slot.Release()
	}
}

// attemptGroup holds the concurrent attempts of a request.
type attemptGroup struct {
	results chan *attempt
	running int
	cancels []context.CancelFunc
}

// run sends the request, with retries and a hedge, until an attempt gives a
// response. It refuses the request if none does.
func (x *exchange) run() {
	f := &attemptGroup{results: make(chan *attempt, maxAttempts)}
	defer x.cancelAttempts(f)
	x.s.budget.Deposit()
	x.startAttempt(f, 0)
	var hedge <-chan time.Time
	if h := x.hedging(); h.enabled {
		t := time.NewTimer(h.delay)
		defer t.Stop()
		hedge = t.C
	}
	for tries := 1; ; {
		select {
		case <-hedge:
			hedge = nil
			if tries < maxAttempts && x.s.budget.TryWithdraw() {
				tries++
				x.startAttempt(f, 0)
			}
		case a := <-f.results:
			f.running--
			if x.handleResult(f, a, &tries) {
				return
			}
		}
	}
}

// cancelAttempts cancels the remaining attempts and releases their resources in
// the background.
func (x *exchange) cancelAttempts(f *attemptGroup) {
	for _, cancel := range f.cancels {
		cancel()
	}
	if f.running == 0 {
		return
	}
	running := f.running
	go func() {
		for range running {
			(<-f.results).release()
		}
	}()
}

// startAttempt starts an attempt, if possible at another upstream than avoid.
func (x *exchange) startAttempt(f *attemptGroup, avoid config.UpstreamID) {
	ctx, cancel := context.WithCancel(x.r.Context())
	f.running++
	f.cancels = append(f.cancels, cancel)
	go func() {
		a := &attempt{cancel: cancel}
		x.runAttempt(ctx, a, avoid)
		f.results <- a
	}()
}

// runAttempt leases a slot and sends the request.
func (x *exchange) runAttempt(ctx context.Context, a *attempt, avoid config.UpstreamID) {
	queueCtx, endQueue := x.g.hooks.StartSpan(ctx, "queue")
	within := min(x.remaining(), x.s.conf.Request.QueueMillis)
	s, err := x.g.holder.Acquire(queueCtx, x.s.conf.VNI, x.owner, within, avoid)
	endQueue()
	if err != nil {
		a.res.Err, a.noSlot = err, true
		return
	}
	a.slot = s
	address := x.s.addresses[s.Upstream]
	left := x.remaining()
	if left <= 0 || ctx.Err() != nil || address == "" {
		a.res.Err = context.DeadlineExceeded
		return
	}
	ctx, endSpan := x.g.hooks.StartSpan(ctx, "attempt")
	defer endSpan()
	h := x.r.Header.Clone()
	for name := range hopByHop {
		h.Del(name)
	}
	h.Set(DeadlineHeader, strconv.FormatInt(int64(left), 10))
	x.g.hooks.Inject(ctx, h)
	a.startedAt = x.g.clk.Now()
	a.res = x.g.client.Do(ctx, upstream.Attempt{
		Method: x.r.Method, Address: address, Target: x.r.URL.RequestURI(), Host: x.r.Host,
		Header: h, Body: x.body.reader(), Length: x.body.length,
	})
	if a.res.Cold {
		x.g.hooks.ReportCold(s.Upstream)
	}
}

// handleResult forwards the response of an attempt, retries the request or refuses
// it. It reports whether the request is done; it is not done while other attempts run.
func (x *exchange) handleResult(f *attemptGroup, a *attempt, tries *int) (done bool) {
	if a.res.Err == nil && !a.res.Shed {
		x.s.latency.Record(x.g.clk.Now(), x.g.clk.Now()-a.startedAt)
		defer a.release()
		x.forwardResponse(a.res.Response)
		return true
	}
	var avoid config.UpstreamID
	if a.slot != nil {
		avoid = a.slot.Upstream
	}
	a.release()
	if f.running > 0 {
		return false
	}
	retryable := (a.res.NotRun() || !x.nonIdempotent()) && !a.noSlot && x.body.replayable()
	if retryable && *tries < maxAttempts && x.remaining() > 0 && x.r.Context().Err() == nil && x.s.budget.TryWithdraw() {
		*tries++
		x.startAttempt(f, avoid)
		return false
	}
	x.refuseAttempt(a)
	return true
}

// refuseAttempt refuses the request after its last attempt failed.
func (x *exchange) refuseAttempt(a *attempt) {
	if !a.res.NotRun() {
		x.refuseUnknown(a.res.Err)
		return
	}
	reason, detail := ReasonUpstream, "no upstream took the request"
	switch {
	case x.remaining() <= 0 || errors.Is(a.res.Err, context.DeadlineExceeded):
		reason, detail = ReasonDeadline, "no slot came free before the deadline"
	case a.noSlot || a.res.Shed:
		reason, detail = ReasonBusy, "all upstreams are busy"
	}
	x.refuseNotRun(reason, detail)
}

// refuseUnknown refuses a request that may have run.
func (x *exchange) refuseUnknown(err error) {
	detail := "an upstream failed after the request was sent"
	reason := ReasonUpstream
	if x.remaining() <= 0 {
		reason = ReasonDeadline
	}
	if err != nil && errors.Is(err, io.ErrUnexpectedEOF) {
		detail = "an upstream's answer broke off"
	}
	if x.claim != nil {
		x.claim.StoreResponse(holder.StoredResponse{Outcome: holder.Unknown})
	}
	x.refuse(holder.Unknown, reason, detail)
}
