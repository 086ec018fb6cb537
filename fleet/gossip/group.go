package gossip

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	// nearEach and farEach bound the messages of a round to VMs of the own and of
	// all other failure domains, newsEach those about a change to the own one. The
	// reader sends readerNear and readerFar, the latter shared out among the
	// failure domains, of which each gets two at least.
	nearEach   = 4
	farEach    = 1
	newsEach   = 5
	readerNear = 8
	readerFar  = 8
	farLeast   = 2
	// knownEach is the number of other VMs that a greeting names, and
	// knownFirst the number that the answer to a greeting names.
	knownEach  = 4
	knownFirst = 16
	// aliveFor is how long a VM counts as alive after its last message.
	aliveFor = 2 * clock.Second
	// namedFor is how long a VM that was heard or named may be told of news.
	namedFor = 10 * clock.Second
	// silentEvery makes each n-th round greet VMs that are not alive.
	silentEvery = 4
	// forgetAfter is how long a silent VM counts as a member. Until then it
	// may run behind a partition and use its share of cold upstreams.
	forgetAfter = 60 * clock.Second
	// loadsUpTo is the largest number of living VMs that tell each other their
	// loads. Among more, a VM would hear too few of them for a sum; there, what
	// each spreads evenly by itself adds up evenly.
	loadsUpTo = 16
	// loadLife is how long a reported load is believed.
	loadLife clock.Millis = 1500
	// maxAge bounds the age that messages tell.
	maxAge = 60 * clock.Second
)

// member is what is known of another VM.
type member struct {
	peer     Peer
	started  clock.Millis
	number   uint64
	heard    clock.Millis // 0 if it never spoke to this VM
	named    clock.Millis // last time that another VM named it
	leaving  bool
	stranded bool
	failing  bool
	copy     ReplicaState
	loads    []Load
}

// Group is one VM's knowledge of the others. It is not safe for concurrent use.
type Group struct {
	self    Peer
	started clock.Millis
	number  uint64
	rng     *rand.Rand
	seeds   []netip.AddrPort
	members map[ident.VMID]*member
	order   []*member // by identifier, so that every run does the same
	rounds  int
	leaving bool
	// stranded is what this VM tells of itself.
	stranded bool
	// failing tells that this VM cannot read.
	failing bool
	reader  reader
	// heard is when a VM of the own failure domain last heard each other one.
	heard map[ident.DomainName]clock.Millis
}

// New returns the group of a VM that starts at now and knows only its seeds.
func New(now clock.Millis, self Peer, seeds []netip.AddrPort, seed uint64) *Group {
	return &Group{
		self:    self,
		started: now,
		rng:     rand.New(rand.NewPCG(seed, uint64(now))),
		seeds:   seeds,
		members: make(map[ident.VMID]*member),
		heard:   make(map[ident.DomainName]clock.Millis),
	}
}

// SetSeeds replaces the seeds.
func (g *Group) SetSeeds(seeds []netip.AddrPort) { g.seeds = seeds }

// SetStranded sets whether this VM reaches neither another failure domain nor an
// upstream, which it tells the others.
func (g *Group) SetStranded(stranded bool) { g.stranded = stranded }

// Leave tells the others from now on that this VM stops.
func (g *Group) Leave() { g.leaving = true }

// add makes a VM a member.
func (g *Group) add(id ident.VMID, m *member) {
	g.members[id] = m
	at, _ := slices.BinarySearchFunc(g.order, id, compareID)
	g.order = slices.Insert(g.order, at, m)
}

func compareID(m *member, id ident.VMID) int { return cmp.Compare(m.peer.ID, id) }

func (m *member) alive(now clock.Millis) bool {
	return m.heard != 0 && now-m.heard < aliveFor && !m.leaving
}

// Receive takes a message and returns the answers to it.
func (g *Group) Receive(now clock.Millis, msg *Message, held ReplicaState) (out []Envelope) {
	if msg.From.ID == g.self.ID || msg.From.ID == "" || !msg.From.Address.IsValid() {
		return nil
	}
	m := g.members[msg.From.ID]
	if m == nil {
		m = &member{peer: msg.From}
		g.add(msg.From.ID, m)
	}
	if msg.Started < m.started || msg.Started == m.started && msg.Seq <= m.number {
		return nil // a late message, or of the VM's last process
	}
	first := m.heard == 0
	m.peer, m.started, m.number = msg.From, msg.Started, msg.Seq
	m.heard, m.leaving, m.stranded, m.failing = now, msg.Leaving, msg.Stranded, msg.PublisherUnreachable
	g.hearOfReader(now, msg)
	g.hearOfDomains(now, msg)
	m.copy = ReplicaState{Complete: msg.Complete, ConfirmedAt: now - max(0, msg.Age)}
	if msg.Loads != nil {
		m.loads = msg.Loads
	}
	for _, p := range msg.Peers {
		if to, ok := g.learn(now, p); ok {
			question := g.message(now, held)
			question.WantsReply = true
			out = append(out, Envelope{To: to, Message: question})
		}
	}
	if msg.WantsReply || first {
		answer := g.message(now, held)
		answer.Peers = g.sample(now, knownFirst)
		out = append(out, Envelope{To: msg.From.Address, Message: answer})
	}
	return out
}

// learn takes note of a VM that another one named. It returns the address of a
// VM not known before, which is greeted at once.
func (g *Group) learn(now clock.Millis, p Peer) (to netip.AddrPort, unknown bool) {
	if p.ID == g.self.ID || p.ID == "" || !p.Address.IsValid() {
		return to, false
	}
	if m := g.members[p.ID]; m != nil {
		m.named = now
		return to, false
	}
	g.add(p.ID, &member{peer: p, named: now})
	return p.Address, true
}

func (g *Group) forget(now clock.Millis) {
	g.order = slices.DeleteFunc(g.order, func(m *member) bool {
		old := now-max(m.heard, m.named) > forgetAfter
		if old {
			delete(g.members, m.peer.ID)
		}
		return old
	})
}
