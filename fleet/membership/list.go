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
	// ProbeMillis is the probe period.
	ProbeMillis clock.Millis `json:"probeMillis"`
	// TimeoutMillis is the timeout of a direct probe, after which indirect probes
	// are sent.
	TimeoutMillis clock.Millis `json:"timeoutMillis"`
	// SuspectMillis is the time that a suspected VM has to refute the suspicion.
	SuspectMillis clock.Millis `json:"suspectMillis"`
	// ForgetMillis is the time for which a VM stays a member after it left the
	// platform's list and while it does not answer.
	ForgetMillis clock.Millis `json:"forgetMillis"`
	// RemoteEvery sends every n-th probe to another failure domain; 0 disables
	// this.
	RemoteEvery int `json:"remoteEvery"`
}

// DefaultTimers returns timers that detect a failed VM within about two seconds.
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
	// indirectProbes is the number of VMs that are asked to probe a silent VM.
	indirectProbes   = 2
	updatesPerPacket = 6
	// unreachableProbes is the number of consecutive unanswered direct probes after
	// which a VM that others consider alive counts as unreachable from this one.
	unreachableProbes = 2
	// refutationProbes is the maximum number of VMs that are probed at once to spread the
	// refutation of a suspicion.
	refutationProbes = 32
	// deadEvery sends every n-th probe to a dead VM, to detect that a partition has
	// healed.
	deadEvery = 5
)

// member is the state of another VM in a List.
type member struct {
	vm            VM
	incarnation   Incarnation
	state         State
	home          bool
	stateSince    clock.Millis // time of the last change of state or home
	lastHeard     clock.Millis // time of the last message from the VM, 0 if none
	failedProbes  int          // consecutive unanswered probes from this VM
	unlistedSince clock.Millis // time at which the VM left the platform list, 0 while listed
	transmissions int          // number of messages that carried the state
}

// List holds one VM's view of all VMs. It is not safe for concurrent use.
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

	seq         uint64
	probes      map[uint64]*probe
	nextProbeAt clock.Millis
	rounds      int
	changed     bool
	// refuted is set while a refutation is not sent yet; at most one is sent per
	// probe period, not before nextRefutationAt.
	refuted          bool
	nextRefutationAt clock.Millis
	probeQueue       map[bool][]config.VMID // VMs yet to be probed in this cycle; key true for remote failure domains
}

// New returns the list of VM self, which starts at now and knows no other VM yet.
// The random choices follow from seed and the identifier of self.
func New(now clock.Millis, self VM, timers Timers, seed uint64) *List {
	return &List{
		self:        self,
		timers:      timers,
		rng:         rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(self.ID)))),
		members:     make(map[config.VMID]*member),
		incarnation: Incarnation(now),
		state:       Alive,
		probes:      make(map[uint64]*probe),
		probeQueue:  make(map[bool][]config.VMID),
		changed:     true,
	}
}

// SetHome sets whether this VM may be the home of flows, the VM that owns their
// state, and announces it to the others.
func (l *List) SetHome(home bool) {
	if l.home != home {
		l.home = home
		l.incarnation++
		l.changed = true
	}
}

// Leave marks this VM as stopping and announces it to the others.
func (l *List) Leave() {
	l.state, l.home = Leaving, false
	l.incarnation++
	l.changed = true
}

// SetConfig sets the version and digest of the configuration that messages carry.
func (l *List) SetConfig(v config.Version, d config.ShortDigest) { l.version, l.digest = v, d }

// SetListedVMs applies a new list of the platform. A VM that is no longer listed is
// removed only once it no longer answers, since the list may be out of date.
func (l *List) SetListedVMs(now clock.Millis, vms []VM) {
	listed := make(map[config.VMID]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		if vm.ID == l.self.ID {
			continue
		}
		m := l.members[vm.ID]
		if m == nil {
			m = &member{stateSince: now}
			l.members[vm.ID] = m
			l.changed = true
		}
		m.vm, m.unlistedSince = vm, 0
	}
	for id, m := range l.members {
		if !listed[id] && m.unlistedSince == 0 {
			m.unlistedSince = now
		}
	}
}

