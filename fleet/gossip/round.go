package gossip

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// Round returns the messages of one round.
func (g *Group) Round(now clock.Millis, held ReplicaState, loads []Load) (out []Envelope) {
	g.rounds++
	g.forget(now)
	near, far := g.targets(now)
	// A VM that hears nobody may have started before its seeds.
	greet := g.rounds%silentEvery == 1 || len(near)+len(far) == 0
	var known []Peer
	if greet {
		known = g.sample(now, knownEach)
	}
	if !g.SharesLoads(now) {
		loads = nil
	}
	heard := g.heardNow(now)
	for i, to := range slices.Concat(near, far) {
		msg := g.message(now, held)
		msg.Loads, msg.Peers = loads, known
		if i < len(near) {
			msg.DomainContacts = heard
		}
		out = append(out, Envelope{To: to, Message: msg})
	}
	if greet {
		out = append(out, g.greet(now, held, slices.Concat(near, far), g.silent(now))...)
	}
	return out
}

// greet returns questions to VMs that are not heard and to the seeds.
func (g *Group) greet(now clock.Millis, held ReplicaState, alive, silent []netip.AddrPort) (out []Envelope) {
	to := g.pick(silent, nearEach)
	for _, seed := range g.seeds {
		if seed != g.self.Address && !slices.Contains(to, seed) && !slices.Contains(alive, seed) {
			to = append(to, seed)
		}
	}
	for _, a := range to {
		msg := g.message(now, held)
		msg.WantsReply = true
		out = append(out, Envelope{To: a, Message: msg})
	}
	return out
}

// DisseminateUpdate returns messages about a change. The reader tells VMs of all failure
// domains, the others pass on to a few of their own what they heard.
func (g *Group) DisseminateUpdate(now clock.Millis, held ReplicaState, news *replica.Update) (out []Envelope) {
	alive := g.living(now)
	to := g.pick(alive[g.self.Domain], newsEach)
	if g.isReader(now) {
		near, far := g.readerTargets(now, alive)
		to = slices.Concat(near, far)
	}
	for _, to := range to {
		msg := g.message(now, held)
		msg.Update = news
		out = append(out, Envelope{To: to, Message: msg})
	}
	return out
}

func (g *Group) message(now clock.Millis, held ReplicaState) Message {
	g.number++
	return Message{
		From: g.self, Started: g.started, Seq: g.number, Leaving: g.leaving, Stranded: g.stranded, PublisherUnreachable: g.failing,
		Complete: held.Complete, Age: min(maxAge, now-held.ConfirmedAt), Reader: g.readerNow(now),
	}
}

// targets picks the living VMs that a round goes to, at random: those of the own
// failure domain, and others.
func (g *Group) targets(now clock.Millis) (near, far []netip.AddrPort) {
	alive := g.living(now)
	if g.isReader(now) {
		return g.readerTargets(now, alive)
	}
	for _, domain := range sortedKeys(alive) {
		if domain != g.self.Domain {
			far = append(far, alive[domain]...)
		}
	}
	return g.pick(alive[g.self.Domain], nearEach), g.pick(far, farEach)
}

// readerTargets picks VMs of all failure domains.
func (g *Group) readerTargets(now clock.Millis, alive map[ident.DomainName][]netip.AddrPort) (near, far []netip.AddrPort) {
	others := len(alive)
	if len(alive[g.self.Domain]) > 0 {
		others--
	}
	each := max(farLeast, readerFar/max(1, others))
	for _, domain := range sortedKeys(alive) {
		if domain == g.self.Domain {
			near = g.pick(alive[domain], readerNear)
			continue
		}
		far = append(far, g.pick(alive[domain], each)...)
	}
	return near, append(far, g.namedTargets(now, alive, each)...)
}

// namedTargets picks VMs of the failure domains of which fewer than each are
// heard, among those that others named lately: a VM of a large fleet hears each
// failure domain seldom.
func (g *Group) namedTargets(now clock.Millis, alive map[ident.DomainName][]netip.AddrPort, each int) (to []netip.AddrPort) {
	named := make(map[ident.DomainName][]netip.AddrPort)
	for _, m := range g.order {
		recent := now-max(m.heard, m.named) < namedFor && !m.leaving
		if recent && !m.alive(now) && m.peer.Domain != g.self.Domain {
			named[m.peer.Domain] = append(named[m.peer.Domain], m.peer.Address)
		}
	}
	for _, domain := range sortedKeys(named) {
		to = append(to, g.pick(named[domain], max(0, each-len(alive[domain])))...)
	}
	return to
}

// living returns the addresses of the VMs that are heard, by failure domain.
func (g *Group) living(now clock.Millis) map[ident.DomainName][]netip.AddrPort {
	alive := make(map[ident.DomainName][]netip.AddrPort)
	for _, m := range g.order {
		if m.alive(now) {
			alive[m.peer.Domain] = append(alive[m.peer.Domain], m.peer.Address)
		}
	}
	return alive
}

// silent returns the addresses of the VMs that are not heard.
func (g *Group) silent(now clock.Millis) (list []netip.AddrPort) {
	for _, m := range g.order {
		if !m.alive(now) {
			list = append(list, m.peer.Address)
		}
	}
	return list
}

// sortedKeys returns the failure domains in an order that is always the same, so
// that a seed gives the same choices.
func sortedKeys(m map[ident.DomainName][]netip.AddrPort) []ident.DomainName {
	return slices.Sorted(maps.Keys(m))
}

func (g *Group) pick(list []netip.AddrPort, n int) []netip.AddrPort {
	g.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

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
