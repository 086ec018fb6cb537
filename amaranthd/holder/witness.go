package holder

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/claim"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

// ErrNotWitness means that a VM's list does not make it a witness of a key.
var ErrNotWitness = eris.New("holder: not a witness of this key")

// upstreamDomains returns the failure domains of a service's upstreams, in
// whatever state. The caller holds mu.
func (h *Holder) upstreamDomains(vni config.VNI) (list []config.DomainName) {
	if h.file == nil {
		return nil
	}
	for i := range h.file.Services {
		s := &h.file.Services[i]
		if s.VNI != vni {
			continue
		}
		for j := range s.Upstreams {
			if d := s.Upstreams[j].Domain; !slices.Contains(list, d) {
				list = append(list, d)
			}
		}
	}
	slices.Sort(list)
	return list
}

// witnessSince returns since when this VM has been a witness of the key.
func (h *Holder) witnessSince(r claim.Record) (since clock.Millis, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, ok := h.roster.WitnessSince(h.self, r.Key, r.VNI, h.upstreamDomains(r.VNI))
	if !ok || h.leaving {
		return 0, ErrNotWitness
	}
	return since, nil
}

func (h *Holder) serveClaim(_ context.Context, params json.RawMessage) (any, error) {
	return h.decide(params, h.table.Claim)
}

func (h *Holder) serveClose(_ context.Context, params json.RawMessage) (any, error) {
	return h.decide(params, h.table.Close)
}

// decide answers a claim, unless the process stood still and may have been
// replaced as a witness.
func (h *Holder) decide(params json.RawMessage, f func(now, since clock.Millis, r claim.Record) claim.Reply) (any, error) {
	r, err := decode[claim.Record](params)
	if err != nil {
		return nil, err
	}
	now := h.clk.Now()
	if h.seams.Paused(now) {
		return claim.Reply{Verdict: claim.Abstained}, nil
	}
	h.decideMu.RLock()
	defer h.decideMu.RUnlock()
	since, err := h.witnessSince(r)
	if err != nil {
		return nil, err
	}
	return f(now, since, r), nil
}

func (h *Holder) serveFinish(_ context.Context, params json.RawMessage) (any, error) {
	r, err := decode[claim.Record](params)
	if err == nil {
		h.table.Finish(h.clk.Now(), r.Key, r.Attempt)
	}
	return nothing{}, err
}

func (h *Holder) serveWithdraw(_ context.Context, params json.RawMessage) (any, error) {
	r, err := decode[claim.Record](params)
	if err == nil {
		h.table.Withdraw(r.Key, r.Attempt)
	}
	return nothing{}, err
}

// Claim is a gateway's hold on a key.
type Claim struct {
	h         *Holder
	record    claim.Record
	witnesses []config.VMID
	granted   []config.VMID
	majority  int
}

// ClaimResult tells what came of a claim.
type ClaimResult struct {
	// Granted means that the attempt alone may run.
	Granted bool
	// Mismatch means that the key was used with another body.
	Mismatch bool
	// Existing is the record of the attempt that has the key, or nil if no
	// witness told of one.
	Existing *claim.Record
}

// ClaimKey claims a key for an attempt. The witnesses are asked one after the
// other, so that of two attempts at the same time mostly one wins.
func (h *Holder) ClaimKey(ctx context.Context, k claim.Key, vni config.VNI, digest config.Digest) (c *Claim, res ClaimResult) {
	h.mu.Lock()
	c = &Claim{h: h, witnesses: h.roster.Witnesses(k, vni, h.upstreamDomains(vni))}
	h.mu.Unlock()
	c.majority = claim.Majority(len(c.witnesses))
	c.record = claim.Record{Key: k, VNI: vni, Attempt: claim.NewAttemptID(), Gateway: h.self, Digest: digest}
	c.StoreResponse(StoredResponse{Outcome: Pending}) // Repeats at other gateways wait for it.
	for _, w := range c.witnesses {
		var reply claim.Reply
		if err := h.call(ctx, h.timers.CallMillis, w, methodClaim, c.record, &reply); err != nil {
			continue
		}
		switch reply.Verdict {
		case claim.Granted:
			c.granted = append(c.granted, w)
		case claim.Held:
			res.Existing = &reply.Record
		case claim.Mismatch:
			res.Mismatch, res.Existing = true, &reply.Record
		}
		if res.Existing != nil || len(c.granted) == c.majority {
			break
		}
	}
	res.Granted = res.Existing == nil && len(c.granted) == c.majority && c.majority > 0
	if !res.Granted {
		c.tell(methodWithdraw, func() { c.StoreResponse(StoredResponse{Outcome: Withdrawn}) })
	}
	return c, res
}

