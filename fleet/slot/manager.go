package slot

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// LeaseID identifies a lease. A gateway never uses an ID twice.
type LeaseID string

// UpstreamSlots is an upstream with the number of its slots that may be used now.
type UpstreamSlots struct {
	ID    config.UpstreamID
	Slots int
}

// Request asks for a slot.
type Request struct {
	ID     LeaseID      `json:"id"`
	Holder config.VMID  `json:"holder"`
	Owner  config.Owner `json:"owner"`
	// Deadline is the time until which the request may wait for a slot, in
	// milliseconds of the manager's clock.
	Deadline clock.Millis `json:"latest"`
	// Avoid is an upstream at which an earlier attempt failed, or zero. Its
	// slots are the last choice.
	Avoid config.UpstreamID `json:"avoid"`
}

// Status is the status of a request for a slot.
type Status uint8

// Statuses of a request.
const (
	Granted Status = iota + 1
	Queued
	// Refused means that no slot is expected to become free before the
	// deadline or that the queue is full.
	Refused
)

// Result is a Manager's decision on a request. Upstream is set if Status is
// Granted.
type Result struct {
	ID       LeaseID           `json:"id"`
	Status   Status            `json:"status"`
	Upstream config.UpstreamID `json:"upstream"`
	// QueueLength is the number of requests that wait at the manager.
	QueueLength int `json:"waiting"`
}

// Limits bounds the leases and the queue of a Manager.
type Limits struct {
	// LeaseMillis is the time after which a lease that is not renewed
	// expires.
	LeaseMillis clock.Millis
	// QueueMillis is the largest estimated wait with which a request is queued.
	// The actual wait is limited by Request.Deadline.
	QueueMillis clock.Millis
	// QueuePerSlot is the maximum number of waiting requests of one owner,
	// per slot.
	QueuePerSlot int
}

// activeLease is a lease in force at this manager.
type activeLease struct {
	request       Request
	upstream      config.UpstreamID
	startedAt     clock.Millis
	expiresAt     clock.Millis
	chargedMillis float64 // expected duration, added to the owner's virtual time at the grant
}

// Lease is a lease as it is exported to another manager.
type Lease struct {
	Request  Request           `json:"request"`
	Upstream config.UpstreamID `json:"upstream"`
	Expires  clock.Millis      `json:"expires"`
}

// owner is the scheduling state of an owner. Its virtual time is the slot time
// that it has used, in milliseconds; see Manager.owner for the offset that an
// owner gets when it becomes active.
type owner struct {
	name        config.Owner
	virtualTime float64
	inUse       int
	queue       []Request
	lastRequest clock.Millis
}

const (
	ownerIdleMillis = 60 * clock.Second
	// leaseDurationWeight is the weight of the latest lease duration in the
	// exponentially weighted moving average.
	leaseDurationWeight = 0.1
	initialLeaseMillis  = 20.0 // mean lease duration before the first lease has ended
)

// Manager leases the slots of one service in one failure domain. It is not
// safe for concurrent use.
type Manager struct {
	limits          Limits
	upstreams       []UpstreamSlots
	used            map[config.UpstreamID]int
	leases          map[LeaseID]*activeLease
	owners          map[config.Owner]*owner
	grantFrom       clock.Millis
	meanLeaseMillis float64 // moving average of lease durations
	queued          int
}

// NewManager returns a manager that grants nothing before grantFrom, since
// leases of its predecessor may be in force until then.
func NewManager(limits Limits, grantFrom clock.Millis) *Manager {
	return &Manager{
		limits: limits, grantFrom: grantFrom, meanLeaseMillis: initialLeaseMillis,
		used:   make(map[config.UpstreamID]int),
		leases: make(map[LeaseID]*activeLease),
		owners: make(map[config.Owner]*owner),
	}
}

