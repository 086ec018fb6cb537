package gossip

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// Round returns the messages of one gossip round. state describes this VM's
// replica and loads is the load that it puts on upstreams.
func (g *Group) Round(now clock.Millis, state ReplicaState, loads []Load) (out []Envelope) {
	g.rounds++
	g.expireMembers(now)
	near, far := g.targets(now)
	// A VM without living peers may have started before its seeds. Those that start
	// together need to learn soon which others there are.
	greet := g.rounds%greetEvery == 1 || len(near)+len(far) == 0 || now-g.started < startupPeriod
	var known []Peer
	if greet {
		known = g.sample(now, greetPeers)
	}
	if !g.SharesLoads(now) {
		loads = nil
	}
	heard := g.domainContacts(now)
	for i, to := range slices.Concat(near, far) {
		msg := g.message(now, state)
		msg.Loads, msg.Peers = loads, known
		if i < len(near) {
			msg.DomainContacts = heard
		}
		out = append(out, Envelope{To: to, Message: msg})
	}
	if greet {
		out = append(out, g.greet(now, state, slices.Concat(near, far), g.notAlive(now))...)
	}
	return out
}

// greet returns messages that request a reply, to a few of the VMs in silent and to
// the seeds that are not alive.
func (g *Group) greet(now clock.Millis, state ReplicaState, alive, silent []netip.AddrPort) (out []Envelope) {
	to := g.pick(silent, localFanout)
	for _, seed := range g.seeds {
		if seed != g.self.Address && !slices.Contains(to, seed) && !slices.Contains(alive, seed) {
			to = append(to, seed)
		}
	}
	for _, a := range to {
		msg := g.message(now, state)
		msg.WantsReply = true
		out = append(out, Envelope{To: a, Message: msg})
	}
	return out
}

// DisseminateUpdate returns messages about a change. The reader sends them to VMs of
// all failure domains; other VMs forward the change to a few of their own. update is
// nil if the change is too large for a message, and receivers then fetch it.
func (g *Group) DisseminateUpdate(now clock.Millis, state ReplicaState, update *replica.Update) (out []Envelope) {
	alive := g.aliveByDomain(now)
	to := g.pick(alive[g.self.Domain], updateFanout)
	if g.isReader(now) {
		near, far := g.readerTargets(now, alive)
		to = slices.Concat(near, far)
	}
	for _, to := range to {
		msg := g.message(now, state)
		msg.Update = update
		out = append(out, Envelope{To: to, Message: msg})
	}
	return out
}

func (g *Group) message(now clock.Millis, state ReplicaState) Message {
	g.seq++
	return Message{
		From: g.self, Started: g.started, Seq: g.seq, Leaving: g.leaving, Stranded: g.stranded, PublisherUnreachable: g.publisherUnreachable,
		Complete: state.Complete, Age: min(maxAge, now-state.ConfirmedAt), Reader: g.readerInfo(now), Overload: g.overload,
	}
}

// targets picks the living VMs that receive a round's messages, at random: near are
// those of the local failure domain and far the others.
func (g *Group) targets(now clock.Millis) (near, far []netip.AddrPort) {
	alive := g.aliveByDomain(now)
	if g.isReader(now) {
		return g.readerTargets(now, alive)
	}
	for _, domain := range sortedKeys(alive) {
		if domain != g.self.Domain {
			far = append(far, alive[domain]...)
		}
	}
	return g.pick(alive[g.self.Domain], localFanout), g.pick(far, remoteFanout)
}

// readerTargets picks the targets of the reader, among VMs of all failure domains.
func (g *Group) readerTargets(now clock.Millis, alive map[ident.DomainName][]netip.AddrPort) (near, far []netip.AddrPort) {
	others := len(alive)
	if len(alive[g.self.Domain]) > 0 {
		others--
	}
	each := max(readerMinPerDomain, readerRemoteFanout/max(1, others))
	for _, domain := range sortedKeys(alive) {
		if domain == g.self.Domain {
			near = g.pick(alive[domain], readerLocalFanout)
			continue
		}
		far = append(far, g.pick(alive[domain], each)...)
	}
	return near, append(far, g.mentionedTargets(now, alive, each)...)
}

// mentionedTargets picks VMs of remote failure domains with fewer than each living VMs,
// among those that other VMs mentioned within namedTimeout. In a large fleet a VM
// seldom hears each failure domain directly.
func (g *Group) mentionedTargets(now clock.Millis, alive map[ident.DomainName][]netip.AddrPort, each int) (to []netip.AddrPort) {
	mentioned := make(map[ident.DomainName][]netip.AddrPort)
	for _, m := range g.order {
		recent := now-max(m.lastHeard, m.lastMentioned) < mentionTimeout && !m.leaving
		if recent && !m.alive(now) && m.peer.Domain != g.self.Domain {
			mentioned[m.peer.Domain] = append(mentioned[m.peer.Domain], m.peer.Address)
		}
	}
	for _, domain := range sortedKeys(mentioned) {
		to = append(to, g.pick(mentioned[domain], max(0, each-len(alive[domain])))...)
	}
	return to
}

// aliveByDomain returns the addresses of the living VMs by failure domain.
func (g *Group) aliveByDomain(now clock.Millis) map[ident.DomainName][]netip.AddrPort {
	alive := make(map[ident.DomainName][]netip.AddrPort)
	for _, m := range g.order {
		if m.alive(now) {
			alive[m.peer.Domain] = append(alive[m.peer.Domain], m.peer.Address)
		}
	}
	return alive
}

// notAlive returns the addresses of the members that are not alive.
func (g *Group) notAlive(now clock.Millis) (list []netip.AddrPort) {
	for _, m := range g.order {
		if !m.alive(now) {
			list = append(list, m.peer.Address)
		}
	}
	return list
}

// sortedKeys returns the failure domains in a fixed order, so that a seed of the
// random generator always gives the same choices.
func sortedKeys(m map[ident.DomainName][]netip.AddrPort) []ident.DomainName {
	return slices.Sorted(maps.Keys(m))
}

// pick shuffles list in place and returns up to n of its first elements.
func (g *Group) pick(list []netip.AddrPort, n int) []netip.AddrPort {
	g.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// sample returns up to n living VMs, starting from a random place in the order of
// identifiers.
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
