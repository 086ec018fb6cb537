package holder

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/slot"
)

// queuePerSlot is the maximum number of waiting requests of one owner, per slot.
const queuePerSlot = 50

// ErrNoSlot means that no slot became free in time.
var ErrNoSlot = eris.New("holder: no slot became free in time")

// errNotManager means that this VM does not manage the requested slots.
var errNotManager = eris.New("holder: not the manager of these slots")

// managerKey identifies the manager of a service's slots in a failure domain.
type managerKey struct {
	vni    config.VNI
	domain config.DomainName
}

// manager is a slot manager with the callers that wait for its results.
type manager struct {
	key managerKey

	mu      sync.Mutex
	slots   *slot.Manager
	waiters map[slot.LeaseID]chan slot.Result
}

// acquireRequest requests a slot from a manager.
type acquireRequest struct {
	VNI     config.VNI        `json:"vni"`
	Domain  config.DomainName `json:"domain"`
	Request slot.Request      `json:"request"`
	// InMillis is how long the request may wait for a slot. The receiver
	// computes the deadline from it, because the clocks of VMs differ.
	InMillis clock.Millis `json:"inMillis"`
}

// leaseRequest releases or renews leases of one manager.
type leaseRequest struct {
	VNI    config.VNI        `json:"vni"`
	Domain config.DomainName `json:"domain"`
	Holder config.VMID       `json:"holder"`
	IDs    []slot.LeaseID    `json:"ids"`
}

// takeOverRequest hands the leases of a manager over to its successor.
type takeOverRequest struct {
	VNI    config.VNI        `json:"vni"`
	Domain config.DomainName `json:"domain"`
	Leases []slot.Lease      `json:"leases"`
	// NowMillis is the sender's time. The receiver adjusts the expiry of the
	// leases to its own clock by it.
	NowMillis clock.Millis `json:"nowMillis"`
}

// managerOf returns the VM that manages the slots of k, chosen by rendezvous
// hashing over the live VMs of the failure domain, or the empty ID if there are
// none. The caller holds mu.
func (h *Holder) managerOf(k managerKey) config.VMID {
	chosen := homes.Designated(fmt.Sprintf("slots %d %s", k.vni, k.domain), h.liveVMs[k.domain], 1)
	if len(chosen) == 0 {
		return ""
	}
	return chosen[0]
}

// manager returns the manager of k, or errNotManager if another VM manages these
// slots. A new manager grants nothing until the leases of its predecessor have
// expired.
func (h *Holder) manager(now clock.Millis, k managerKey) (*manager, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.managers[k]
	if h.managerOf(k) != h.self || h.leaving {
		return m, errNotManager
	}
	if m == nil {
		m = h.newManager(k, now+h.timeouts.LeaseMillis)
	}
	return m, nil
}

func (h *Holder) newManager(k managerKey, grantFrom clock.Millis) *manager {
	limits := slot.Limits{LeaseMillis: h.timeouts.LeaseMillis, QueueMillis: h.queueMillis(k.vni), QueuePerSlot: queuePerSlot}
	m := &manager{key: k, slots: slot.NewManager(limits, grantFrom), waiters: make(map[slot.LeaseID]chan slot.Result)}
	m.slots.SetUpstreams(h.upstreamSlots(h.clk.Now(), k))
	h.managers[k] = m
	return m
}

func (h *Holder) service(vni config.VNI) *config.Service {
	if h.file == nil {
		return nil
	}
	for i := range h.file.Services {
		if h.file.Services[i].VNI == vni {
			return &h.file.Services[i]
		}
	}
	return nil
}

func (h *Holder) queueMillis(vni config.VNI) clock.Millis {
	if s := h.service(vni); s != nil && s.Request != nil {
		return s.Request.QueueMillis
	}
	return 0
}

// upstreamSlots returns the upstreams of a manager with the slots that may be used
// now. Unhealthy upstreams are left out, unless more than half of them are
// unhealthy. The caller holds mu.
func (h *Holder) upstreamSlots(now clock.Millis, k managerKey) (list []slot.UpstreamSlots) {
	s := h.service(k.vni)
	if s == nil {
		return nil
	}
	var all []slot.UpstreamSlots
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if u.Domain != k.domain || !h.file.AcceptsNewTraffic(u) {
			continue
		}
		n, healthy := h.hooks.UsableSlots(now, s.ID(u), u.Slots)
		e := slot.UpstreamSlots{ID: s.ID(u), Slots: n}
		all = append(all, e)
		if healthy {
			list = append(list, e)
		}
	}
	if 2*len(list) < len(all) {
		return all
	}
	return list
}