// SetUpstreams replaces the upstreams and their slots. Leases on removed
// upstreams stay in force.
func (m *Manager) SetUpstreams(list []UpstreamSlots) { m.upstreams = list }

// totalSlots returns the number of slots of all upstreams.
func (m *Manager) totalSlots() (n int) {
	for _, e := range m.upstreams {
		n += e.Slots
	}
	return n
}

// Acquire grants, queues or refuses a request. A repeated request that holds a
// lease gets the same lease again. The ID of a queued request must not be requested
// again, since it would be queued a second time.
func (m *Manager) Acquire(now clock.Millis, r Request) Result {
	if have := m.leases[r.ID]; have != nil {
		return Result{ID: r.ID, Status: Granted, Upstream: have.upstream, QueueLength: m.queued}
	}
	o := m.owner(now, r.Owner)
	if len(o.queue) == 0 && now >= m.grantFrom && m.queued == 0 {
		if res, ok := m.grant(now, o, r); ok {
			return res
		}
	}
	if !m.admits(now, o, r) {
		return Result{ID: r.ID, Status: Refused, QueueLength: m.queued}
	}
	o.queue = append(o.queue, r)
	m.queued++
	return Result{ID: r.ID, Status: Queued, QueueLength: m.queued}
}

// owner returns the state of an owner. The virtual time of an owner without
// leases and queued requests is raised to the minimum of the active owners, so
// that idle time earns no credit.
func (m *Manager) owner(now clock.Millis, name config.Owner) *owner {
	o := m.owners[name]
	if o == nil {
		o = &owner{name: name}
		m.owners[name] = o
	}
	if o.inUse == 0 && len(o.queue) == 0 {
		if least, found := m.minVirtualTime(); found {
			o.virtualTime = max(o.virtualTime, least)
		}
	}
	o.lastRequest = now
	return o
}

// minVirtualTime returns the least virtual time of the owners that have leases
// or queued requests, and false if there are none.
func (m *Manager) minVirtualTime() (least float64, found bool) {
	for _, o := range m.owners {
		if o.inUse == 0 && len(o.queue) == 0 {
			continue
		}
		if !found || o.virtualTime < least {
			least, found = o.virtualTime, true
		}
	}
	return least, found
}

// admits reports whether the request is expected to get a slot before its
// deadline and within the queue limits. The estimate gives each active owner an
// equal share of the slots.
func (m *Manager) admits(now clock.Millis, o *owner, r Request) bool {
	slots := m.totalSlots()
	if slots == 0 || len(o.queue) >= m.limits.QueuePerSlot*slots {
		return false
	}
	active := 0
	for _, other := range m.owners {
		if other == o || other.inUse > 0 || len(other.queue) > 0 {
			active++
		}
	}
	wait := clock.Millis(m.meanLeaseMillis * float64((len(o.queue)+1)*active) / float64(slots))
	wait += max(0, m.grantFrom-now)
	return now+wait <= r.Deadline && wait <= m.limits.QueueMillis
}

// grant leases a slot on the upstream with the largest fraction of free slots.
// It returns false if no slot is free.
func (m *Manager) grant(now clock.Millis, o *owner, r Request) (Result, bool) {
	best, share := UpstreamSlots{}, 0.0
	for _, e := range m.upstreams {
		free := e.Slots - m.used[e.ID]
		if free <= 0 {
			continue
		}
		s := float64(free) / float64(e.Slots)
		if e.ID == r.Avoid {
			s /= 1000
		}
		if s > share {
			best, share = e, s
		}
	}
	if share == 0 {
		return Result{}, false
	}
	m.used[best.ID]++
	o.inUse++
	o.virtualTime += m.meanLeaseMillis // Release replaces it by the actual duration.
	m.leases[r.ID] = &activeLease{request: r, upstream: best.ID, startedAt: now, expiresAt: now + m.limits.LeaseMillis, chargedMillis: m.meanLeaseMillis}
	return Result{ID: r.ID, Status: Granted, Upstream: best.ID, QueueLength: m.queued}, true
}

