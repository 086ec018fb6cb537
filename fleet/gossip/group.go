package gossip

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

const (
	// nearEach and farEach bound the messages of a round to VMs of the own
	// and of other failure domains, and readerEach those of the reader.
	nearEach   = 4
	farEach    = 1
	readerEach = 8
	// knownEach is the number of other VMs that a greeting names, and
	// knownFirst the number that the answer to a greeting names.
	knownEach  = 4
	knownFirst = 16
	// aliveFor is how long a VM counts as alive after its last message.
	aliveFor = 2 * clock.Second
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
	copy     Copy
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
}

// New returns the group of a VM that starts at now and knows only its seeds.
func New(now clock.Millis, self Peer, seeds []netip.AddrPort, seed uint64) *Group {
	return &Group{
		self:    self,
		started: now,
		rng:     rand.New(rand.NewPCG(seed, uint64(now))),
		seeds:   seeds,
		members: make(map[ident.VMID]*member),
	}
}

// SetSeeds replaces the seeds.
func (g *Group) SetSeeds(seeds []netip.AddrPort) { g.seeds = seeds }

// SetStranded sets whether this VM reaches neither another failure domain nor an
// upstream, which it tells the others.
func (g *Group) SetStranded(stranded bool) { g.stranded = stranded }

// NearStranded reports whether all living VMs of the own failure domain, of
// which there is one at least, say that they are stranded.
func (g *Group) NearStranded(now clock.Millis) bool {
	heard := false
	for _, m := range g.order {
		if m.peer.Domain != g.self.Domain || !m.alive(now) {
			continue
		}
		if !m.stranded {
			return false
		}
		heard = true
	}
	return heard
}

// Leave tells the others from now on that this VM stops.
func (g *Group) Leave() { g.leaving = true }

// Round returns the messages of one round.
func (g *Group) Round(now clock.Millis, held Copy, loads []Load) (out []Send) {
	g.rounds++
	g.forget(now)
	rank := g.Rank(now)
	greet := g.rounds%silentEvery == 1
	var known []Peer
	if greet {
		known = g.sample(now, knownEach)
	}
	if !g.TellsLoads(now) {
		loads = nil
	}
	alive, silent := g.targets(now, rank == 0)
	for _, to := range alive {
		msg := g.message(now, held)
		msg.Loads, msg.Known = loads, known
		out = append(out, Send{To: to, Message: msg})
	}
	if greet {
		out = append(out, g.greet(now, held, alive, silent)...)
	}
	return out
}

// greet returns questions to VMs that are not heard and to the seeds.
func (g *Group) greet(now clock.Millis, held Copy, alive, silent []netip.AddrPort) (out []Send) {
	to := g.pick(silent, nearEach)
	for _, seed := range g.seeds {
		if seed != g.self.Address && !slices.Contains(to, seed) && !slices.Contains(alive, seed) {
			to = append(to, seed)
		}
	}
	for _, a := range to {
		msg := g.message(now, held)
		msg.Asks = true
		out = append(out, Send{To: a, Message: msg})
	}
	return out
}

// News returns messages about a change. The reader tells as many VMs as it
// may, the others pass on to a few what they heard.
func (g *Group) News(now clock.Millis, held Copy, news *replica.Update) (out []Send) {
	rank := g.Rank(now)
	alive, _ := g.targets(now, rank == 0)
	for _, to := range alive {
		msg := g.message(now, held)
		msg.News = news
		out = append(out, Send{To: to, Message: msg})
	}
	return out
}

func (g *Group) message(now clock.Millis, held Copy) Message {
	g.number++
	return Message{
		From: g.self, Started: g.started, Number: g.number, Leaving: g.leaving, Stranded: g.stranded,
		Complete: held.Complete, Age: min(maxAge, now-held.ConfirmedAt),
	}
}

// targets picks living VMs at random, and returns all silent ones.
func (g *Group) targets(now clock.Millis, reader bool) (alive, silent []netip.AddrPort) {
	var near, far []netip.AddrPort
	for _, m := range g.order {
		switch {
		case !m.alive(now):
			silent = append(silent, m.peer.Address)
		case m.peer.Domain == g.self.Domain:
			near = append(near, m.peer.Address)
		default:
			far = append(far, m.peer.Address)
		}
	}
	if reader {
		return append(g.pick(near, readerEach), g.pick(far, readerEach)...), silent
	}
	return append(g.pick(near, nearEach), g.pick(far, farEach)...), silent
}

// Rank returns the place of this VM among the living VMs of its region, 0 for
// the reader, which follows the publisher for all of them. VMs that are cut off
// from each other have a reader each.
func (g *Group) Rank(now clock.Millis) (rank int) {
	own := readerWeight(g.self.ID)
	for id, m := range g.members {
		if m.peer.Region != g.self.Region || !m.alive(now) {
			continue
		}
		if w := readerWeight(id); w > own || w == own && id < g.self.ID {
			rank++
		}
	}
	return rank
}

// readerWeight orders VMs alike on all of them.
func readerWeight(id ident.VMID) uint64 { return xxhash.Sum64String(string(id)) }

