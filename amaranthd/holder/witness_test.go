package holder

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/claim"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
)

// newTestHolder returns a holder that is the only witness of all keys.
func newTestHolder(t *testing.T, clk *clock.Manual) *Holder {
	t.Helper()
	pool, closePool := rpc.NewPool(netip.Addr{}, 100)
	t.Cleanup(closePool)
	neverPaused := func(clock.Millis) bool { return false }
	h := New("vm1", "hue-a", clk.Clock(), slog.New(slog.DiscardHandler), pool, rpc.NewServer(), Timeouts{CallMillis: 100, LeaseMillis: 1000}, Hooks{Paused: neverPaused})
	h.SetVMList(clk.Advance(0), []membership.VM{{ID: "vm1", Domain: "hue-a"}})
	h.SetConfig(clk.Advance(0), &config.File{Services: []config.Service{{VNI: 7, Upstreams: []config.Upstream{{Name: "u", Domain: "hue-a"}}}}})
	return h
}

// TestKeyIsFreeAfterLostReply guards against a key that stays claimed for its
// whole lifetime: the witness granted it, but its reply was lost, so the attempt
// did not run.
func TestKeyIsFreeAfterLostReply(t *testing.T) {
	// The holder has been a witness since before the key was created.
	clk := clock.NewManual(clock.System().Now() - 2*claim.ClockSkewMarginMillis)
	h := newTestHolder(t, clk)
	clk.Advance(2 * claim.ClockSkewMarginMillis)
	k := claim.Key(uuid.Must(uuid.NewV7()))
	h.handlers[methodClaim] = func(ctx context.Context, params json.RawMessage) (any, error) {
		_, _ = h.serveClaim(ctx, params)
		return nil, eris.New("the reply is lost")
	}
	_, res := h.ClaimKey(t.Context(), k, 7, "digest")
	assert.Assert(t, !res.Granted)
	h.notifications.Wait()
	h.handlers[methodClaim] = h.serveClaim
	_, res = h.ClaimKey(t.Context(), k, 7, "digest")
	assert.Assert(t, res.Granted, "the key is still held by %v", res.Existing)
}
