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

// probe is a probe that waits for an answer.
type probe struct {
	to       config.VMID
	sent     clock.Millis
	indirect bool
	// origin is the VM on whose behalf the probe was sent, with its number.
	origin    config.VMID
	originSeq uint64
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

// LastProbe returns the number of the last probe sent.
func (l *List) LastProbe() uint64 { return l.seq }

// Leave tells others that this VM is about to stop.
func (l *List) Leave() {
	l.state, l.home = Leaving, false
	l.incarnation++
	l.changed = true
}

// SetConfig sets the version and digest that probes carry.
func (l *List) SetConfig(v config.Version, d config.ShortDigest) { l.version, l.digest = v, d }

// Listed takes a new list of the platform. A VM that is no longer listed is
// forgotten only once it no longer answers, since the list lags.
func (l *List) Listed(now clock.Millis, vms []VM) {
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
func (l *List) Tick(now clock.Millis) (out []Send) {
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
func (l *List) Push(now clock.Millis, n int) (out []Send) {
	ids := l.matching(func(m *member) bool { return m.state == Alive && m.vm.Domain == l.self.Domain })
	l.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(n, len(ids))] {
		out = append(out, l.probe(now, id, "", 0))
	}
	return out
}

// Greet returns probes to up to n listed VMs, those of the own failure domain
// first. A VM that starts asks them what is in force.
func (l *List) Greet(now clock.Millis, n int) (out []Send) {
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
func (l *List) Announce(now clock.Millis) (out []Send) {
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

// nextTarget takes turns over the VMs of the own failure domain, of the other
// ones and, rarely, the dead ones.
func (l *List) nextTarget() config.VMID {
	if l.rounds%deadEvery == 0 {
		dead := l.matching(func(m *member) bool { return m.state == Dead })
		if len(dead) > 0 {
			return dead[l.rng.IntN(len(dead))]
		}
	}
	remote := l.timers.RemoteEvery > 0 && l.rounds%l.timers.RemoteEvery == 0
	if id := l.fromSweep(remote); id != "" {
		return id
	}
	return l.fromSweep(!remote)
}

func (l *List) fromSweep(remote bool) config.VMID {
	for range 2 {
		for len(l.sweep[remote]) > 0 {
			id := l.sweep[remote][0]
			l.sweep[remote] = l.sweep[remote][1:]
			if m := l.members[id]; m != nil && m.state != Dead {
				return id
			}
		}
		ids := l.matching(func(m *member) bool {
			return m.state != Dead && (m.vm.Domain != l.self.Domain) == remote
		})
		l.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		l.sweep[remote] = ids
	}
	return ""
}

func (l *List) probe(now clock.Millis, to, origin config.VMID, originSeq uint64) Send {
	l.seq++
	l.probes[l.seq] = &probe{to: to, sent: now, origin: origin, originSeq: originSeq}
	return Send{To: l.members[to].vm, Msg: l.tell(to, l.message(Ping, l.seq, origin))}
}

// message builds a message with the latest news.
func (l *List) message(kind Kind, seq uint64, target config.VMID) Message {
	return Message{
		Kind: kind, From: l.self.ID, Seq: seq, Target: target,
		Self:    Update{ID: l.self.ID, Incarnation: l.incarnation, State: l.state, Home: l.home},
		Updates: l.news(), Version: l.version, Digest: l.digest,
	}
}

// tell adds what is believed of the receiver, if it must refute that.
func (l *List) tell(to config.VMID, msg Message) Message {
	if m := l.members[to]; m.state == Suspect || m.state == Dead {
		msg.Updates = append([]Update{{ID: to, Incarnation: m.incarnation, State: m.state, Home: m.home}}, msg.Updates...)
	}
	return msg
}

// news picks the statements that were passed on least. A statement is passed
// on a number of times that grows with the logarithm of the fleet.
func (l *List) news() (list []Update) {
	limit := 3
	for n := len(l.members); n > 0; n /= 2 {
		limit++
	}
	ids := l.matching(func(m *member) bool { return m.state != Unknown && m.sends < limit })
	slices.SortStableFunc(ids, func(a, b config.VMID) int { return l.members[a].sends - l.members[b].sends })
	for _, id := range ids[:min(updatesPerPacket, len(ids))] {
		m := l.members[id]
		m.sends++
		list = append(list, Update{ID: id, Incarnation: m.incarnation, State: m.state, Home: m.home})
	}
	return list
}

// checkProbes asks helpers about silent probes and suspects VMs that stay
// silent.
func (l *List) checkProbes(now clock.Millis, out []Send) []Send {
	for seq, p := range l.probes {
		m := l.members[p.to]
		switch {
		case m == nil:
			delete(l.probes, seq)
		case !p.indirect && now-p.sent >= l.timers.TimeoutMillis:
			p.indirect = true
			m.silent++
			if m.silent == silentProbes {
				l.changed = true
			}
			if p.origin == "" {
				out = l.askHelpers(p.to, seq, out)
			}
		case now-p.sent >= l.timers.TimeoutMillis+l.timers.ProbeMillis:
			delete(l.probes, seq)
			if p.origin == "" && m.state == Alive {
				l.set(now, m, m.incarnation, Suspect, m.home)
			}
		}
	}
	return out
}

func (l *List) askHelpers(about config.VMID, seq uint64, out []Send) []Send {
	ids := l.matching(func(m *member) bool { return m.state == Alive && m.vm.ID != about && m.silent == 0 })
	l.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(helpers, len(ids))] {
		out = append(out, Send{To: l.members[id].vm, Msg: l.message(PingRequest, seq, about)})
	}
	return out
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

// Receive handles a message and returns the answers. Messages of VMs that are
// not listed are ignored, and ok is false.
func (l *List) Receive(now clock.Millis, msg Message) (out []Send, ok bool) {
	m := l.members[msg.From]
	if m == nil || msg.Self.ID != msg.From {
		return nil, false
	}
	l.changed = l.changed || m.heard == 0
	m.heard = now
	l.learn(now, msg.Self)
	l.Learn(now, msg.Updates)
	switch msg.Kind {
	case Ping:
		out = append(out, Send{To: m.vm, Msg: l.tell(msg.From, l.message(Ack, msg.Seq, msg.Target))})
	case PingRequest:
		if l.members[msg.Target] != nil {
			out = append(out, l.probe(now, msg.Target, msg.From, msg.Seq))
		}
	case Ack:
		out = l.acked(msg, m, out)
	}
	return out, true
}

// acked ends a probe. An answer to a probe made for another VM is passed on.
func (l *List) acked(msg Message, from *member, out []Send) []Send {
	p := l.probes[msg.Seq]
	if p == nil {
		return out
	}
	delete(l.probes, msg.Seq)
	if p.to == msg.From && from.silent > 0 {
		l.changed = l.changed || from.silent >= silentProbes
		from.silent = 0
	}
	origin := l.members[p.origin]
	if origin == nil {
		return out
	}
	reply := l.message(Ack, p.originSeq, p.to)
	reply.Updates = append([]Update{msg.Self}, reply.Updates...)
	return append(out, Send{To: origin.vm, Msg: reply})
}

// learn takes a statement if it is newer than what is known.
func (l *List) learn(now clock.Millis, u Update) {
	if u.ID == l.self.ID {
		l.refute(u)
		return
	}
	m := l.members[u.ID]
	if m == nil {
		return
	}
	newer := u.Incarnation > m.incarnation
	worse := u.Incarnation == m.incarnation && u.State > m.state
	if newer || worse {
		l.set(now, m, u.Incarnation, u.State, u.Home)
	}
}

// refute raises the own incarnation above a false statement.
func (l *List) refute(u Update) {
	if u.Incarnation >= l.incarnation && (u.State != l.state || u.Home != l.home) {
		l.incarnation = u.Incarnation + 1
	}
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

// Updates returns what is believed of all VMs, self included, for a VM that
// starts.
func (l *List) Updates() (list []Update) {
	list = append(list, Update{ID: l.self.ID, Incarnation: l.incarnation, State: l.state, Home: l.home})
	for _, id := range l.matching(func(m *member) bool { return m.state != Unknown }) {
		m := l.members[id]
		list = append(list, Update{ID: id, Incarnation: m.incarnation, State: m.state, Home: m.home})
	}
	return list
}

// Learn takes what another VM believes of all.
func (l *List) Learn(now clock.Millis, list []Update) {
	for _, u := range list {
		l.learn(now, u)
	}
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
