package capacity

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
	"unsafe"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

const (
	entryRole = "entry daemon"
	// upstreamsPerService is the number of upstreams per service at the target
	// size.
	upstreamsPerService = 13
	// valueBytes is the approximate size of the record that an upstream publishes.
	valueBytes               = 170
	gossipRound clock.Millis = 250
)

// entryService returns the address of the n-th service.
func entryService(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(n >> 8), byte(n)}), 443)
}

// entryItems returns the published items of a configuration and of the given
// number of upstreams, each under its own key.
func entryItems(upstreams int) []replica.Item {
	items := []replica.Item{{Key: "config", Revision: 1, Created: 1}}
	for i := range upstreams {
		items = append(items, replica.Item{
			Key: replica.Key(fmt.Sprintf("upstreams/%010x", i)), Value: make([]byte, valueBytes),
			Revision: replica.Revision(i + 2), Created: replica.Revision(i + 2),
		})
	}
	return items
}

// itemDecoder returns a decoder of the items that entryItems returns.
func itemDecoder(services, each int) catalog.Decode {
	return func(item replica.Item) (c catalog.Change, err error) {
		if item.Key == "config" {
			c.Config = &catalog.Config{}
			for s := range services {
				name := ident.ServiceName(fmt.Sprint("s", s))
				c.Config.Services = append(c.Config.Services, catalog.Service{Name: name})
				c.Config.Routes = append(c.Config.Routes, catalog.Route{Address: entryService(s), Targets: []catalog.Target{{Service: name, Weight: 1}}})
			}
			return c, nil
		}
		i := int(item.Revision - 2)
		c.Upstream = &catalog.Upstream{
			ID: catalog.UpstreamID(item.Key), EncapID: catalog.EncapID(i), Service: ident.ServiceName(fmt.Sprint("s", i/each)),
			Domain: ident.DomainName(fmt.Sprintf("d%d", i%domainCount)), Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80),
		}
		return c, nil
	}
}

// entryBuilder returns a catalog builder with the given number of upstreams,
// each per service.
func entryBuilder(upstreams, each int) *catalog.Builder {
	services := (upstreams + each - 1) / each
	b := catalog.NewBuilder(itemDecoder(services, each), func(replica.Item, error) {}, 0)
	b.Apply(0, entryItems(upstreams), false)
	return b
}

func openingPacket(i, service int) forward.Packet {
	return forward.Packet{
		Caller:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}), 1024),
		Destination: entryService(service), Opening: true, Seq: uint32(i),
	}
}

// MeasureEntryDaemon measures the entry daemon on platforms whose packets carry
// a token of their upstream.
func MeasureEntryDaemon() []Row {
	return slices.Concat(measureForwarding(), measureCatalogs(), measureGossip(), measureSuspicions())
}

func measureForwarding() []Row {
	memory := Row{Role: entryRole, Quantity: "memory of remembered flows", Unit: "MB", ScaledBy: "flows"}
	follow := Row{Role: entryRole, Quantity: "following a packet", Unit: "ns", ScaledBy: "flows"}
	for _, n := range []int{1000, 10_000, 100_000} {
		e := forward.New("vm", "d0")
		e.SetCatalog(entryBuilder(upstreamsPerService, upstreamsPerService).Build(1))
		before := heapInUse()
		packets := make([]forward.Packet, n)
		for i := range packets {
			p := openingPacket(i, 0)
			d := e.Handle(1, &p)
			p.Opening, p.Token, p.Bytes = false, d.Token, 100
			packets[i] = p
		}
		size := heapInUse() - before - uint64(n)*uint64(packetBytes)
		const rounds = 300_000
		begun := time.Now()
		for i := range rounds {
			p := &packets[i%n]
			p.Ack++
			e.Handle(2, p)
		}
		took := time.Since(begun)
		memory.Sizes, memory.Values = append(memory.Sizes, n), append(memory.Values, float64(size)/1e6)
		follow.Sizes, follow.Values = append(follow.Sizes, n), append(follow.Values, float64(took.Nanoseconds())/rounds)
	}
	return []Row{memory, follow}
}

// packetBytes is the size of a forward.Packet in memory. measureForwarding
// subtracts it from the heap growth.
const packetBytes = unsafe.Sizeof(forward.Packet{})

