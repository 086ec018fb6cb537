package slot

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// LeaseID identifies a lease; a gateway never uses one twice.
type LeaseID string

// Endpoint is an upstream with the slots that it bears now.
type Endpoint struct {
	ID    config.UpstreamID
	Slots int
}

// Request asks for a slot.
type Request struct {
	ID     LeaseID      `json:"id"`
	Holder config.VMID  `json:"holder"`
	Owner  config.Owner `json:"owner"`
	// Deadline is the time after which a slot is of no use.
	Deadline clock.Millis `json:"latest"`
	// Avoid is an upstream that the request was tried on already, or zero.
	Avoid config.UpstreamID `json:"avoid"`
}

// Status tells what became of a request.
type Status uint8

// Statuses of a request.
const (
	Granted Status = iota + 1
	Queued
	// Refused means that no slot comes free in time or the queue is full.
	Refused
)

// Result is the fate of a request.
type Result struct {
	ID       LeaseID           `json:"id"`
	Status   Status            `json:"status"`
	Upstream config.UpstreamID `json:"upstream"`
	// QueueLength is the number of requests in the queue.
	QueueLength int `json:"waiting"`
}

// Limits bounds a Manager's queue.
type Limits struct {
	// LeaseMillis is the life of a lease that is not renewed.
	LeaseMillis clock.Millis
	// QueueMillis is the longest wait for a slot.
	QueueMillis clock.Millis
	// QueuePerSlot bounds the requests of one owner that wait for each slot.
	QueuePerSlot int
}

// lease is a slot in use.
type lease struct {
	request  Request
	upstream config.UpstreamID
	begun    clock.Millis
	expires  clock.Millis
	charged  float64 // put on the owner's account in advance
}

// Lease is a slot in use, as it is handed to another manager.
type Lease struct {
	Request  Request           `json:"request"`
	Upstream config.UpstreamID `json:"upstream"`
	Expires  clock.Millis      `json:"expires"`
}

// owner is a party with requests. Its account is the slot time that it has had
// in milliseconds.
type owner struct {
	name    config.Owner
	account float64
	inUse   int
	queue   []Request
	seen    clock.Millis
}

const (
	ownerIdleMillis = 60 * clock.Second
	// serviceDecay is the weight of the latest service time in the mean.
	serviceDecay = 0.1
	firstGuess   = 20.0 // milliseconds
)

// Manager leases the slots of one service in one failure domain. It is not
// safe for concurrent use.
type Manager struct {
	limits    Limits
	endpoints []Endpoint
	used      map[config.UpstreamID]int
	leases    map[LeaseID]*lease
	owners    map[config.Owner]*owner
	openAt    clock.Millis
	service   float64 // mean time of a lease in milliseconds
	waiting   int
}

// NewManager returns a manager that grants nothing before openAt, since leases
// of an earlier manager may run until then.
func NewManager(limits Limits, openAt clock.Millis) *Manager {
	return &Manager{
		limits: limits, openAt: openAt, service: firstGuess,
		used:   make(map[config.UpstreamID]int),
		leases: make(map[LeaseID]*lease),
		owners: make(map[config.Owner]*owner),
	}
}

// SetEndpoints replaces the upstreams and their slots. Leases on upstreams that
// are gone run on.
func (m *Manager) SetEndpoints(list []Endpoint) { m.endpoints = list }

// slots returns the sum of all slots.
func (m *Manager) slots() (n int) {
	for _, e := range m.endpoints {
		n += e.Slots
	}
	return n
}

// Acquire grants, queues or refuses a request.
func (m *Manager) Acquire(now clock.Millis, r Request) Result {
	if have := m.leases[r.ID]; have != nil {
		return Result{ID: r.ID, Status: Granted, Upstream: have.upstream, QueueLength: m.waiting}
	}
	o := m.owner(now, r.Owner)
	if len(o.queue) == 0 && now >= m.openAt && m.waiting == 0 {
		if res, ok := m.grant(now, o, r); ok {
			return res
		}
	}
	if !m.worthwhile(now, o, r) {
		return Result{ID: r.ID, Status: Refused, QueueLength: m.waiting}
	}
	o.queue = append(o.queue, r)
	m.waiting++
	return Result{ID: r.ID, Status: Queued, QueueLength: m.waiting}
}

// owner returns the record of an owner. One that comes back after a while
// starts level with the others and not with a credit.
func (m *Manager) owner(now clock.Millis, name config.Owner) *owner {
	o := m.owners[name]
	if o == nil {
		o = &owner{name: name}
		m.owners[name] = o
	}
	if o.inUse == 0 && len(o.queue) == 0 {
		if least, found := m.leastAccount(); found {
			o.account = max(o.account, least)
		}
	}
	o.seen = now
	return o
}