// Tick returns the messages that are due at now.
func (l *List) Tick(now clock.Millis) (out []Envelope) {
	out = l.checkProbes(now, out)
	l.checkMembers(now)
	out = l.sendRefutation(now, out)
	if now < l.nextProbeAt {
		return out
	}
	l.nextProbeAt = now + l.timers.ProbeMillis
	l.rounds++
	if id := l.nextTarget(); id != "" {
		out = append(out, l.probe(now, id, "", 0))
	}
	return out
}

// Push returns probes to up to n random living VMs of the local failure domain. They
// spread an update without waiting for the next probe period.
func (l *List) Push(now clock.Millis, n int) (out []Envelope) {
	for _, id := range l.sample(n, func(m *member) bool { return m.state == Alive && m.vm.Domain == l.self.Domain }) {
		out = append(out, l.probe(now, id, "", 0))
	}
	return out
}

// Join returns probes to up to n listed VMs. Up to half of them go to the local
// failure domain and the rest to others. The replies tell a starting VM which
// configuration is active.
func (l *List) Join(now clock.Millis, n int) (out []Envelope) {
	near := l.sample(n/2, func(m *member) bool { return m.vm.Domain == l.self.Domain })
	far := l.sample(n, func(m *member) bool { return m.vm.Domain != l.self.Domain })
	ids := append(near, far...)
	for _, id := range ids[:min(n, len(ids))] {
		out = append(out, l.probe(now, id, "", 0))
	}
	return out
}

// Announce returns probes to all VMs that are not dead and that were heard at least
// once. They are sent before this VM stops.
func (l *List) Announce(now clock.Millis) (out []Envelope) {
	for _, id := range l.matching(mayHear) {
		out = append(out, l.probe(now, id, "", 0))
	}
	return out
}

// mayHear reports whether m is not dead and was heard at least once.
func mayHear(m *member) bool { return m.state <= Leaving && m.lastHeard != 0 }

// matching returns the identifiers of the members that satisfy keep, in order.
func (l *List) matching(keep func(*member) bool) (ids []config.VMID) {
	for id, m := range l.members {
		if keep(m) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// sample returns the identifiers of up to n random members that satisfy keep.
func (l *List) sample(n int, keep func(*member) bool) []config.VMID {
	ids := l.matching(keep)
	l.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// checkMembers declares suspects dead whose time to refute is over, and removes
// members that are neither listed nor answering.
func (l *List) checkMembers(now clock.Millis) {
	for id, m := range l.members {
		if m.state == Suspect && now-m.stateSince >= l.timers.SuspectMillis {
			l.setState(now, m, m.incarnation, Dead, m.home)
		}
		unresponsive := m.state == Dead || m.state == Unknown || m.state == Leaving && now-m.lastHeard >= l.timers.SuspectMillis
		if m.unlistedSince != 0 && unresponsive && now-m.unlistedSince >= l.timers.ForgetMillis {
			delete(l.members, id)
			l.changed = true
		}
	}
}

func (l *List) setState(now clock.Millis, m *member, inc Incarnation, state State, home bool) {
	if m.state != state || m.home != home {
		l.changed = true
		m.stateSince = now
	}
	m.incarnation, m.state, m.home, m.transmissions = inc, state, home, 0
}

// Changed reports whether a member, its state or its reachability changed since the
// last call. It does not report that SetListedVMs replaced the addresses or the
// Leaving flag of a known member, which Snapshot returns.
func (l *List) Changed() bool {
	changed := l.changed
	l.changed = false
	return changed
}

// Peer is a VM with its state as seen from this one.
type Peer struct {
	VM
	State       State       `json:"state"`
	Incarnation Incarnation `json:"incarnation"`
	Home        bool        `json:"home"`
	Reachable   bool        `json:"reachable"`
}

// Snapshot returns all VMs, including this one, in order of their identifiers.
func (l *List) Snapshot() (list []Peer) {
	list = append(list, Peer{VM: l.self, State: l.state, Incarnation: l.incarnation, Home: l.home, Reachable: true})
	for _, id := range l.matching(func(*member) bool { return true }) {
		m := l.members[id]
		list = append(list, Peer{
			VM: m.vm, State: m.state, Incarnation: m.incarnation,
			Home:      m.home && (m.state == Alive || m.state == Suspect) && !m.vm.Leaving,
			Reachable: m.failedProbes < unreachableProbes && m.state != Unknown,
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
