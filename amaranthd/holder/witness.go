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

// ErrNotWitness means that this VM is not a witness of the key by its own list of
// VMs, or that it is shutting down.
var ErrNotWitness = eris.New("holder: not a witness of this key")

// upstreamDomains returns the sorted failure domains of a service's upstreams,
// regardless of their state. The caller holds mu.
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

// witnessSince returns the time since which this VM has been a witness of the key.
func (h *Holder) witnessSince(r claim.Record) (since clock.Millis, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, ok := h.selector.WitnessSince(h.self, r.Key, r.VNI, h.upstreamDomains(r.VNI))
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

// decide answers a claim with f. It abstains if the process has just started or was
// suspended, since another VM may have replaced it as a witness.
func (h *Holder) decide(params json.RawMessage, f func(now, since clock.Millis, r claim.Record) claim.Reply) (any, error) {
	r, err := decode[claim.Record](params)
	if err != nil {
		return nil, err
	}
	now := h.clk.Now()
	if h.hooks.Paused(now) {
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
	return empty{}, err
}

func (h *Holder) serveWithdraw(_ context.Context, params json.RawMessage) (any, error) {
	r, err := decode[claim.Record](params)
	if err == nil {
		h.table.Withdraw(r.Key, r.Attempt)
	}
	return empty{}, err
}

// Claim is the claim of a gateway's attempt to a key.
type Claim struct {
	h         *Holder
	record    claim.Record
	witnesses []config.VMID
	granted   []config.VMID
	// uncertain are the witnesses whose call failed. They may have granted the claim.
	uncertain []config.VMID
	majority  int
}

// ClaimResult is the result of Holder.ClaimKey.
type ClaimResult struct {
	// Granted means that only this attempt may run the request.
	Granted bool
	// Mismatch means that the key was used with a different body.
	Mismatch bool
	// Existing is the record of the attempt that holds the key, or nil if no
	// witness reported one.
	Existing *claim.Record
}

// ClaimKey claims a key for a new attempt. It asks the witnesses one after the
// other, so that of two concurrent attempts usually one is granted the key. A claim
// that is not granted is withdrawn.
func (h *Holder) ClaimKey(ctx context.Context, k claim.Key, vni config.VNI, digest config.Digest) (c *Claim, res ClaimResult) {
	h.mu.Lock()
	c = &Claim{h: h, witnesses: h.selector.Witnesses(k, vni, h.upstreamDomains(vni))}
	h.mu.Unlock()
	c.majority = claim.Majority(len(c.witnesses))
	c.record = claim.Record{Key: k, VNI: vni, Attempt: claim.NewAttemptID(), Gateway: h.self, Digest: digest}
	c.StoreResponse(StoredResponse{Outcome: Pending}) // Duplicates at other gateways wait for it.
	for _, w := range c.witnesses {
		var reply claim.Reply
		if err := h.call(ctx, h.timeouts.CallMillis, w, methodClaim, c.record, &reply); err != nil {
			c.uncertain = append(c.uncertain, w)
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
		c.notify(methodWithdraw, func() { c.StoreResponse(StoredResponse{Outcome: Withdrawn}) })
	}
	return c, res
}

// Close closes the key, so that it never runs. It reports whether a majority of
// the witnesses confirmed that it did not run; only then may the request be
// reported to its caller as not run.
func (c *Claim) Close(ctx context.Context) (sure bool) {
	closed := 0
	for _, w := range c.witnesses {
		var reply claim.Reply
		err := c.h.call(ctx, c.h.timeouts.CallMillis, w, methodClose, c.record, &reply)
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

// Finish notifies the witnesses that the request ran.
func (c *Claim) Finish() { c.notify(methodFinish, func() {}) }

const maxNotifyAttempts = 3

// notify calls a method of the witnesses that granted the claim, without waiting
// for them, calls then, and calls the method once of the witnesses that may have
// granted it. A notification that is lost leaves the key claimed, which is safe.
func (c *Claim) notify(m rpc.Method, then func()) {
	granted, uncertain := slices.Clone(c.granted), slices.Clone(c.uncertain)
	c.h.notifications.Add(1)
	go func() {
		defer c.h.notifications.Done()
		for _, w := range granted {
			c.tell(w, m, maxNotifyAttempts)
		}
		then()
		for _, w := range uncertain {
			c.tell(w, m, 1)
		}
	}()
}

// tell calls a method of a witness until a call succeeds, at most attempts times.
func (c *Claim) tell(w config.VMID, m rpc.Method, attempts int) {
	for range attempts {
		if c.h.call(context.Background(), c.h.timeouts.CallMillis, w, m, c.record, &empty{}) == nil {
			return
		}
	}
}

// claimBackup holds the claims of another VM while that VM restarts.
type claimBackup struct {
	VM    config.VMID  `json:"vm"`
	Since clock.Millis `json:"since"`
	At    clock.Millis `json:"at"`
	// VMs is the list of VMs by which the other VM was a witness.
	VMs     []homes.VM     `json:"vms"`
	Records []claim.Record `json:"records"`
}

// recoverRequest asks for the claims that an earlier process of VM backed up.
type recoverRequest struct {
	VM config.VMID `json:"vm"`
}

// domainPeers returns the other live VMs of the same failure domain.
func (h *Holder) domainPeers() (list []config.VMID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range h.liveVMs[h.domain] {
		if id != h.self {
			list = append(list, id)
		}
	}
	return list
}

// backUpClaims stores this VM's claims at another VM of the failure domain. The
// caller must have stopped granting claims.
func (h *Holder) backUpClaims(ctx context.Context) {
	h.mu.Lock()
	since, vms := h.selector.Current()
	h.mu.Unlock()
	d := claimBackup{VM: h.self, Since: max(since, h.table.CompleteSince()), At: h.clk.Now(), VMs: vms, Records: h.table.Export()}
	for _, id := range h.domainPeers() {
		if h.call(ctx, 4*h.timeouts.CallMillis, id, methodBackup, d, &empty{}) == nil {
			return
		}
	}
}

// restore imports the claims of an earlier process. If the list of VMs is still the
// same, this process becomes a witness of the same older keys too.
func (h *Holder) restore(d claimBackup) {
	h.mu.Lock()
	since, vms := h.selector.Current()
	same := slices.Equal(vms, d.VMs)
	if same {
		since = d.Since
		h.selector.Backdate(since)
	}
	h.mu.Unlock()
	h.table.Import(since, d.Records)
}

func (h *Holder) serveBackup(_ context.Context, params json.RawMessage) (any, error) {
	d, err := decode[claimBackup](params)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d.At = h.clk.Now()
	h.backups[d.VM] = d
	return empty{}, nil
}

func (h *Holder) serveRecover(_ context.Context, params json.RawMessage) (any, error) {
	r, err := decode[recoverRequest](params)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.backups[r.VM]
	delete(h.backups, r.VM) // Another restore would miss the claims granted since this one.
	return d, nil
}

// RecoverClaims fetches the claims that an earlier process of this VM backed up at
// other VMs of the failure domain. It returns false if none of them replied.
func (h *Holder) RecoverClaims(ctx context.Context) (asked bool) {
	for _, id := range h.domainPeers() {
		var d claimBackup
		err := h.call(ctx, 4*h.timeouts.CallMillis, id, methodRecover, recoverRequest{VM: h.self}, &d)
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
