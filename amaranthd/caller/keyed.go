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

// takeClaim claims the request's key. If the request must not run it answers
// and returns false.
func (x *exchange) takeClaim() bool {
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
	ctx, end := x.g.seams.StartSpan(x.r.Context(), "claim")
	defer end()
	for n := range claimTries - 1 {
		if done, won := x.tryClaim(ctx, k, false); done {
			return won
		}
		backOff(ctx, n)
	}
	_, won := x.tryClaim(ctx, k, true)
	return won
}

// claimTries is the number of times that the witnesses are asked. The attempt
// that has a key may end, or give it up, while its gateway is being asked.
const claimTries = 8

// claimPause is the longest wait after the first try; each later one may be
// longer by as much.
const claimPause = 20 * time.Millisecond

// backOff waits for a random time, so that attempts at one key that keep each
// other from a majority come one after the other.
func backOff(ctx context.Context, n int) {
	t := time.NewTimer(rand.N(time.Duration(n+1) * claimPause))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// tryClaim claims the key once. It reports whether the request was answered or
// the claim won; if not, and unless it is the last try, another may help.
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
	a := x.g.holder.FetchResponse(ctx, *res.Existing, x.left())
	if a.Outcome == holder.Unknown || a.Outcome == holder.Withdrawn {
		if !last {
			return false, false
		}
		event.Log(ctx, x.g.log, event.RequestUnknown, slog.String("key", k.String()), slog.String("outcome", string(a.Outcome)),
			slog.String("gateway", string(res.Existing.Gateway)), slog.Int("state", int(res.Existing.State)))
		a.Outcome = holder.Unknown
	}
	x.answerRepeat(a)
	return true, false
}

// answerRepeat answers a repeat of a request with what is known of the first.
func (x *exchange) answerRepeat(a holder.StoredResponse) {
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

// keep keeps the answer of a request with a key for its repeats.
func (x *exchange) keep(a holder.StoredResponse) {
	if x.claim != nil {
		a.Outcome = holder.HasRun
		x.claim.StoreResponse(a)
	}
}

// recorder keeps the first bytes of an answer's body.
type recorder struct {
	buf bytes.Buffer
	cut bool
}

// Write implements io.Writer.
func (r *recorder) Write(p []byte) (int, error) {
	if r.buf.Len()+len(p) > holder.MaxStoredBodyBytes {
		r.cut = true
	}
	if !r.cut {
		r.buf.Write(p)
	}
	return len(p), nil
}

// pass sends an upstream's answer to the caller as it comes. An answer that
// breaks off breaks the caller's connection too, so that it is not taken for
// whole.
func (x *exchange) pass(resp *http.Response) {
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
	var rec recorder
	if _, err := io.Copy(flushing(x.w), io.TeeReader(resp.Body, &rec)); err != nil {
		x.outcome = "cut"
		x.keep(holder.StoredResponse{Status: resp.StatusCode})
		event.Log(context.WithoutCancel(x.r.Context()), x.g.log, event.AnswerCut,
			slog.String("service", string(x.s.conf.Name)), slog.String("error", err.Error()))
		panic(http.ErrAbortHandler)
	}
	x.outcome = "answered"
	if rec.cut {
		x.keep(holder.StoredResponse{Status: resp.StatusCode})
		return
	}
	x.keep(holder.StoredResponse{Status: resp.StatusCode, Header: kept(resp.Header), Body: rec.buf.Bytes(), Complete: true})
}

// hopByHop are the headers that concern one connection only (RFC 9110).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// kept returns the headers of an answer that a repeat gets too.
func kept(from http.Header) http.Header {
	h := make(http.Header)
	for _, name := range []string{"Content-Type", "Content-Length", "Location", "Etag"} {
		if v := from.Values(name); len(v) > 0 {
			h[name] = v
		}
	}
	return h
}

// flusher passes bytes on at once, for answers that come slowly.
type flusher struct {
	w http.ResponseWriter
	c *http.ResponseController
}

func flushing(w http.ResponseWriter) io.Writer {
	return flusher{w: w, c: http.NewResponseController(w)}
}

// Write implements io.Writer.
func (f flusher) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		_ = f.c.Flush()
	}
	return n, err
}