// Release ends a lease, or removes a request from the queue.
func (m *Manager) Release(now clock.Millis, id LeaseID) {
	l := m.leases[id]
	if l == nil {
		m.dequeue(id)
		return
	}
	delete(m.leases, id)
	m.used[l.upstream]--
	took := float64(now - l.startedAt)
	if o := m.owners[l.request.Owner]; o != nil {
		o.inUse--
		o.virtualTime += took - l.chargedMillis
	}
	m.meanLeaseMillis += leaseDurationWeight * (max(1, took) - m.meanLeaseMillis)
}

func (m *Manager) dequeue(id LeaseID) {
	for _, o := range m.owners {
		n := len(o.queue)
		o.queue = slices.DeleteFunc(o.queue, func(r Request) bool { return r.ID == id })
		m.queued -= n - len(o.queue)
	}
}

// Renew extends the listed leases that belong to holder by LeaseMillis from now.
func (m *Manager) Renew(now clock.Millis, holder config.VMID, ids []LeaseID) {
	for _, id := range ids {
		if l := m.leases[id]; l != nil && l.request.Holder == holder {
			l.expiresAt = now + m.limits.LeaseMillis
		}
	}
}

// Tick ends expired leases, refuses queued requests whose deadline has passed
// and grants free slots to queued requests. It returns the results of these
// requests. Call it periodically and after every Release.
func (m *Manager) Tick(now clock.Millis) (results []Result) {
	for id, l := range m.leases {
		if now >= l.expiresAt {
			m.Release(now, id)
		}
	}
	results = m.refuseExpired(now, results)
	for now >= m.grantFrom {
		o := m.nextOwner()
		if o == nil {
			break
		}
		res, ok := m.grant(now, o, o.queue[0])
		if !ok {
			break
		}
		o.queue = o.queue[1:]
		m.queued--
		results = append(results, res)
	}
	for name, o := range m.owners {
		if o.inUse == 0 && len(o.queue) == 0 && now-o.lastRequest > ownerIdleMillis {
			delete(m.owners, name)
		}
	}
	return results
}

// refuseExpired refuses queued requests whose deadline has passed, and appends
// their results.
func (m *Manager) refuseExpired(now clock.Millis, results []Result) []Result {
	for _, o := range m.owners {
		o.queue = slices.DeleteFunc(o.queue, func(r Request) bool {
			late := now > r.Deadline
			if late {
				m.queued--
				results = append(results, Result{ID: r.ID, Status: Refused, QueueLength: m.queued})
			}
			return late
		})
	}
	return results
}

// nextOwner returns the owner with the least virtual time among those with
// queued requests, or nil if there are none. Ties go to the lesser name.
func (m *Manager) nextOwner() (best *owner) {
	for _, o := range m.owners {
		if len(o.queue) == 0 {
			continue
		}
		if best == nil || o.virtualTime < best.virtualTime || o.virtualTime == best.virtualTime && o.name < best.name {
			best = o
		}
	}
	return best
}

// Export returns the leases, to be imported by the manager that takes over.
func (m *Manager) Export() (list []Lease) {
	for _, l := range m.leases {
		list = append(list, Lease{Request: l.request, Upstream: l.upstream, Expires: l.expiresAt})
	}
	return list
}

// Import adds the leases of the previous manager, after which slots can be
// granted immediately. Leases that the manager has already are not changed.
func (m *Manager) Import(now clock.Millis, list []Lease) {
	for _, l := range list {
		if m.leases[l.Request.ID] != nil {
			continue
		}
		m.leases[l.Request.ID] = &activeLease{request: l.Request, upstream: l.Upstream, startedAt: now, expiresAt: l.Expires}
		m.used[l.Upstream]++
		m.owner(now, l.Request.Owner).inUse++
	}
	m.grantFrom = min(m.grantFrom, now)
}
