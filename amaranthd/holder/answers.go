package holder

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/claim"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

const (
	// MaxStoredBodyBytes is the largest body that is kept for repeats.
	MaxStoredBodyBytes = 64 << 10
	// maxAnswersBytes bounds all bodies that are kept.
	maxAnswersBytes = 32 << 20
	answerPoll      = 10 * time.Millisecond
)

// Outcome tells what became of a request.
type Outcome string

// Outcomes of a request.
const (
	// NotRun means that it did not run and never will under this key.
	NotRun Outcome = "notRun"
	// Unknown means that it may have run.
	Unknown Outcome = "unknown"
	// HasRun means that it ran.
	HasRun Outcome = "ran"
	// Pending means that it is running.
	Pending Outcome = "pending"
	// Withdrawn means that the attempt gave the key up and did not run.
	Withdrawn Outcome = "withdrawn"
)

// StoredResponse is what a gateway keeps of an attempt at a request with a key. Body
// is complete if Whole is set.
type StoredResponse struct {
	Outcome  Outcome     `json:"outcome"`
	Status   int         `json:"status,omitempty"`
	Header   http.Header `json:"header,omitempty"`
	Body     []byte      `json:"body,omitempty"`
	Complete bool        `json:"whole,omitempty"`
	at       clock.Millis
}

// answerRequest asks the gateway of an attempt for its answer and waits for it
// if it is still running.
type answerRequest struct {
	Attempt    claim.AttemptID `json:"attempt"`
	WaitMillis clock.Millis    `json:"waitMillis"`
}

// StoreResponse remembers the answer of the claim's attempt for repeats.
func (c *Claim) StoreResponse(a StoredResponse) {
	a.at = c.h.clk.Now()
	c.h.keep(c.record.Attempt, &a)
}

func (h *Holder) keep(k claim.AttemptID, a *StoredResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.answers[k]; old != nil {
		h.bytes -= len(old.Body)
	}
	if h.bytes+len(a.Body) > maxAnswersBytes {
		a.Body, a.Complete = nil, false
	}
	h.bytes += len(a.Body)
	h.answers[k] = a
}

// expire forgets answers, claims and deposits that no repeat may ask for.
func (h *Holder) expire(now clock.Millis) {
	h.mu.Lock()
	lifetime := h.lifetime()
	for k, a := range h.answers {
		if now-a.at > lifetime {
			h.bytes -= len(a.Body)
			delete(h.answers, k)
		}
	}
	for id, d := range h.deposits {
		if now-d.At > lifetime {
			delete(h.deposits, id)
		}
	}
	h.mu.Unlock()
	h.table.Expire(now, lifetime)
}

// lifetime returns the longest key lifetime of all services.
func (h *Holder) lifetime() (longest clock.Millis) {
	if h.file == nil {
		return 0
	}
	for i := range h.file.Services {
		if r := h.file.Services[i].Request; r != nil {
			longest = max(longest, r.KeyLifetimeMillis)
		}
	}
	return longest
}

func (h *Holder) serveAnswer(ctx context.Context, params json.RawMessage) (any, error) {
	r, err := decode[answerRequest](params)
	if err != nil {
		return nil, err
	}
	t := time.NewTicker(answerPoll)
	defer t.Stop()
	for end := h.clk.Now() + r.WaitMillis; ; {
		a := h.answer(r)
		if a.Outcome != Pending || h.clk.Now() >= end {
			return a, nil
		}
		select {
		case <-ctx.Done():
			return a, nil
		case <-t.C:
		}
	}
}

func (h *Holder) answer(r answerRequest) StoredResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.answers[r.Attempt]
	if a == nil {
		return StoredResponse{Outcome: Unknown}
	}
	return *a
}

// FetchResponse returns the answer of the attempt that has a key, or an answer that
// tells what is known of it, within the given time.
func (h *Holder) FetchResponse(ctx context.Context, other claim.Record, wait clock.Millis) (a StoredResponse) {
	if other.State == claim.Closed {
		return StoredResponse{Outcome: NotRun}
	}
	req := answerRequest{Attempt: other.Attempt, WaitMillis: wait}
	err := h.call(ctx, wait+h.timers.CallMillis, other.Gateway, methodAnswer, req, &a)
	switch {
	case err == nil && (a.Outcome == HasRun || a.Outcome == NotRun || a.Outcome == Withdrawn):
		return a
	case other.State == claim.Ran:
		return StoredResponse{Outcome: HasRun}
	}
	return StoredResponse{Outcome: Unknown}
}

// ManagerOf returns the VM that manages the slots of a service in a failure
// domain, or the empty identifier.
func (h *Holder) ManagerOf(vni config.VNI, d config.DomainName) config.VMID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.managerOf(managerKey{vni: vni, domain: d})
}