// tickManagers updates the upstreams of all managers of this VM and ticks them.
func (h *Holder) tickManagers(now clock.Millis) {
	h.mu.Lock()
	var list []*manager
	upstreams := make(map[*manager][]slot.UpstreamSlots)
	for k, m := range h.managers {
		list = append(list, m)
		upstreams[m] = h.upstreamSlots(now, k)
	}
	h.mu.Unlock()
	for _, m := range list {
		m.mu.Lock()
		m.slots.SetUpstreams(upstreams[m])
		m.tick(now)
		m.mu.Unlock()
	}
}

// tick passes new results to the waiting callers. The caller holds mu.
func (m *manager) tick(now clock.Millis) {
	for _, res := range m.slots.Tick(now) {
		if ch := m.waiters[res.ID]; ch != nil {
			ch <- res
			delete(m.waiters, res.ID)
			continue
		}
		m.slots.Release(now, res.ID) // The caller has gone.
	}
}

// removeReassigned removes the managers that now belong to another VM, and returns
// them. The caller holds mu.
func (h *Holder) removeReassigned() (moved []*manager) {
	for k, m := range h.managers {
		if h.managerOf(k) != h.self {
			moved = append(moved, m)
			delete(h.managers, k)
		}
	}
	return moved
}

// handOverManager sends the leases of a manager to its new VM. It refuses the
// waiting requests, so that their gateways ask the new manager.
func (h *Holder) handOverManager(m *manager) {
	m.mu.Lock()
	now := h.clk.Now()
	req := takeOverRequest{VNI: m.key.vni, Domain: m.key.domain, Leases: m.slots.Export(), NowMillis: now}
	for id, ch := range m.waiters {
		ch <- slot.Result{ID: id, Status: slot.Refused}
		delete(m.waiters, id)
	}
	m.mu.Unlock()
	to := h.ManagerOf(m.key.vni, m.key.domain)
	if to != "" && to != h.self {
		_ = h.call(context.Background(), h.timeouts.CallMillis, to, methodTakeOver, req, &empty{})
	}
}

func (h *Holder) serveTakeOver(_ context.Context, params json.RawMessage) (any, error) {
	r, err := decode[takeOverRequest](params)
	if err != nil {
		return nil, err
	}
	now := h.clk.Now()
	for i := range r.Leases {
		r.Leases[i].Expires += now - r.NowMillis
	}
	h.mu.Lock()
	k := managerKey{vni: r.VNI, domain: r.Domain}
	m := h.managers[k]
	if m == nil {
		m = h.newManager(k, now+h.timeouts.LeaseMillis)
	}
	h.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slots.Import(now, r.Leases)
	m.tick(now)
	return empty{}, nil
}

func (h *Holder) serveAcquire(ctx context.Context, params json.RawMessage) (any, error) {
	r, err := decode[acquireRequest](params)
	if err != nil {
		return nil, err
	}
	now := h.clk.Now()
	if h.hooks.Paused(now) {
		return nil, errNotManager
	}
	m, err := h.manager(now, managerKey{vni: r.VNI, domain: r.Domain})
	if err != nil {
		return nil, err
	}
	r.Request.Deadline = now + r.InMillis
	m.mu.Lock()
	res := m.slots.Acquire(now, r.Request)
	if res.Status != slot.Queued {
		m.mu.Unlock()
		return res, nil
	}
	ch := make(chan slot.Result, 1)
	m.waiters[r.Request.ID] = ch
	m.mu.Unlock()
	select {
	case res = <-ch:
		return res, nil
	case <-ctx.Done():
		m.release(h.clk.Now(), r.Request.ID)
		return nil, ctx.Err()
	}
}

func (m *manager) release(now clock.Millis, ids ...slot.LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		delete(m.waiters, id)
		m.slots.Release(now, id)
	}
	m.tick(now)
}

func (h *Holder) serveRelease(_ context.Context, params json.RawMessage) (any, error) {
	r, err := decode[leaseRequest](params)
	if err != nil {
		return nil, err
	}
	now := h.clk.Now()
	if m, _ := h.manager(now, managerKey{vni: r.VNI, domain: r.Domain}); m != nil {
		m.release(now, r.IDs...)
	}
	return empty{}, nil
}

func (h *Holder) serveRenew(_ context.Context, params json.RawMessage) (any, error) {
	r, err := decode[leaseRequest](params)
	if err != nil {
		return nil, err
	}
	now := h.clk.Now()
	if m, _ := h.manager(now, managerKey{vni: r.VNI, domain: r.Domain}); m != nil {
		m.mu.Lock()
		m.slots.Renew(now, r.Holder, r.IDs)
		m.mu.Unlock()
	}
	return empty{}, nil
}
