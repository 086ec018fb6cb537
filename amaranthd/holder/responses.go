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
	// MaxStoredBodyBytes is the largest response body that is stored for
	// duplicates of a request.
	MaxStoredBodyBytes = 64 << 10
	// maxStoredBytes bounds the total size of the stored response bodies.
	maxStoredBytes       = 32 << 20
	responsePollInterval = 10 * time.Millisecond
)

// Outcome is the outcome of a request, as far as it is known.
type Outcome string

// Outcomes of a request.
const (
	// NotRun means that the request did not run and never will under this key.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// HasRun means that the request ran.
	HasRun Outcome = "ran"
	// Pending means that the request is running.
	Pending Outcome = "pending"
	// Withdrawn means that the attempt released the key and did not run.
	Withdrawn Outcome = "withdrawn"
)

// StoredResponse is what a gateway stores of an attempt to run a request with a
// key. Status, Header and Body are the response to replay if Complete is set.
type StoredResponse struct {
	Outcome  Outcome     `json:"outcome"`
	Status   int         `json:"status,omitempty"`
	Header   http.Header `json:"header,omitempty"`
	Body     []byte      `json:"body,omitempty"`
	Complete bool        `json:"whole,omitempty"`
	storedAt clock.Millis
}

// responseRequest asks the gateway of an attempt for its stored response. The
// gateway waits up to WaitMillis while the attempt is pending.
type responseRequest struct {
	Attempt    claim.AttemptID `json:"attempt"`
	WaitMillis clock.Millis    `json:"waitMillis"`
}

// StoreResponse stores the response of the claim's attempt for duplicates of the
// request.
func (c *Claim) StoreResponse(a StoredResponse) {
	a.storedAt = c.h.clk.Now()
	c.h.storeResponse(c.record.Attempt, &a)
}

// storeResponse stores a response without its body if the total size would exceed
// maxStoredBytes.
func (h *Holder) storeResponse(k claim.AttemptID, a *StoredResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.responses[k]; old != nil {
		h.storedBytes -= len(old.Body)
	}
	if h.storedBytes+len(a.Body) > maxStoredBytes {
		a.Body, a.Complete = nil, false
	}
	h.storedBytes += len(a.Body)
	h.responses[k] = a
}

// expire deletes responses, claims and backups that are older than the longest key
// lifetime.
func (h *Holder) expire(now clock.Millis) {
	h.mu.Lock()
	lifetime := h.lifetime()
	for k, a := range h.responses {
		if now-a.storedAt > lifetime {
			h.storedBytes -= len(a.Body)
			delete(h.responses, k)
		}
	}
	for id, d := range h.backups {
		if now-d.At > lifetime {
			delete(h.backups, id)
		}
	}
	h.mu.Unlock()
	h.table.Expire(now, lifetime)
}

// lifetime returns the longest key lifetime of all services, in milliseconds. The
// caller holds mu.
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

func (h *Holder) serveResponse(ctx context.Context, params json.RawMessage) (any, error) {
	r, err := decode[responseRequest](params)
	if err != nil {
		return nil, err
	}
	t := time.NewTicker(responsePollInterval)
	defer t.Stop()
	for end := h.clk.Now() + r.WaitMillis; ; {
		a := h.response(r)
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

func (h *Holder) response(r responseRequest) StoredResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.responses[r.Attempt]
	if a == nil {
		return StoredResponse{Outcome: Unknown}
	}
	return *a
}

// FetchResponse returns the stored response of the attempt that holds a key, or a
// response without a body that gives the known outcome. It waits up to wait for an
// attempt that is pending.
func (h *Holder) FetchResponse(ctx context.Context, other claim.Record, wait clock.Millis) (a StoredResponse) {
	if other.State == claim.Closed {
		return StoredResponse{Outcome: NotRun}
	}
	req := responseRequest{Attempt: other.Attempt, WaitMillis: wait}
	err := h.call(ctx, wait+h.timeouts.CallMillis, other.Gateway, methodResponse, req, &a)
	switch {
	case err == nil && (a.Outcome == HasRun || a.Outcome == NotRun || a.Outcome == Withdrawn):
		return a
	case other.State == claim.Ran:
		return StoredResponse{Outcome: HasRun}
	}
	return StoredResponse{Outcome: Unknown}
}

// ManagerOf returns the VM that manages the slots of a service in a failure
// domain, or the empty ID if none is alive there.
func (h *Holder) ManagerOf(vni config.VNI, d config.DomainName) config.VMID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.managerOf(managerKey{vni: vni, domain: d})
}