func measureCatalogs() []Row {
	build := Row{Role: entryRole, Quantity: "taking a change", Unit: "ms", ScaledBy: "upstreams"}
	memory := Row{Role: entryRole, Quantity: "memory of the copy and the catalog", Unit: "MB", ScaledBy: "upstreams"}
	place := Row{Role: entryRole, Quantity: "placing a flow, all upstreams in one service", Unit: "µs", ScaledBy: "upstreams"}
	for _, n := range []int{14, 200, 1000, 3300} {
		before := heapInUse()
		r := replica.New()
		r.Apply(0, replica.Update{Full: true, Complete: 1, Items: entryItems(n)})
		b := entryBuilder(n, upstreamsPerService)
		e := forward.New("vm", "d0")
		e.SetCatalog(b.Build(1))
		size := heapInUse() - before
		begun := time.Now()
		const changes = 20
		for range changes {
			e.SetCatalog(b.Build(2))
		}
		took := time.Since(begun)
		one := forward.New("vm", "d0")
		one.SetCatalog(entryBuilder(n, n).Build(1))
		begun = time.Now()
		const flows = 3000
		for i := range flows {
			p := openingPacket(i, 0)
			one.Handle(1, &p)
		}
		placed := time.Since(begun)
		for _, m := range []struct {
			row   *Row
			value float64
		}{
			{&build, took.Seconds() * 1000 / changes},
			{&memory, float64(size) / 1e6},
			{&place, placed.Seconds() * 1e6 / flows},
		} {
			m.row.Sizes, m.row.Values = append(m.row.Sizes, n), append(m.row.Values, m.value)
		}
		_ = r.Complete()
	}
	return []Row{build, memory, place}
}

// measureGossip runs gossip until all groups have converged, and measures the
// rounds after that.
func measureGossip() []Row {
	sent := Row{Role: entryRole, Quantity: "messages to other VMs, with loads of 100 upstreams", Unit: "B/s", ScaledBy: "VMs"}
	busy := Row{Role: entryRole, Quantity: "messages to other VMs", Unit: "% of a core", ScaledBy: "VMs"}
	for _, n := range []int{9, 27, 81, 243, 470} {
		bytes, share := gossipCost(n)
		sent.Sizes, sent.Values = append(sent.Sizes, n), append(sent.Values, bytes)
		busy.Sizes, busy.Values = append(busy.Sizes, n), append(busy.Values, share)
	}
	return []Row{sent, busy}
}

// gossipCost returns the bytes per second that each of n VMs sends, and the share
// of a core in percent that sending and receiving take.
func gossipCost(n int) (bytesPerSecond, percent float64) {
	const settle, measured = 40, 16
	groups, order := make(map[netip.AddrPort]*gossip.Group, n), make([]netip.AddrPort, n)
	now := clock.Millis(1000)
	for i := range n {
		order[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		self := gossip.Peer{
			ID: ident.VMID(fmt.Sprintf("front-domain-%d-%d", i%domainCount, i)), Domain: ident.DomainName(fmt.Sprintf("domain-%d", i%domainCount)),
			Region: ident.RegionName(fmt.Sprintf("region-%d", i%2)), Address: order[i],
		}
		groups[order[i]] = gossip.New(now, self, order[:1], uint64(i))
	}
	loads := make([]gossip.Load, 100)
	for i := range loads {
		loads[i] = gossip.Load{Token: catalog.Token(uint32(i) * 0x9e3779b9), Expected: 700, InFlight: 500}
	}
	held := gossip.ReplicaState{Complete: 1_000_000, ConfirmedAt: now}
	total := 0
	var begun time.Time
	for round := range settle + measured {
		if round == settle {
			total, begun = 0, time.Now()
		}
		now += gossipRound
		for _, a := range order {
			out := groups[a].Round(now, held, loads)
			for len(out) > 0 {
				s := out[0]
				out = out[1:]
				data, err := cbor.Marshal(&s.Message)
				if err != nil {
					panic(err) // Messages always encode.
				}
				total += len(data) + datagramOverhead
				var msg gossip.Message
				if to := groups[s.To]; to != nil && cbor.Unmarshal(data, &msg) == nil {
					out = append(out, to.Receive(now, &msg, held)...)
				}
			}
		}
	}
	seconds := (measured * gossipRound).Seconds()
	return float64(total) / float64(n) / seconds, 100 * time.Since(begun).Seconds() / float64(n) / seconds
}
