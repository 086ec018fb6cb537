package holder

import (
	"context"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/slot"
)

// leaseKey identifies a lease together with the manager that granted it.
type leaseKey struct {
	managerKey
	id slot.LeaseID
}

// Slot is a leased slot on an upstream. The Holder renews the lease until Release.
type Slot struct {
	Upstream config.UpstreamID

	h   *Holder
	vm  config.VMID
	key leaseKey
}

// Acquire leases a slot of a service for an owner, if possible not on the
// upstream avoid. It asks the managers of the failure domains one after the other,
// the one with the shortest queue first. It returns ErrNoSlot or the error of the
// last call if none grants a slot within the given time.
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
	if err = h.call(ctx, within+h.timeouts.CallMillis, to, methodAcquire, req, &res); err != nil {
		s.sendRelease() // The manager may have granted the slot although the call failed.
		h.setQueueLength(k, unreachableQueueLength)
		return nil, eris.Wrap(err, "holder: acquire a slot")
	}
	h.setQueueLength(k, res.QueueLength)
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

// unreachableQueueLength is the queue length that is assumed for a manager whose
// call failed, so that it is asked last.
const unreachableQueueLength = 1 << 20

func (h *Holder) setQueueLength(k managerKey, length int) {
	h.leaseMu.Lock()
	defer h.leaseMu.Unlock()
	h.queueLengths[k] = length
}

// Release ends the lease without waiting for the manager's reply.
func (s *Slot) Release() {
	s.h.leaseMu.Lock()
	delete(s.h.leases[s.vm], s.key)
	s.h.leaseMu.Unlock()
	s.sendRelease()
}

func (s *Slot) sendRelease() {
	req := leaseRequest{VNI: s.key.vni, Domain: s.key.domain, Holder: s.h.self, IDs: []slot.LeaseID{s.key.id}}
	go func() {
		_ = s.h.call(context.Background(), s.h.timeouts.CallMillis, s.vm, methodRelease, req, &empty{})
	}()
}

// renewLeases renews the leases of this gateway, with one call to each manager.
func (h *Holder) renewLeases(ctx context.Context) {
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
			go func() { _ = h.call(ctx, h.timeouts.CallMillis, id, methodRenew, req, &empty{}) }()
		}
	}
}
