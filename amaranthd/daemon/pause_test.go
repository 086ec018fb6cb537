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

// newTestDaemon returns a daemon whose Run is not called.
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

// hookHandler is a slog.Handler that calls do with the message of each record.
type hookHandler struct {
	slog.Handler
	do func(message string)
}

// Enabled implements slog.Handler.
func (hookHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h hookHandler) Handle(_ context.Context, r slog.Record) error {
	h.do(r.Message)
	return nil
}

// WithAttrs implements slog.Handler.
func (h hookHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// TestMessageWhilePauseIsNoticed guards against forwarding with stale state: an
// acknowledgement from before a process pause, handled just as the pause is
// detected, must not let the data path resume.
func TestMessageWhilePauseIsNoticed(t *testing.T) {
	clk := clock.NewManual(1_000_000)
	var d *Daemon
	d = newTestDaemon(t, clk, hookHandler{Handler: slog.DiscardHandler, do: func(message string) {
		if message != event.Names[event.PauseDetected] {
			return
		}
		d.control.mu.Lock()
		defer d.control.mu.Unlock()
		d.control.endResync(t.Context(), clk.Advance(0))
	}})
	d.control.joined.Store(true)
	d.control.peerAnswered = true // another VM answered before the pause
	now := clk.Advance(10 * clock.Second)
	assert.Assert(t, d.control.paused(now))
	d.control.checkPause(t.Context(), now)
	assert.Assert(t, d.control.paused(now), "the data path resumed on an acknowledgement from before the pause")
}

// addOtherVM makes vm2 a member and home besides vm1, and publishes a service.
func addOtherVM(d *Daemon, now clock.Millis) {
	other := d.control.set.VMRecord()
	other.ID = "vm2"
	d.socket.SetDirectory(vm.Directory{"vm2": other})
	f := &config.File{Version: 1, Domains: []config.Domain{{Name: "hue-a", State: config.DomainIn}}, Services: []config.Service{{
		Name: "s", VNI: 7, Address: netip.MustParseAddr("198.51.100.1"), Kinds: []config.Kind{config.KindFlow},
		Upstreams: []config.Upstream{{Name: "u", Domain: "hue-a", Address: "127.250.3.9:6081", State: config.UpstreamActive}},
	}}}
	d.engine.SetConfig(now, f)
	vms := []config.VMID{"vm1", "vm2"}
	d.engine.SetMembers(now, steering.Membership{Homes: []homes.VM{{ID: "vm1"}, {ID: "vm2"}}, Live: vms, PlacerCandidates: vms})
}

// newSYN returns the SYN of a new flow, which the receiving VM treats as its home.
func newSYN() *steering.Packet {
	return &steering.Packet{Hops: 2, Info: packet.Info{
		VNI: 7, ID: flow.ID{Hi: 1, Lo: 2}, TCP: true, Flags: packet.SYN,
		Src: netip.MustParseAddrPort("198.18.0.1:1000"), Dst: netip.MustParseAddrPort("198.51.100.1:443"),
	}}
}

// TestFlowPlacedTwiceAfterShortPause guards against placing a flow that another VM
// placed during a pause that is too short for the data path to drop packets.
func TestFlowPlacedTwiceAfterShortPause(t *testing.T) {
	for _, test := range []struct {
		name       string
		gap        clock.Millis
		afterCheck bool
		want       steering.ActionKind
	}{
		{"none", 50, false, steering.Forward},
		{"seen by the data path", 800, false, steering.Hold},
		{"seen by the control loop", 800, true, steering.Hold},
	} {
		t.Run(test.name, func(t *testing.T) {
			clk := clock.NewManual(1_000_000)
			d := newTestDaemon(t, clk, slog.DiscardHandler)
			d.control.joined.Store(true)
			addOtherVM(d, clk.Advance(0))
			now := clk.Advance(120 * clock.Second) // longer than all settle times
			d.control.lastTick.Store(int64(now))
			now = clk.Advance(test.gap)
			if test.afterCheck {
				d.control.checkPause(t.Context(), now)
			}
			assert.Assert(t, !d.control.mustDrop(now))
			assert.Equal(t, d.engine.Handle(now, newSYN()).Kind, test.want)
		})
	}
}

// TestOldAnswerAfterPause guards against placing a flow twice. An answer waits in
// the socket while the process is suspended. The SYN held for it must not be
// placed, since the caller has retransmitted it and another VM has placed it.
func TestOldAnswerAfterPause(t *testing.T) {
	clk := clock.NewManual(1_000_000)
	d := newTestDaemon(t, clk, slog.DiscardHandler)
	d.control.joined.Store(true)
	addOtherVM(d, clk.Advance(0))
	assert.Equal(t, d.engine.Handle(clk.Advance(0), newSYN()).Kind, steering.Hold)
	d.engine.DequeueAll()
	clk.Advance(10 * clock.Second)
	d.control.receiveFlows(clk.Advance(0), wire.FlowBatch{From: "vm2", Items: []wire.FlowItem{{Kind: steering.Reply, Hi: 1, Lo: 2, VNI: 7}}})
	assert.Equal(t, d.engine.Flows(), int64(0), "a SYN held since before the pause was placed")
}
