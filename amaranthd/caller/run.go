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

// maxAttempts bounds the tries of one request.
const maxAttempts = 4

// attempt is one try of a request at an upstream.
type attempt struct {
	res    upstream.Result
	slot   *holder.Slot
	cancel context.CancelFunc
	began  clock.Millis
	noSlot bool
}

// end gives back what an attempt holds.
func (a *attempt) end() {
	if a.res.Response != nil {
		_ = a.res.Response.Body.Close()
	}
	a.cancel()
	if a.slot != nil {
		a.slot.Release()
	}
}

// flight holds the attempts of one request that run at the same time.
type flight struct {
	results chan *attempt
	running int
	cancels []context.CancelFunc
}

// run sends the request until an attempt gives an answer, and refuses it if
// none may or none does.
func (x *exchange) run() {
	f := &flight{results: make(chan *attempt, maxAttempts)}
	defer x.abandon(f)
	x.s.budget.Deposit()
	x.launch(f, 0)
	var hedge <-chan time.Time
	if h := x.hedging(); h.on {
		t := time.NewTimer(h.after)
		defer t.Stop()
		hedge = t.C
	}
	for tries := 1; ; {
		select {
		case <-hedge:
			hedge = nil
			if tries < maxAttempts && x.s.budget.TryWithdraw() {
				tries++
				x.launch(f, 0)
			}
		case a := <-f.results:
			f.running--
			if x.settle(f, a, &tries) {
				return
			}
		}
	}
}

// abandon cancels the attempts that are no longer needed and gives back what
// they hold when they end.
func (x *exchange) abandon(f *flight) {
	for _, cancel := range f.cancels {
		cancel()
	}
	if f.running == 0 {
		return
	}
	running := f.running
	go func() {
		for range running {
			(<-f.results).end()
		}
	}()
}

// launch starts an attempt that keeps away from the upstream avoid.
func (x *exchange) launch(f *flight, avoid config.UpstreamID) {
	ctx, cancel := context.WithCancel(x.r.Context())
	f.running++
	f.cancels = append(f.cancels, cancel)
	go func() {
		a := &attempt{cancel: cancel}
		x.try(ctx, a, avoid)
		f.results <- a
	}()
}

// try leases a slot and sends the request.
func (x *exchange) try(ctx context.Context, a *attempt, avoid config.UpstreamID) {
	queueCtx, endQueue := x.g.seams.StartSpan(ctx, "queue")
	within := min(x.left(), x.s.conf.Request.QueueMillis)
	s, err := x.g.holder.Acquire(queueCtx, x.s.conf.VNI, x.owner, within, avoid)
	endQueue()
	if err != nil {
		a.res.Err, a.noSlot = err, true
		return
	}
	a.slot = s
	address := x.s.addresses[s.Upstream]
	left := x.left()
	if left <= 0 || ctx.Err() != nil || address == "" {
		a.res.Err = context.DeadlineExceeded
		return
	}
	ctx, endSpan := x.g.seams.StartSpan(ctx, "attempt")
	defer endSpan()
	h := x.r.Header.Clone()
	for name := range hopByHop {
		h.Del(name)
	}
	h.Set(DeadlineHeader, strconv.FormatInt(int64(left), 10))
	x.g.seams.Inject(ctx, h)
	a.began = x.g.clk.Now()
	a.res = x.g.client.Do(ctx, upstream.Attempt{
		Method: x.r.Method, Address: address, Target: x.r.URL.RequestURI(), Host: x.r.Host,
		Header: h, Body: x.body.reader(), Length: x.body.length,
	})
	if a.res.Cold {
		x.g.seams.ReportCold(s.Upstream)
	}
}

// settle acts on the end of an attempt and reports whether the request is done.
func (x *exchange) settle(f *flight, a *attempt, tries *int) (done bool) {
	if a.res.Err == nil && !a.res.Shed {
		x.s.latency.Record(x.g.clk.Now(), x.g.clk.Now()-a.began)
		defer a.end()
		x.pass(a.res.Response)
		return true
	}
	var avoid config.UpstreamID
	if a.slot != nil {
		avoid = a.slot.Upstream
	}
	a.end()
	if f.running > 0 {
		return false
	}
	again := (a.res.NotRun() || !x.unsafe()) && !a.noSlot && x.body.repeatable()
	if again && *tries < maxAttempts && x.left() > 0 && x.r.Context().Err() == nil && x.s.budget.TryWithdraw() {
		*tries++
		x.launch(f, avoid)
		return false
	}
	x.refuseAttempt(a)
	return true
}

// refuseAttempt refuses the request after its last attempt failed.
func (x *exchange) refuseAttempt(a *attempt) {
	if !a.res.NotRun() {
		x.outcomeUnknown(a.res.Err)
		return
	}
	reason, detail := ReasonUpstream, "no upstream took the request"
	switch {
	case x.left() <= 0 || errors.Is(a.res.Err, context.DeadlineExceeded):
		reason, detail = ReasonDeadline, "no slot came free before the deadline"
	case a.noSlot || a.res.Shed:
		reason, detail = ReasonBusy, "all upstreams are busy"
	}
	x.refuseNotRun(reason, detail)
}

// outcomeUnknown refuses a request that may have run.
func (x *exchange) outcomeUnknown(err error) {
	detail := "an upstream failed after the request was sent"
	reason := ReasonUpstream
	if x.left() <= 0 {
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