// Close makes sure that the key never runs, and reports whether a majority of
// the witnesses confirmed that it did not. Only then may a caller be told so.
func (c *Claim) Close(ctx context.Context) (sure bool) {
	closed := 0
	for _, w := range c.witnesses {
		var reply claim.Reply
		err := c.h.call(ctx, c.h.timers.CallMillis, w, methodClose, c.record, &reply)
		if err == nil && reply.Verdict == claim.Granted {
			closed++
		}
		if closed == c.majority {
			return true
		}
	}
	event.Log(ctx, c.h.log, event.ClaimLost, slog.String("key", c.record.Key.String()))
	return false
}

// Finish tells the witnesses that the request ran.
func (c *Claim) Finish() { c.tell(methodFinish, func() {}) }

const tellTries = 3

// tell sends a statement to the witnesses without waiting for it. A statement
// that is lost leaves the key claimed, which is safe. then is called afterwards.
func (c *Claim) tell(m rpc.Method, then func()) {
	granted := slices.Clone(c.granted)
	c.h.telling.Add(1)
	go func() {
		defer c.h.telling.Done()
		defer then()
		for _, w := range granted {
			for range tellTries {
				if c.h.call(context.Background(), c.h.timers.CallMillis, w, m, c.record, &nothing{}) == nil {
					break
				}
			}
		}
	}()
}

// deposit holds the claims of another VM while it restarts.
type deposit struct {
	VM    config.VMID  `json:"vm"`
	Since clock.Millis `json:"since"`
	At    clock.Millis `json:"at"`
	// VMs is the list by which the VM was a witness.
	VMs     []homes.VM     `json:"vms"`
	Records []claim.Record `json:"records"`
}

// recoverRequest asks for the claims that an earlier process left.
type recoverRequest struct {
	VM config.VMID `json:"vm"`
}

// neighbours returns the other living VMs of the own failure domain.
func (h *Holder) neighbours() (list []config.VMID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range h.live[h.domain] {
		if id != h.self {
			list = append(list, id)
		}
	}
	return list
}

// depositClaims leaves this VM's claims with a neighbour. Nothing is granted
// any more when it is called.
func (h *Holder) depositClaims(ctx context.Context) {
	h.mu.Lock()
	since, vms := h.roster.Current()
	h.mu.Unlock()
	d := deposit{VM: h.self, Since: max(since, h.table.CompleteSince()), At: h.clk.Now(), VMs: vms, Records: h.table.Export()}
	for _, id := range h.neighbours() {
		if h.call(ctx, 4*h.timers.CallMillis, id, methodDeposit, d, &nothing{}) == nil {
			return
		}
	}
}

// restore takes the claims of an earlier process. They make this one a witness
// of older keys too, if the list of VMs is still the same.
func (h *Holder) restore(d deposit) {
	h.mu.Lock()
	since, vms := h.roster.Current()
	same := slices.Equal(vms, d.VMs)
	if same {
		since = d.Since
		h.roster.Backdate(since)
	}
	h.mu.Unlock()
	h.table.Import(since, d.Records)
}

func (h *Holder) serveDeposit(_ context.Context, params json.RawMessage) (any, error) {
	d, err := decode[deposit](params)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d.At = h.clk.Now()
	h.deposits[d.VM] = d
	return nothing{}, nil
}

func (h *Holder) serveRecover(_ context.Context, params json.RawMessage) (any, error) {
	r, err := decode[recoverRequest](params)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.deposits[r.VM]
	delete(h.deposits, r.VM) // A later process could not know what this one grants.
	return d, nil
}

// RecoverClaims fetches the claims that an earlier process of this VM left with a
// neighbour. It reports false if no neighbour could be asked yet.
func (h *Holder) RecoverClaims(ctx context.Context) (asked bool) {
	for _, id := range h.neighbours() {
		var d deposit
		err := h.call(ctx, 4*h.timers.CallMillis, id, methodRecover, recoverRequest{VM: h.self}, &d)
		if err != nil {
			continue
		}
		asked = true
		if d.VM == h.self {
			h.restore(d)
		}
	}
	return asked
}
