package gossip

import (
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

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
