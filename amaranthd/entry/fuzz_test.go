package entry

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// fuzzNow is the time at which messages are taken.
const fuzzNow = 100 * clock.Second

// FuzzMessage hands datagrams to all that takes messages of other VMs. None may end
// the daemon, and what it answers can be encoded.
func FuzzMessage(f *testing.F) {
	from := gossip.Peer{ID: "other", Domain: "a", Region: "r", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	for _, msg := range []gossip.Message{
		{From: from, Seq: 1},
		{
			From: from, Seq: 2, WantsReply: true, Peers: []gossip.Peer{from}, Loads: []gossip.Load{{Token: 1, InFlight: 2}},
			DomainContacts: []gossip.DomainContact{{Domain: "b", Age: 3}},
			Suspicions:     []gossip.Suspicion{{Token: 1, DomainWide: true, Answered: true, AnsweredAge: -1, Stalls: []gossip.Stall{{Flow: 1, Age: 200}}}},
			Update:         &replica.Update{Complete: 9, Items: []replica.Item{{Key: "config", Value: []byte("7"), Revision: 9}}},
		},
	} {
		data, err := cbor.Marshal(&msg)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg gossip.Message
		if cbor.Unmarshal(data, &msg) != nil {
			return
		}
		e := forward.New("vm", "a")
		k := newTestKeeper(&fakeSource{}, func(c *catalog.Catalog) { e.SetCatalog(c) })
		g := gossip.New(1, gossip.Peer{ID: "vm", Domain: "a", Region: "r", Address: from.Address}, nil, 1)
		out := g.Receive(fuzzNow, &msg, k.held())
		if msg.Update != nil {
			k.apply(*msg.Update, "other")
		}
		e.MergeSuspicions(fuzzNow, timesOf(fuzzNow, 0, msg.Suspicions))
		out = append(out, g.Round(fuzzNow, k.held(), nil)...)
		out = append(out, g.DisseminateSuspicions(fuzzNow, k.held(), agesOf(fuzzNow, e.Suspicions(fuzzNow)), forward.Aggregators)...)
		g.Partitioned(fuzzNow, "b")
		g.Rank(fuzzNow)
		for i := range out {
			_, err := cbor.Marshal(&out[i].Message)
			assert.NilError(t, err)
		}
	})
}

// FuzzUpdate hands the answers of other VMs to what reads them.
func FuzzUpdate(f *testing.F) {
	data, err := pack(&replica.Update{Full: true, Complete: 3, Items: []replica.Item{version(3)}})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte("\xff\xff"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		u, err := unpack(data)
		if err != nil {
			return
		}
		newTestKeeper(&fakeSource{}, func(*catalog.Catalog) {}).apply(u, "other")
	})
}

// FuzzSettings reads settings files. Each is taken or refused with an error.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"vm":"v","domain":"d","packets":"127.0.0.1:1","ready":"127.0.0.1:2","peers":"127.0.0.1:3","source":"127.0.0.1:4"}`))
	f.Add([]byte(`{"vm":7}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings(data)
		if err == nil && (s.VM == "" || !s.Packets.IsValid() || s.StopMillis <= 0) {
			t.Fatalf("taken: %+v", s)
		}
	})
}