// leastAccount returns the least account of the owners with demand.
func (m *Manager) leastAccount() (least float64, found bool) {
	for _, o := range m.owners {
		if o.inUse == 0 && len(o.queue) == 0 {
			continue
		}
		if !found || o.account < least {
			least, found = o.account, true
		}
	}
	return least, found
}

// worthwhile reports whether the request may expect a slot in time. Each owner
// with demand gets an equal share of the slots.
func (m *Manager) worthwhile(now clock.Millis, o *owner, r Request) bool {
	slots := m.slots()
	if slots == 0 || len(o.queue) >= m.limits.QueuePerSlot*slots {
		return false
	}
	active := 0
	for _, other := range m.owners {
		if other == o || other.inUse > 0 || len(other.queue) > 0 {
			active++
		}
	}
	wait := clock.Millis(m.service * float64((len(o.queue)+1)*active) / float64(slots))
	wait += max(0, m.openAt-now)
	return now+wait <= r.Deadline && wait <= m.limits.QueueMillis
}

// grant leases a slot on the upstream with the largest share of free slots.
func (m *Manager) grant(now clock.Millis, o *owner, r Request) (Result, bool) {
	best, share := Endpoint{}, 0.0
	for _, e := range m.endpoints {
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
	o.account += m.service // corrected when the lease ends
	m.leases[r.ID] = &lease{request: r, upstream: best.ID, begun: now, expires: now + m.limits.LeaseMillis, charged: m.service}
	return Result{ID: r.ID, Status: Granted, Upstream: best.ID, QueueLength: m.waiting}, true
}

// Release ends a lease, or takes a request out of the queue.
func (m *Manager) Release(now clock.Millis, id LeaseID) {
	l := m.leases[id]
	if l == nil {
		m.unqueue(id)
		return
	}
	delete(m.leases, id)
	m.used[l.upstream]--
	took := float64(now - l.begun)
	if o := m.owners[l.request.Owner]; o != nil {
		o.inUse--
		o.account += took - l.charged
	}
	m.service += serviceDecay * (max(1, took) - m.service)
}

func (m *Manager) unqueue(id LeaseID) {
	for _, o := range m.owners {
		n := len(o.queue)
		o.queue = slices.DeleteFunc(o.queue, func(r Request) bool { return r.ID == id })
		m.waiting -= n - len(o.queue)
	}
}

// Renew extends the leases that a holder names.
func (m *Manager) Renew(now clock.Millis, holder config.VMID, ids []LeaseID) {
	for _, id := range ids {
		if l := m.leases[id]; l != nil && l.request.Holder == holder {
			l.expires = now + m.limits.LeaseMillis
		}
	}
}

// Tick ends expired leases and returns the requests that were granted or
// refused since. It is called after every release too.
func (m *Manager) Tick(now clock.Millis) (results []Result) {
	for id, l := range m.leases {
		if now >= l.expires {
			m.Release(now, id)
		}
	}
	results = m.refuseLate(now, results)
	for now >= m.openAt {
		o := m.next()
		if o == nil {
			break
		}
		res, ok := m.grant(now, o, o.queue[0])
		if !ok {
			break
		}
		o.queue = o.queue[1:]
		m.waiting--
		results = append(results, res)
	}
	for name, o := range m.owners {
		if o.inUse == 0 && len(o.queue) == 0 && now-o.seen > ownerIdleMillis {
			delete(m.owners, name)
		}
	}
	return results
}

// refuseLate refuses the requests whose time is up.
func (m *Manager) refuseLate(now clock.Millis, results []Result) []Result {
	for _, o := range m.owners {
		o.queue = slices.DeleteFunc(o.queue, func(r Request) bool {
			late := now > r.Deadline
			if late {
				m.waiting--
				results = append(results, Result{ID: r.ID, Status: Refused, QueueLength: m.waiting})
			}
			return late
		})
	}
	return results
}

// next returns the waiting owner that has had the least.
func (m *Manager) next() (best *owner) {
	for _, o := range m.owners {
		if len(o.queue) == 0 {
			continue
		}
		if best == nil || o.account < best.account || o.account == best.account && o.name < best.name {
			best = o
		}
	}
	return best
}

// Export returns the leases for the manager that takes over.
func (m *Manager) Export() (list []Lease) {
	for _, l := range m.leases {
		list = append(list, Lease{Request: l.request, Upstream: l.upstream, Expires: l.expires})
	}
	return list
}

// Import takes the leases of the manager before, after which slots can be
// granted at once.
func (m *Manager) Import(now clock.Millis, list []Lease) {
	for _, l := range list {
		if m.leases[l.Request.ID] != nil {
			continue
		}
		m.leases[l.Request.ID] = &lease{request: l.Request, upstream: l.Upstream, begun: now, expires: l.Expires}
		m.used[l.Upstream]++
		m.owner(now, l.Request.Owner).inUse++
	}
	m.openAt = min(m.openAt, now)
}
