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

// queuePerSlot bounds the requests of one owner that wait for each slot.
const queuePerSlot = 50

// ErrNoSlot means that no slot comes free in time.
var ErrNoSlot = eris.New("holder: no slot comes free in time")

// errNotManager means that a VM does not manage the slots that were asked for.
var errNotManager = eris.New("holder: not the manager of these slots")

// managerKey names the slots of a service in a failure domain.
type managerKey struct {
	vni    config.VNI
	domain config.DomainName
}

// manager is a slot manager with those who wait for it.
type manager struct {
	key managerKey

	mu      sync.Mutex
	slots   *slot.Manager
	waiters map[slot.LeaseID]chan slot.Result
}

// acquireRequest asks the manager of a service's slots in a failure domain.
type acquireRequest struct {
	VNI     config.VNI        `json:"vni"`
	Domain  config.DomainName `json:"domain"`
	Request slot.Request      `json:"request"`
	// InMillis is how long from now a slot is of use. Clocks of VMs differ,
	// so the receiver sets the request's time by it.
	InMillis clock.Millis `json:"inMillis"`
}

// leaseRequest is about leases of one manager.
type leaseRequest struct {
	VNI    config.VNI        `json:"vni"`
	Domain config.DomainName `json:"domain"`
	Holder config.VMID       `json:"holder"`
	IDs    []slot.LeaseID    `json:"ids"`
}

// takeOverRequest gives leases to the next manager.
type takeOverRequest struct {
	VNI    config.VNI        `json:"vni"`
	Domain config.DomainName `json:"domain"`
	Leases []slot.Lease      `json:"leases"`
	// NowMillis is the sender's time, by which the leases' expiry is adjusted
	// to the receiver's clock.
	NowMillis clock.Millis `json:"nowMillis"`
}

// managerOf returns the VM that manages slots. The caller holds mu.
func (h *Holder) managerOf(k managerKey) config.VMID {
	chosen := homes.Designated(fmt.Sprintf("slots %d %s", k.vni, k.domain), h.live[k.domain], 1)
	if len(chosen) == 0 {
		return ""
	}
	return chosen[0]
}

// manager returns the manager of slots if that is this VM. A new manager waits
// for the leases of an earlier one to run out.
func (h *Holder) manager(now clock.Millis, k managerKey) (*manager, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.managers[k]
	if h.managerOf(k) != h.self || h.leaving {
		return m, errNotManager
	}
	if m == nil {
		m = h.newManager(k, now+h.timers.LeaseMillis)
	}
	return m, nil
}

func (h *Holder) newManager(k managerKey, openAt clock.Millis) *manager {
	limits := slot.Limits{LeaseMillis: h.timers.LeaseMillis, QueueMillis: h.queueMillis(k.vni), QueuePerSlot: queuePerSlot}
	m := &manager{key: k, slots: slot.NewManager(limits, openAt), waiters: make(map[slot.LeaseID]chan slot.Result)}
	m.slots.SetEndpoints(h.endpoints(h.clk.Now(), k))
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

// endpoints lists the upstreams of a manager with the slots they bear now.
// Upstreams that seem unhealthy are left out unless most do.
func (h *Holder) endpoints(now clock.Millis, k managerKey) (list []slot.Endpoint) {
	s := h.service(k.vni)
	if s == nil {
		return nil
	}
	var all []slot.Endpoint
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if u.Domain != k.domain || !h.file.AcceptsNewTraffic(u) {
			continue
		}
		n, healthy := h.seams.UsableSlots(now, s.ID(u), u.Slots)
		e := slot.Endpoint{ID: s.ID(u), Slots: n}
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

// tickManagers looks after all managers of this VM.
func (h *Holder) tickManagers(now clock.Millis) {
	h.mu.Lock()
	var list []*manager
	endpoints := make(map[*manager][]slot.Endpoint)
	for k, m := range h.managers {
		list = append(list, m)
		endpoints[m] = h.endpoints(now, k)
	}
	h.mu.Unlock()
	for _, m := range list {
		m.mu.Lock()
		m.slots.SetEndpoints(endpoints[m])
		m.tick(now)
		m.mu.Unlock()
	}
}

// tick passes results to those who wait. The caller holds mu.
func (m *manager) tick(now clock.Millis) {
	for _, res := range m.slots.Tick(now) {
		if ch := m.waiters[res.ID]; ch != nil {
			ch <- res
			delete(m.waiters, res.ID)
			continue
		}
		m.slots.Release(now, res.ID) // Nobody waits any more.
	}
}

// moveManagers returns the managers that are no longer this VM's task, and
// forgets them. The caller holds mu.
func (h *Holder) moveManagers() (moved []*manager) {
	for k, m := range h.managers {
		if h.managerOf(k) != h.self {
			moved = append(moved, m)
			delete(h.managers, k)
		}
	}
	return moved
}

// handManager gives the leases of a manager to the VM that takes over, and
// refuses those who wait so that they ask there.
func (h *Holder) handManager(m *manager) {
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
		_ = h.call(context.Background(), h.timers.CallMillis, to, methodTakeOver, req, &nothing{})
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
		m = h.newManager(k, now+h.timers.LeaseMillis)
	}
	h.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slots.Import(now, r.Leases)
	m.tick(now)
	return nothing{}, nil
}

func (h *Holder) serveAcquire(ctx context.Context, params json.RawMessage) (any, error) {
	r, err := decode[acquireRequest](params)
	if err != nil {
		return nil, err
	}
	now := h.clk.Now()
	if h.seams.Paused(now) {
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
	return nothing{}, nil
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
	return nothing{}, nil
}
