package gossip

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/vmload"
)

const (
	// localFanout and remoteFanout are the numbers of messages per round to VMs of
	// the local failure domain and of all other ones together; updateFanout is the
	// number of messages about a change, which go to the local failure domain. The
	// reader, the elected VM that watches the publisher for the region, sends
	// readerLocalFanout and readerRemoteFanout instead. It divides the latter among
	// the other failure domains, with at least readerMinPerDomain each.
	localFanout        = 4
	remoteFanout       = 1
	updateFanout       = 5
	readerLocalFanout  = 8
	readerRemoteFanout = 8
	readerMinPerDomain = 2
	// greetPeers is the number of peers listed in each message to a living VM in a
	// greeting round, and replyPeers the number listed in a reply.
	greetPeers = 4
	replyPeers = 16
	// aliveTimeout is the time after its last message for which a VM counts as alive.
	aliveTimeout = 2 * clock.Second
	// mentionTimeout is the time for which the reader may send messages to a VM that
	// is not alive, after its last message or its last mention in a peer list.
	mentionTimeout = 10 * clock.Second
	// greetEvery makes every n-th round greet VMs that are not alive. During
	// startupPeriod after its start a VM does so in each round.
	greetEvery    = 4
	startupPeriod = 2 * clock.Second
	// memberTimeout is the time after its last message or mention for which a VM
	// stays a member. Until then it may be running behind a partition and use its
	// share of the rate of upstreams in slow start.
	memberTimeout = 60 * clock.Second
	// maxVMsSharingLoads is the largest number of living VMs that report their loads
	// to each other. In a larger fleet a VM would hear too few of the others to add
	// up their loads, and the flows that each VM balances by itself are balanced in
	// sum.
	maxVMsSharingLoads = 16
	// loadTimeout is the time for which a reported load is valid.
	loadTimeout clock.Millis = 1500
	// maxAge is the largest age that a message reports.
	maxAge = 60 * clock.Second
)

// member holds the state known of another VM.
type member struct {
	peer                 Peer
	started              clock.Millis
	lastSeq              uint64
	lastHeard            clock.Millis // 0 if no message from it has arrived
	lastMentioned        clock.Millis // last mention in the peer list of another VM
	leaving              bool
	stranded             bool
	publisherUnreachable bool
	overload             vmload.State
	replica              ReplicaState
	loads                []Load
	report               Report // the newest one, received at reportedAt
	reportedAt           clock.Millis
}

// Group holds one VM's view of the others. It is not safe for concurrent use.
type Group struct {
	self    Peer
	started clock.Millis
	// contactAt is when the first message from another VM arrived, 0 if none has.
	contactAt clock.Millis
	seq       uint64
	rng       *rand.Rand
	seeds     []netip.AddrPort
	members   map[ident.VMID]*member
	order     []*member // sorted by identifier, so that runs are reproducible
	rounds    int
	leaving   bool
	stranded  bool
	// publisherUnreachable is set while the publisher does not answer this VM.
	publisherUnreachable bool
	overload             vmload.State
	reader               reader
	// domainHeard is when any VM of the local failure domain last received a
	// message from each other failure domain.
	domainHeard map[ident.DomainName]clock.Millis
}

// New returns the group of a VM that starts at now and knows only its seeds. The
// random choices of the group follow from seed and now.
func New(now clock.Millis, self Peer, seeds []netip.AddrPort, seed uint64) *Group {
	return &Group{
		self:        self,
		started:     now,
		rng:         rand.New(rand.NewPCG(seed, uint64(now))),
		seeds:       seeds,
		members:     make(map[ident.VMID]*member),
		domainHeard: make(map[ident.DomainName]clock.Millis),
	}
}

// SetSeeds replaces the seeds.
func (g *Group) SetSeeds(seeds []netip.AddrPort) { g.seeds = seeds }

// SetStranded sets whether this VM reaches neither another failure domain nor an
// upstream. Messages report it to the others.
func (g *Group) SetStranded(stranded bool) { g.stranded = stranded }

// Leave marks this VM as stopping in all further messages.
func (g *Group) Leave() { g.leaving = true }

func (g *Group) add(id ident.VMID, m *member) {
	g.members[id] = m
	at, _ := slices.BinarySearchFunc(g.order, id, compareID)
	g.order = slices.Insert(g.order, at, m)
}

func compareID(m *member, id ident.VMID) int { return cmp.Compare(m.peer.ID, id) }

func (m *member) alive(now clock.Millis) bool {
	return m.lastHeard != 0 && now-m.lastHeard < aliveTimeout && !m.leaving
}

// Receive handles a message and returns the messages to send in response. state
// describes this VM's replica.
func (g *Group) Receive(now clock.Millis, msg *Message, state ReplicaState) (out []Envelope) {
	if msg.From.ID == g.self.ID || msg.From.ID == "" || !msg.From.Address.IsValid() {
		return nil
	}
	m := g.members[msg.From.ID]
	if m == nil {
		m = &member{peer: msg.From}
		g.add(msg.From.ID, m)
	}
	if msg.Started < m.started || msg.Started == m.started && msg.Seq <= m.lastSeq {
		return nil // reordered, or from an earlier process of the VM
	}
	if g.contactAt == 0 {
		g.contactAt = now
	}
	firstMessage := m.lastHeard == 0
	m.peer, m.started, m.lastSeq = msg.From, msg.Started, msg.Seq
	m.lastHeard, m.leaving, m.stranded, m.publisherUnreachable = now, msg.Leaving, msg.Stranded, msg.PublisherUnreachable
	m.overload = msg.Overload
	g.mergeReader(now, msg)
	g.mergeDomainContacts(now, msg)
	m.replica = ReplicaState{Complete: msg.Complete, ConfirmedAt: now - max(0, msg.Age)}
	if msg.Loads != nil {
		m.loads = msg.Loads
	}
	for _, p := range msg.Peers {
		if to, ok := g.addPeer(now, p); ok {
			request := g.message(now, state)
			request.WantsReply = true
			out = append(out, Envelope{To: to, Message: request})
		}
	}
	if msg.WantsReply || firstMessage {
		reply := g.message(now, state)
		reply.Peers = g.sample(now, replyPeers)
		out = append(out, Envelope{To: msg.From.Address, Message: reply})
	}
	return out
}

// addPeer records a VM that another one mentioned. If the VM was unknown, addPeer
// returns its address, so that the caller can greet it at once.
func (g *Group) addPeer(now clock.Millis, p Peer) (to netip.AddrPort, added bool) {
	if p.ID == g.self.ID || p.ID == "" || !p.Address.IsValid() {
		return to, false
	}
	if m := g.members[p.ID]; m != nil {
		m.lastMentioned = now
		return to, false
	}
	g.add(p.ID, &member{peer: p, lastMentioned: now})
	return p.Address, true
}

func (g *Group) expireMembers(now clock.Millis) {
	g.order = slices.DeleteFunc(g.order, func(m *member) bool {
		expired := now-max(m.lastHeard, m.lastMentioned) > memberTimeout
		if expired {
			delete(g.members, m.peer.ID)
		}
		return expired
	})
}
