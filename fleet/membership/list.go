package membership

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// Timers holds the timers of a List.
type Timers struct {
	// ProbeMillis is the period of probes.
	ProbeMillis clock.Millis `json:"probeMillis"`
	// TimeoutMillis is the wait for a direct answer before helpers are asked.
	TimeoutMillis clock.Millis `json:"timeoutMillis"`
	// SuspectMillis is the time in which a suspected VM may refute.
	SuspectMillis clock.Millis `json:"suspectMillis"`
	// ForgetMillis is how long a VM that left the platform's list and does
	// not answer is remembered.
	ForgetMillis clock.Millis `json:"forgetMillis"`
	// RemoteEvery makes every n-th probe go to another failure domain.
	RemoteEvery int `json:"remoteEvery"`
}

// DefaultTimers returns timers that find a failed VM within about two seconds.
func DefaultTimers() Timers {
	return Timers{
		ProbeMillis:   250,
		TimeoutMillis: 150,
		SuspectMillis: 1000,
		ForgetMillis:  60 * clock.Second,
		RemoteEvery:   3,
	}
}

const (
	helpers          = 2
	updatesPerPacket = 6
	// silentProbes is the number of direct probes in a row without answer
	// after which an otherwise living VM counts as unreachable from here.
	silentProbes = 2
	// deadEvery makes every n-th probe go to a dead VM, to notice a heal.
	deadEvery = 5
)

// member is what a List knows of another VM.
type member struct {
	vm          VM
	incarnation Incarnation
	state       State
	home        bool
	since       clock.Millis // time of the last change of state
	heard       clock.Millis // time of the last direct message
	silent      int          // direct probes in a row without answer
	unlisted    clock.Millis // time at which the list ceased to name the VM
	sends       int          // times that the state was passed on
}

// List is one VM's knowledge of all VMs. It is not safe for concurrent use.
type List struct {
	self    VM
	timers  Timers
	rng     *rand.Rand
	members map[config.VMID]*member

	incarnation Incarnation
	state       State
	home        bool
	version     config.Version
	digest      config.ShortDigest

	seq     uint64
	probes  map[uint64]*probe
	nextAt  clock.Millis
	rounds  int
	changed bool
	sweep   map[bool][]config.VMID // remote or own failure domain
}

// New returns the list of a VM that starts at now and knows no other yet.
func New(now clock.Millis, self VM, timers Timers, seed uint64) *List {
	return &List{
		self:        self,
		timers:      timers,
		rng:         rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self.ID)))),
		members:     make(map[config.VMID]*member),
		incarnation: Incarnation(now),
		state:       Alive,
		probes:      make(map[uint64]*probe),
		sweep:       make(map[bool][]config.VMID),
		changed:     true,
	}
}

// SetHome tells others whether this VM may be home of flows.
func (l *List) SetHome(home bool) {
	if l.home != home {
		l.home = home
		l.incarnation++
		l.changed = true
	}
}

// Leave tells others that this VM is about to stop.
func (l *List) Leave() {
	l.state, l.home = Leaving, false
	l.incarnation++
	l.changed = true
}

// SetConfig sets the version and digest that probes carry.
func (l *List) SetConfig(v config.Version, d config.ShortDigest) { l.version, l.digest = v, d }

// SetListedVMs takes a new list of the platform. A VM that is no longer listed is
// forgotten only once it no longer answers, since the list lags.
func (l *List) SetListedVMs(now clock.Millis, vms []VM) {
	named := make(map[config.VMID]bool, len(vms))
	for _, vm := range vms {
		named[vm.ID] = true
		if vm.ID == l.self.ID {
			continue
		}
		m := l.members[vm.ID]
		if m == nil {
			m = &member{since: now}
			l.members[vm.ID] = m
			l.changed = true
		}
		m.vm, m.unlisted = vm, 0
	}
	for id, m := range l.members {
		if !named[id] && m.unlisted == 0 {
			m.unlisted = now
		}
	}
}

// Tick returns the messages that are due at now.
func (l *List) Tick(now clock.Millis) (out []Envelope) {
	out = l.checkProbes(now, out)
	l.checkMembers(now)
	if now < l.nextAt {
		return out
	}
	l.nextAt = now + l.timers.ProbeMillis
	l.rounds++
	if id := l.nextTarget(); id != "" {
		out = append(out, l.probe(now, id, "", 0))
	}
	return out
}

// Push returns probes to n random living VMs of the own failure domain, sent
// when there is news to spread.
func (l *List) Push(now clock.Millis, n int) (out []Envelope) {
	ids := l.matching(func(m *member) bool { return m.state == Alive && m.vm.Domain == l.self.Domain })
	l.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(n, len(ids))] {
		out = append(out, l.probe(now, id, "", 0))
	}
	return out
}

// Join returns probes to up to n listed VMs, those of the own failure domain
// first. A VM that starts asks them what is in force.
func (l *List) Join(now clock.Millis, n int) (out []Envelope) {
	near := l.matching(func(m *member) bool { return m.vm.Domain == l.self.Domain })
	far := l.matching(func(m *member) bool { return m.vm.Domain != l.self.Domain })
	l.rng.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	l.rng.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	ids := append(near[:min(n/2, len(near))], far...)
	for _, id := range ids[:min(n, len(ids))] {
		out = append(out, l.probe(now, id, "", 0))
	}
	return out
}

// Announce returns probes to all living VMs, sent before this VM stops.
func (l *List) Announce(now clock.Millis) (out []Envelope) {
	for _, id := range l.matching(func(m *member) bool { return m.state <= Leaving && m.heard != 0 }) {
		out = append(out, l.probe(now, id, "", 0))
	}
	return out
}

func (l *List) matching(keep func(*member) bool) (ids []config.VMID) {
	for id, m := range l.members {
		if keep(m) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (l *List) checkMembers(now clock.Millis) {
	for id, m := range l.members {
		if m.state == Suspect && now-m.since >= l.timers.SuspectMillis {
			l.set(now, m, m.incarnation, Dead, m.home)
		}
		quiet := m.state == Dead || m.state == Unknown || m.state == Leaving && now-m.heard >= l.timers.SuspectMillis
		if m.unlisted != 0 && quiet && now-m.unlisted >= l.timers.ForgetMillis {
			delete(l.members, id)
			l.changed = true
		}
	}
}

func (l *List) set(now clock.Millis, m *member, inc Incarnation, state State, home bool) {
	if m.state != state || m.home != home {
		l.changed = true
		m.since = now
	}
	m.incarnation, m.state, m.home, m.sends = inc, state, home, 0
}

// Changed reports whether the result of Snapshot changed since the last call.
func (l *List) Changed() bool {
	changed := l.changed
	l.changed = false
	return changed
}

// Peer is a VM with what is known of it.
type Peer struct {
	VM
	State       State       `json:"state"`
	Incarnation Incarnation `json:"incarnation"`
	Home        bool        `json:"home"`
	Reachable   bool        `json:"reachable"`
}

// Snapshot returns all VMs in order of their identifiers, self included.
func (l *List) Snapshot() (list []Peer) {
	list = append(list, Peer{VM: l.self, State: l.state, Incarnation: l.incarnation, Home: l.home, Reachable: true})
	for _, id := range l.matching(func(*member) bool { return true }) {
		m := l.members[id]
		list = append(list, Peer{
			VM: m.vm, State: m.state, Incarnation: m.incarnation,
			Home:      m.home && (m.state == Alive || m.state == Suspect) && !m.vm.Leaving,
			Reachable: m.silent < silentProbes && m.state != Unknown,
		})
	}
	slices.SortFunc(list, func(a, b Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}
