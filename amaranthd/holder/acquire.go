package holder

import (
	"context"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/slot"
)

// leaseKey is a lease with the manager that it is from.
type leaseKey struct {
	managerKey
	id slot.LeaseID
}

// Slot is a leased slot on an upstream.
type Slot struct {
	Upstream config.UpstreamID

	h   *Holder
	vm  config.VMID
	key leaseKey
}

// Acquire leases a slot of a service for an owner. It asks the manager of the
// failure domain with the shortest queue, and then another, and returns
// ErrNoSlot if none grants one within the given time.
func (h *Holder) Acquire(ctx context.Context, vni config.VNI, owner config.Owner, within clock.Millis, avoid config.UpstreamID) (s *Slot, err error) {
	end := h.clk.Now() + within
	err = ErrNoSlot
	for _, k := range h.managerOrder(vni) {
		left := end - h.clk.Now()
		if left <= 0 || ctx.Err() != nil {
			break
		}
		if s, err = h.acquireAt(ctx, k, owner, left, avoid); err == nil {
			return s, nil
		}
	}
	return nil, err
}

func (h *Holder) acquireAt(ctx context.Context, k managerKey, owner config.Owner, within clock.Millis, avoid config.UpstreamID) (s *Slot, err error) {
	to := h.ManagerOf(k.vni, k.domain)
	if to == "" {
		return nil, ErrNoSlot
	}
	id := slot.LeaseID(uuid.NewString())
	req := acquireRequest{
		VNI: k.vni, Domain: k.domain, InMillis: within,
		Request: slot.Request{ID: id, Holder: h.self, Owner: owner, Avoid: avoid},
	}
	s = &Slot{h: h, vm: to, key: leaseKey{managerKey: k, id: id}}
	var res slot.Result
	if err = h.call(ctx, within+h.timers.CallMillis, to, methodAcquire, req, &res); err != nil {
		s.giveBack() // The manager may have granted it all the same.
		h.hint(k, unreachableHint)
		return nil, eris.Wrap(err, "holder: acquire a slot")
	}
	h.hint(k, res.QueueLength)
	if res.Status != slot.Granted {
		return nil, ErrNoSlot
	}
	s.Upstream = res.Upstream
	h.leaseMu.Lock()
	if h.leases[to] == nil {
		h.leases[to] = make(map[leaseKey]bool)
	}
	h.leases[to][s.key] = true
	h.leaseMu.Unlock()
	return s, nil
}

// unreachableHint makes a manager that did not answer the last choice.
const unreachableHint = 1 << 20

func (h *Holder) hint(k managerKey, waiting int) {
	h.leaseMu.Lock()
	defer h.leaseMu.Unlock()
	h.hints[k] = waiting
}

// Release gives the slot back.
func (s *Slot) Release() {
	s.h.leaseMu.Lock()
	delete(s.h.leases[s.vm], s.key)
	s.h.leaseMu.Unlock()
	s.giveBack()
}

func (s *Slot) giveBack() {
	req := leaseRequest{VNI: s.key.vni, Domain: s.key.domain, Holder: s.h.self, IDs: []slot.LeaseID{s.key.id}}
	go func() {
		_ = s.h.call(context.Background(), s.h.timers.CallMillis, s.vm, methodRelease, req, &nothing{})
	}()
}

// renewAll renews the leases of this gateway, one call for each manager.
func (h *Holder) renewAll(ctx context.Context) {
	h.leaseMu.Lock()
	calls := make(map[config.VMID]map[managerKey][]slot.LeaseID)
	for id, leases := range h.leases {
		for k := range leases {
			if calls[id] == nil {
				calls[id] = make(map[managerKey][]slot.LeaseID)
			}
			calls[id][k.managerKey] = append(calls[id][k.managerKey], k.id)
		}
	}
	h.leaseMu.Unlock()
	for id, byManager := range calls {
		for k, ids := range byManager {
			req := leaseRequest{VNI: k.vni, Domain: k.domain, Holder: h.self, IDs: ids}
			go func() { _ = h.call(ctx, h.timers.CallMillis, id, methodRenew, req, &nothing{}) }()
		}
	}
}
