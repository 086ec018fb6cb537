package capacity

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	// suspicionRound is the period at which VMs report silent upstreams.
	suspicionRound clock.Millis = 50
	// domainVMs is the number of VMs per failure domain at the target size.
	domainVMs = 59
)

// measureSuspicions measures the traffic among VMs of a failure domain about
// single stalled flows, most of which are due to lost packets.
func measureSuspicions() []Row {
	sent := Row{Role: entryRole, Quantity: "word of lost packets, 59 VMs in a failure domain", Unit: "B/s", ScaledBy: "losses a second"}
	busy := Row{Role: entryRole, Quantity: "word of lost packets", Unit: "% of a core", ScaledBy: "losses a second"}
	groups, order := convergedDomain(domainVMs)
	for _, n := range []int{10, 50, 200, 1000} {
		bytes, share := suspicionCost(groups, order, n)
		sent.Sizes, sent.Values = append(sent.Sizes, n), append(sent.Values, bytes)
		busy.Sizes, busy.Values = append(busy.Sizes, n), append(busy.Values, share)
	}
	return []Row{sent, busy}
}

// convergedDomain returns the gossip groups of n VMs of one failure domain after
// they have converged, at the time at which
// suspicionCost starts.
func convergedDomain(n int) (groups map[netip.AddrPort]*gossip.Group, order []netip.AddrPort) {
	groups = make(map[netip.AddrPort]*gossip.Group, n)
	now := clock.Millis(1000)
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		order = append(order, address)
		self := gossip.Peer{ID: ident.VMID(address.String()), Domain: "d0", Region: "r", Address: address}
		groups[address] = gossip.New(now, self, order[:1], uint64(i))
	}
	for range 20 {
		now += gossipRound
		for _, a := range order {
			for out := groups[a].Round(now, gossip.ReplicaState{}, nil); len(out) > 0; out = out[1:] {
				if to := groups[out[0].To]; to != nil {
					out = append(out, to.Receive(now, &out[0].Message, gossip.ReplicaState{})...)
				}
			}
		}
	}
	return groups, order
}

// suspicionCost returns the bytes per second that each VM sends, and the share of a
// core in percent that sending and receiving take.
func suspicionCost(groups map[netip.AddrPort]*gossip.Group, order []netip.AddrPort, lossesPerSecond int) (bytesPerSecond, percent float64) {
	const rounds = 20
	now := clock.Millis(1000) + 20*gossipRound
	total, token := 0, catalog.Token(1)
	begun := time.Now()
	for i := range lossesPerSecond * int(rounds*suspicionRound) / int(clock.Second) {
		token = token*1664525 + 1013904223
		one := []gossip.Suspicion{{Token: token, Answered: true, AnsweredAge: 300, Stalls: []gossip.Stall{{Flow: gossip.FlowTag(i), Age: 200}}}}
		for _, s := range groups[order[i%len(order)]].DisseminateSuspicions(now, gossip.ReplicaState{}, one, forward.Aggregators) {
			data, err := cbor.Marshal(&s.Message)
			if err != nil {
				panic(err) // Messages always encode.
			}
			total += len(data) + datagramOverhead
			var msg gossip.Message
			if cbor.Unmarshal(data, &msg) == nil {
				groups[s.To].Receive(now, &msg, gossip.ReplicaState{})
			}
		}
	}
	seconds := (rounds * suspicionRound).Seconds()
	return float64(total) / float64(len(order)) / seconds, 100 * time.Since(begun).Seconds() / float64(len(order)) / seconds
}
