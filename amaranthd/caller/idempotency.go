package caller

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/holder"
	"github.com/amaranthswitch/amaranthswitch/fleet/claim"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
)

// claimKey claims the request's idempotency key. If the request must not run, it
// responds to the caller and returns false.
func (x *exchange) claimKey() bool {
	k, err := claim.ParseKey(x.r.Header.Get(KeyHeader))
	now := x.g.clk.Now()
	switch {
	case err != nil:
		x.refuse(holder.NotRun, ReasonBadKey, err.Error())
		return false
	case claim.TooNew(now, k):
		x.refuse(holder.Unknown, ReasonBadKey, "the time in the key lies ahead")
		return false
	case now-k.Time() > x.s.conf.Request.KeyLifetimeMillis:
		x.refuse(holder.Unknown, ReasonKeyExpired, "the key is older than keys are remembered")
		return false
	}
	ctx, end := x.g.hooks.StartSpan(x.r.Context(), "claim")
	defer end()
	for n := range maxClaimAttempts - 1 {
		if done, won := x.tryClaim(ctx, k, false); done {
			return won
		}
		sleepBackoff(ctx, n)
	}
	_, won := x.tryClaim(ctx, k, true)
	return won
}

// maxClaimAttempts is the number of times that the key is claimed. The attempt that
// holds the key may end, or withdraw, while its gateway is being queried.
const maxClaimAttempts = 8

// claimBackoff is the upper bound of the first random delay. The bound grows
// linearly with each attempt.
const claimBackoff = 20 * time.Millisecond

// sleepBackoff sleeps for a random time after claim attempt n, from 0. The jitter
// separates concurrent attempts that keep each other from a majority.
func sleepBackoff(ctx context.Context, n int) {
	t := time.NewTimer(rand.N(time.Duration(n+1) * claimBackoff))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// tryClaim claims the key once. The result done reports that the claim was granted
// (won) or that the request was answered. Otherwise the claim may be retried; on
// the last attempt the request is always answered.
func (x *exchange) tryClaim(ctx context.Context, k claim.Key, last bool) (done, won bool) {
	c, res := x.g.holder.ClaimKey(ctx, k, x.s.conf.VNI, x.body.digest)
	switch {
	case res.Granted:
		x.claim = c
		return true, true
	case res.Mismatch:
		x.refuse(holder.Unknown, ReasonKeyReused, "the key was used with another body")
		return true, false
	case res.Existing == nil:
		x.refuse(holder.Unknown, ReasonNoMajority, "too few VMs could tell whether the key was used")
		return true, false
	}
	a := x.g.holder.FetchResponse(ctx, *res.Existing, x.remaining())
	if a.Outcome == holder.Unknown || a.Outcome == holder.Withdrawn {
		if !last {
			return false, false
		}
		event.Log(ctx, x.g.log, event.RequestUnknown, slog.String("key", k.String()), slog.String("outcome", string(a.Outcome)),
			slog.String("gateway", string(res.Existing.Gateway)), slog.Int("state", int(res.Existing.State)))
		a.Outcome = holder.Unknown
	}
	x.answerDuplicate(a)
	return true, false
}

// answerDuplicate responds to a duplicate of a request with the stored response,
// or else with the known outcome.
func (x *exchange) answerDuplicate(a holder.StoredResponse) {
	if a.Outcome == holder.HasRun && a.Complete {
		x.outcome = "replayed"
		h := x.w.Header()
		for name, values := range a.Header {
			h[name] = values
		}
		h.Set(OutcomeHeader, string(holder.HasRun))
		x.w.WriteHeader(a.Status)
		_, _ = x.w.Write(a.Body)
		return
	}
	detail := map[holder.Outcome]string{
		holder.NotRun:  "the key is closed, its request did not run",
		holder.HasRun:  "the request ran, its answer is no longer kept",
		holder.Unknown: "it is not known whether the request ran",
	}[a.Outcome]
	x.refuse(a.Outcome, ReasonRepeat, detail)
}

// storeResponse stores the response to a request with a key for its duplicates.
func (x *exchange) storeResponse(a holder.StoredResponse) {
	if x.claim != nil {
		a.Outcome = holder.HasRun
		x.claim.StoreResponse(a)
	}
}

// bodyRecorder buffers a response body of up to holder.MaxStoredBodyBytes.
type bodyRecorder struct {
	buf       bytes.Buffer
	truncated bool
}

// Write implements io.Writer.
func (r *bodyRecorder) Write(p []byte) (int, error) {
	if r.buf.Len()+len(p) > holder.MaxStoredBodyBytes {
		r.truncated = true
	}
	if !r.truncated {
		r.buf.Write(p)
	}
	return len(p), nil
}

// forwardResponse streams an upstream's response to the caller. If the response is
// truncated, it aborts the caller's connection, so that the caller doesn't take it
// for complete.
func (x *exchange) forwardResponse(resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	if x.claim != nil {
		x.claim.Finish()
	}
	h := x.w.Header()
	for name, values := range resp.Header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	x.w.WriteHeader(resp.StatusCode)
	var rec bodyRecorder
	if _, err := io.Copy(newFlushWriter(x.w), io.TeeReader(resp.Body, &rec)); err != nil {
		x.outcome = "cut"
		x.storeResponse(holder.StoredResponse{Status: resp.StatusCode})
		event.Log(context.WithoutCancel(x.r.Context()), x.g.log, event.AnswerCut,
			slog.String("service", string(x.s.conf.Name)), event.Error(err))
		panic(http.ErrAbortHandler)
	}
	x.outcome = "answered"
	if rec.truncated {
		x.storeResponse(holder.StoredResponse{Status: resp.StatusCode})
		return
	}
	x.storeResponse(holder.StoredResponse{Status: resp.StatusCode, Header: storedHeaders(resp.Header), Body: rec.buf.Bytes(), Complete: true})
}

// hopByHop holds the headers that apply to a single connection only (RFC 9110).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// storedHeaders returns the response headers that are replayed to duplicates.
func storedHeaders(from http.Header) http.Header {
	h := make(http.Header)
	for _, name := range []string{"Content-Type", "Content-Length", "Location", "Etag"} {
		if v := from.Values(name); len(v) > 0 {
			h[name] = v
		}
	}
	return h
}

// flushWriter flushes after each write, so that streamed responses are not
// delayed.
type flushWriter struct {
	w http.ResponseWriter
	c *http.ResponseController
}

func newFlushWriter(w http.ResponseWriter) io.Writer {
	return flushWriter{w: w, c: http.NewResponseController(w)}
}

// Write implements io.Writer.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		_ = f.c.Flush()
	}
	return n, err
}
