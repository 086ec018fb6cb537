package entry

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
	"github.com/amaranthswitch/amaranthswitch/fleet/vmload"
	"github.com/fxamacker/cbor/v2"
)

// fuzzNow is the time at which messages are received.
const fuzzNow = 100 * clock.Second

// FuzzMessage passes arbitrary datagrams to all receivers of gossip messages. None
// may panic, and every reply must be encodable.
func FuzzMessage(f *testing.F) {
	from := gossip.Peer{ID: "other", Domain: "a", Region: "r", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	for _, msg := range []gossip.Message{
		{From: from, Seq: 1, Overload: vmload.NotReady},
		{
			From: from, Seq: 2, WantsReply: true, Peers: []gossip.Peer{from}, Loads: []gossip.Load{{Token: 1, InFlight: 2}},
			DomainContacts: []gossip.DomainContact{{Domain: "b", Age: 3}},
			Suspicions:     []gossip.Suspicion{{Token: 1, Broadcast: true, Answered: true, AnsweredAge: -1, Stalls: []gossip.Stall{{Flow: 1, Age: 200}}}},
			Update:         &replica.Update{Complete: 9, Items: []replica.Item{{Key: "config", Value: []byte("7"), Revision: 9}}},
		},
	} {
		data, err := gossip.EncodeMessage(&msg)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg gossip.Message
		var report gossip.Report
		if gossip.DecodeMessage(data, &msg) != nil && cbor.Unmarshal(data, &report) != nil {
			return
		}
		e := forward.New("vm", "a")
		r := newTestReplicator(&fakeSource{}, func(c *catalog.Catalog) { e.SetCatalog(c) })
		g := gossip.New(1, gossip.Peer{ID: "vm", Domain: "a", Region: "r", Address: from.Address}, nil, 1)
		out := g.Receive(fuzzNow, &msg, r.localCopy())
		if msg.Update != nil {
			r.apply(*msg.Update, "other")
		}
		e.MergeSuspicions(fuzzNow, suspicionsFromGossip(fuzzNow, 0, msg.Suspicions))
		out = append(out, g.Round(fuzzNow, r.localCopy(), nil)...)
		out = append(out, g.DisseminateSuspicions(fuzzNow, r.localCopy(), suspicionsToGossip(fuzzNow, e.Suspicions(fuzzNow)), forward.Aggregators)...)
		g.ReceiveReport(fuzzNow, &report)
		e.SetPeerSamples(g.RemoteSamples(fuzzNow))
		g.Partitioned(fuzzNow, "b")
		g.Rank(fuzzNow)
		for i := range out {
			_, err := gossip.EncodeMessage(&out[i].Message)
			assert.NilError(t, err)
		}
	})
}

// FuzzUpdate decodes and applies arbitrary replies of other VMs.
func FuzzUpdate(f *testing.F) {
	data, err := encodeUpdate(&replica.Update{Full: true, Complete: 3, Items: []replica.Item{configItem(3)}})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte("\xff\xff"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		u, err := decodeUpdate(data)
		if err != nil {
			return
		}
		newTestReplicator(&fakeSource{}, func(*catalog.Catalog) {}).apply(u, "other")
	})
}

// FuzzSettings parses arbitrary settings files. Accepted settings must be usable.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"vm":"v","domain":"d","packets":"127.0.0.1:1","ready":"127.0.0.1:2","peers":"127.0.0.1:3","source":"127.0.0.1:4"}`))
	f.Add([]byte(`{"vm":7}`))
	f.Add([]byte(`{"vm":"v","domain":"d","packets":"127.0.0.1:1","ready":"127.0.0.1:2","peers":"127.0.0.1:3","source":"127.0.0.1:4","heartbeatMillis":770.5,"stopSeconds":2.5}`))
	f.Add([]byte(`{"heartbeatMillis":1e300,"stopSeconds":-1e308}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings(data)
		if err == nil && (s.VM == "" || !s.Packets.IsValid() || s.HeartbeatMillis <= 0 || s.StopMillis < 0) {
			t.Fatalf("accepted: %+v", s)
		}
	})
}