func (g *Group) pick(list []netip.AddrPort, n int) []netip.AddrPort {
	g.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// add makes a VM a member.
func (g *Group) add(id ident.VMID, m *member) {
	g.members[id] = m
	at, _ := slices.BinarySearchFunc(g.order, id, compareID)
	g.order = slices.Insert(g.order, at, m)
}

func compareID(m *member, id ident.VMID) int { return cmp.Compare(m.peer.ID, id) }

// sample names up to n VMs that spoke to this one lately, from a random place
// in the order on.
func (g *Group) sample(now clock.Millis, n int) (known []Peer) {
	if len(g.order) == 0 {
		return nil
	}
	start := g.rng.IntN(len(g.order))
	for i := range g.order {
		if m := g.order[(start+i)%len(g.order)]; m.alive(now) {
			known = append(known, m.peer)
		}
		if len(known) == n {
			break
		}
	}
	return known
}

func (m *member) alive(now clock.Millis) bool {
	return m.heard != 0 && now-m.heard < aliveFor && !m.leaving
}

// Receive takes a message and returns the answers to it.
func (g *Group) Receive(now clock.Millis, msg *Message, held Copy) (out []Send) {
	if msg.From.ID == g.self.ID || msg.From.ID == "" || !msg.From.Address.IsValid() {
		return nil
	}
	m := g.members[msg.From.ID]
	if m == nil {
		m = &member{peer: msg.From}
		g.add(msg.From.ID, m)
	}
	if msg.Started < m.started || msg.Started == m.started && msg.Number <= m.number {
		return nil // a late message, or of the VM's last process
	}
	first := m.heard == 0
	m.peer, m.started, m.number = msg.From, msg.Started, msg.Number
	m.heard, m.leaving, m.stranded = now, msg.Leaving, msg.Stranded
	m.copy = Copy{Complete: msg.Complete, ConfirmedAt: now - max(0, msg.Age)}
	if msg.Loads != nil {
		m.loads = msg.Loads
	}
	for _, p := range msg.Known {
		if to, ok := g.learn(now, p); ok {
			question := g.message(now, held)
			question.Asks = true
			out = append(out, Send{To: to, Message: question})
		}
	}
	if msg.Asks || first {
		answer := g.message(now, held)
		answer.Known = g.sample(now, knownFirst)
		out = append(out, Send{To: msg.From.Address, Message: answer})
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

// VMs returns the VMs that are or lately were members, self included.
func (g *Group) VMs() []ident.VMID {
	ids := make([]ident.VMID, 0, len(g.order)+1)
	for _, m := range g.order {
		ids = append(ids, m.peer.ID)
	}
	at, _ := slices.BinarySearch(ids, g.self.ID)
	return slices.Insert(ids, at, g.self.ID)
}

// Alive returns the VMs that spoke to this one lately.
func (g *Group) Alive(now clock.Millis) (peers []Peer) {
	for _, m := range g.order {
		if m.alive(now) {
			peers = append(peers, m.peer)
		}
	}
	return peers
}

// Heard returns when a VM of each other failure domain was last heard.
func (g *Group) Heard() map[ident.DomainName]clock.Millis {
	heard := make(map[ident.DomainName]clock.Millis)
	for _, m := range g.members {
		if m.heard != 0 && m.peer.Domain != g.self.Domain {
			heard[m.peer.Domain] = max(heard[m.peer.Domain], m.heard)
		}
	}
	return heard
}

// Ahead returns a living VM that holds a higher revision than complete, one
// of the own failure domain if there is any.
func (g *Group) Ahead(now clock.Millis, complete replica.Revision) (p Peer, ok bool) {
	var near, far []Peer
	for _, m := range g.order {
		switch {
		case m.copy.Complete <= complete || !m.alive(now):
		case m.peer.Domain == g.self.Domain:
			near = append(near, m.peer)
		default:
			far = append(far, m.peer)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return p, false
	}
	return near[g.rng.IntN(len(near))], true
}

// ConfirmedAt returns when a copy that is complete up to the given revision was
// last confirmed to be so, as far as other VMs tell.
func (g *Group) ConfirmedAt(complete replica.Revision) (at clock.Millis) {
	for _, m := range g.members {
		if m.heard != 0 && m.copy.Complete != 0 && m.copy.Complete <= complete {
			at = max(at, m.copy.ConfirmedAt)
		}
	}
	return at
}

// TellsLoads reports whether the VMs are few enough to tell each other their
// loads.
func (g *Group) TellsLoads(now clock.Millis) bool {
	alive := 1
	for _, m := range g.order {
		if m.alive(now) {
			alive++
		}
	}
	return alive <= loadsUpTo
}

// Others returns the load that the other VMs reported lately.
func (g *Group) Others(now clock.Millis) map[catalog.Token]Load {
	sums := make(map[catalog.Token]Load)
	for _, m := range g.members {
		if m.heard == 0 || now-m.heard > loadLife {
			continue
		}
		for _, l := range m.loads {
			s := sums[l.Token]
			s.Steady += l.Steady
			s.Busy += l.Busy
			sums[l.Token] = s
		}
	}
	return sums
}
