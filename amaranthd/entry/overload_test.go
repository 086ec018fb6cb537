package entry

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
	"github.com/amaranthswitch/amaranthswitch/fleet/vmload"
)

// TestOverloadedVM guards against a VM at its limit that drops more than it should or tells
// nobody, that leaves service alone or beside another that has left it, or that trusts
// its evidence, and against any of this without limits.
func TestOverloadedVM(t *testing.T) {
	first, second, local := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("127.0.0.1:0")
	for _, test := range []struct {
		linkMbps float64
		peer     ident.VMID // none if empty
		overload vmload.State
		stranded bool
		ready    bool
	}{{0, "a", vmload.Normal, false, true}, {1, "", vmload.Normal, false, true}, {1, "a", vmload.Normal, false, false}, {1, "a", vmload.Normal, true, true}, {1, "a", vmload.NotReady, false, true}} {
		b := catalog.NewBuilder(func(item replica.Item) (catalog.Change, error) {
			target := []catalog.Target{{Service: "s"}}
			return map[replica.Key]catalog.Change{
				"c": {Config: &catalog.Config{Services: []catalog.Service{{Name: "s"}}, Routes: []catalog.Route{{Address: first, Targets: target, Priority: 1}, {Address: second, Targets: target, Priority: 2}}}},
				"u": {Upstream: &catalog.Upstream{ID: "u", Service: "s", Slots: 1, Address: first}},
			}[item.Key], nil
		}, nil, 0)
		b.Apply(0, []replica.Item{{Key: "c", Revision: 1}, {Key: "u", Revision: 2}}, false)
		clk, e, lines := clock.NewManual(1000), forward.New("vm", "d"), &bytes.Buffer{}
		e.SetCatalog(b.Build(2))
		settings := &Settings{VM: "vm", Domain: "d", Peers: local, Limits: vmload.Limits{LinkMbps: test.linkMbps}}
		p, closePeers, err := newPeers(t.Context(), settings, e, newTestReplicator(&fakeSource{}, nil), nil, rpc.NewServer(), clk.Clock(), slog.New(slog.DiscardHandler))
		assert.NilError(t, err)
		t.Cleanup(closePeers)
		d := &Daemon{engine: e, peers: p, dataPath: &dataPath{engine: e}}
		d.overload = newOverloadControl(settings, e, d.dataPath, p, slog.New(slog.NewTextHandler(lines, nil)))
		passes := func(packet forward.Packet) bool {
			return d.dataPath.decide(clk.Advance(1), &packet).Action == forward.Forward
		}
		low := forward.Packet{Caller: first, Destination: second, Opening: true}
		assert.Assert(t, passes(low))
		for i := range uint64(3000 / vmload.SampleInterval) {
			p.group.Receive(clk.Advance(0), &gossip.Message{From: gossip.Peer{ID: test.peer, Domain: "d", Address: first}, Seq: i + 1, Overload: test.overload, Stranded: test.stranded}, gossip.ReplicaState{})
			d.dataPath.bytesIn.Add(20_000)
			d.overload.poll(t.Context(), clk.Advance(vmload.SampleInterval))
		}
		assert.Assert(t, passes(low), "copy of an opening")
		assert.Equal(t, passes(forward.Packet{Caller: second, Destination: second, Opening: true}), test.linkMbps == 0)
		assert.Assert(t, passes(forward.Packet{Caller: second, Destination: first, Opening: true}), "highest priority")
		assert.Assert(t, passes(forward.Packet{Caller: first, Destination: second, Token: e.Catalog().Serving("s")[0].Token}), "open flow")
		assert.Equal(t, d.ready(), test.ready)
		assert.Equal(t, e.TrustsEvidence(clk.Advance(0)), test.linkMbps == 0)
		assert.Equal(t, strings.Contains(lines.String(), "vmOverloaded"), test.linkMbps > 0)
	}
}
