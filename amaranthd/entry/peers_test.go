package entry

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// TestMessageThatWaitedIsOlder has a message wait in the socket, as on a VM that is
// slow. The VM must add the wait to the age in it: otherwise slow VMs confirm an old
// copy to each other and to the rest of the fleet for as long as they are slow.
func TestMessageThatWaitedIsOlder(t *testing.T) {
	const (
		wait    = 800 * time.Millisecond
		sentAge = clock.Millis(100)
	)
	ctx, cancel := context.WithCancel(t.Context())
	clk, log := clock.System(), slog.New(slog.DiscardHandler)
	r := newTestReplicator(&fakeSource{}, func(*catalog.Catalog) {})
	r.apply(replica.Update{Full: true, Complete: 5, Items: []replica.Item{configItem(5)}}, "test")
	settings := &Settings{VM: "a", Domain: "d", Region: "r", Peers: netip.MustParseAddrPort("127.0.0.1:0")}
	pool, closePool := rpc.NewPool(netip.Addr{}, callTimeout)
	defer closePool()
	p, closeSocket, err := newPeers(ctx, settings, forward.New("a", "d"), r, pool, rpc.NewServer(), clk, log)
	assert.NilError(t, err)

	p.round(ctx)
	sender, err := net.Dial("udp4", p.conn.LocalAddr().String())
	assert.NilError(t, err)
	from := gossip.Peer{ID: "b", Domain: "d", Region: "r", Address: sender.LocalAddr().(*net.UDPAddr).AddrPort()}
	data, err := cbor.Marshal(&gossip.Message{From: from, Started: 1, Seq: 1, Complete: 5, Age: sentAge})
	assert.NilError(t, err)
	_, err = sender.Write(data)
	assert.NilError(t, err)
	time.Sleep(wait)

	ended := make(chan error, 1)
	go func() { ended <- p.read(ctx) }()
	waitFor(t, func() bool { return r.localCopy().ConfirmedAt != 0 })
	age := clk.Now() - r.localCopy().ConfirmedAt
	assert.Assert(t, age >= sentAge+clock.FromDuration(wait), "confirmed %d ms ago", age)
	cancel()
	closeSocket()
	assert.NilError(t, <-ended)
	assert.NilError(t, sender.Close())
}
