package daemon

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/settings"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/vm"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/packet"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

// newTestDaemon builds a daemon that does not run.
func newTestDaemon(t *testing.T, clk *clock.Manual, log slog.Handler) *Daemon {
	t.Helper()
	set := settings.Default()
	set.VM, set.Domain = "vm1", "hue-a"
	set.Tunnel = netip.MustParseAddrPort("127.250.3.1:6081")
	set.Peer = netip.MustParseAddrPort("127.250.3.1:7946")
	set.RPC = netip.MustParseAddrPort("127.250.3.1:7947")
	set.Gateway = netip.MustParseAddrPort("127.250.3.1:8080")
	set.Operator = netip.MustParseAddrPort("127.250.3.1:9090")
	d, cleanup, err := New(t.Context(), set, slog.New(log), WithClock(clk.Clock()))
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	return d
}

// onLine is a handler that calls do for each log line.
type onLine struct {
	slog.Handler
	do func(message string)
}

// Enabled implements slog.Handler.
func (onLine) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h onLine) Handle(_ context.Context, r slog.Record) error {
	h.do(r.Message)
	return nil
}

// WithAttrs implements slog.Handler.
func (h onLine) WithAttrs([]slog.Attr) slog.Handler { return h }

// TestMessageWhilePauseIsNoticed handles a message that waited in the socket
// just when the pause is noticed. An answer from before the pause must not end the
// guard of the data path.
func TestMessageWhilePauseIsNoticed(t *testing.T) {
	clk := clock.NewManual(1_000_000)
	var d *Daemon
	d = newTestDaemon(t, clk, onLine{Handler: slog.DiscardHandler, do: func(message string) {
		if message != event.Names[event.PauseDetected] {
			return
		}
		d.control.mu.Lock()
		defer d.control.mu.Unlock()
		d.control.resynced(t.Context(), clk.Advance(0))
	}})
	d.control.joined.Store(true)
	d.control.told = true // another VM answered before the pause
	now := clk.Advance(10 * clock.Second)
	assert.Assert(t, d.control.paused(now))
	d.control.checkPause(t.Context(), now)
	assert.Assert(t, d.control.paused(now), "the guard ended with the pause")
}

// TestOldAnswerAfterPause has an answer wait in the socket while the process
// stands still. The SYN that waited for it must not be placed: its caller has
// sent it again, and another VM has placed it.
func TestOldAnswerAfterPause(t *testing.T) {
	clk := clock.NewManual(1_000_000)
	d := newTestDaemon(t, clk, slog.DiscardHandler)
	other := d.control.set.Line()
	other.ID = "vm2"
	d.socket.SetDirectory(vm.Directory{"vm2": other})
	d.control.joined.Store(true)
	f := &config.File{Version: 1, Domains: []config.Domain{{Name: "hue-a", State: config.DomainIn}}, Services: []config.Service{{
		Name: "s", VNI: 7, Address: netip.MustParseAddr("198.51.100.1"), Kinds: []config.Kind{config.KindFlow},
		Upstreams: []config.Upstream{{Name: "u", Domain: "hue-a", Address: "127.250.3.9:6081", State: config.UpstreamActive}},
	}}}
	d.engine.SetConfig(clk.Advance(0), f)
	vms := []config.VMID{"vm1", "vm2"}
	d.engine.SetMembers(clk.Advance(0), steering.Membership{Homes: []homes.VM{{ID: "vm1"}, {ID: "vm2"}}, Live: vms, PlacerCandidates: vms})
	p := steering.Packet{Hops: 2, Info: packet.Info{
		VNI: 7, ID: flow.ID{Hi: 1, Lo: 2}, TCP: true, Flags: packet.SYN,
		Src: netip.MustParseAddrPort("198.18.0.1:1000"), Dst: netip.MustParseAddrPort("198.51.100.1:443"),
	}}
	assert.Equal(t, d.engine.Handle(clk.Advance(0), &p).Kind, steering.Hold)
	d.engine.DequeueAll()
	clk.Advance(10 * clock.Second)
	d.control.receiveFlows(clk.Advance(0), wire.FlowBatch{From: "vm2", Items: []wire.FlowItem{{Kind: steering.Reply, Hi: 1, Lo: 2, VNI: 7}}})
	assert.Equal(t, d.engine.Flows(), int64(0), "a SYN was placed after a pause")
}
