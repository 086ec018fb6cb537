package forward

import (
	"math"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/admission"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/quality"
)

// wholeState compares all state of engines with the same hash seed but their hooks,
// atomic pointers by identity.
var wholeState = cmp.Options{
	cmp.Exporter(func(reflect.Type) bool { return true }),
	cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
	cmp.Comparer(func(Hooks, Hooks) bool { return true }),
}

// TestExplain drives two engines in the same way and queries one of them. It guards
// against an explanation that differs from what Handle then does, against figures that do
// not add up to the cost, and against one that changes any state.
func TestExplain(t *testing.T) {
	const now clock.Millis = 3000
	local, remote := upstream(1, "web", "a"), upstream(2, "web", "b")
	cold, draining := local, local
	cold.RemainingColdMillis, draining.Draining = 9000, true
	silence := func(at clock.Millis, list ...int) func(e *Engine) {
		return func(e *Engine) {
			for _, i := range list {
				e.view.Load().serving["web"][i].load.health.markSilent(at)
			}
		}
	}
	// overload rejects the requests of a higher priority on the same service, which holds
	// back webAddress, and flows in flight take the room of the upstream.
	overload := func(until clock.Millis, taken int32) func(e *Engine) {
		return func(e *Engine) {
			c := e.view.Load().admission["web"].controller
			for at := clock.Millis(0); at < until; at += TickInterval {
				c.Record(at, 0, true)
				c.Decide(at, admission.Request{Priority: 2, Long: true})
				c.Tick(at)
			}
			e.view.Load().serving["web"][0].load.inFlight.Store(taken)
		}
	}
	record := func(a quality.Answer) func(e *Engine) {
		return func(e *Engine) {
			for i := range 60 {
				e.view.Load().serving["web"][i%2].load.quality.record(now, quality.Answer{})
				e.view.Load().serving["web"][0].load.quality.record(now, a)
			}
			e.Tick(now)
		}
	}
	place := func(at clock.Millis) func(e *Engine) {
		return func(e *Engine) { e.Handle(at, opening(1, webAddress)) }
	}
	tests := []struct {
		name      string
		upstreams []catalog.Upstream
		prepare   func(e *Engine)
		to        netip.AddrPort
		reason    Reason
		rule      Rule
	}{
		{"answering", []catalog.Upstream{remote, local}, place(1000), webAddress, NoReason, RuleLowestCost},
		{"cold with share left", []catalog.Upstream{cold, remote}, place(1000), webAddress, NoReason, RuleCold},
		{"cold without share left", []catalog.Upstream{cold, remote}, place(now), webAddress, NoReason, RuleLowestCost},
		{"silent with probe due", []catalog.Upstream{local, remote}, silence(1000, 1), webAddress, NoReason, RuleProbe},
		{"silent without probe due", []catalog.Upstream{local, remote}, silence(now, 0), webAddress, NoReason, RuleLowestCost},
		{"all silent", []catalog.Upstream{local, remote}, silence(now, 0, 1), webAddress, NoReason, RulePanic},
		{"partitioned", []catalog.Upstream{local, remote}, func(e *Engine) { e.SetPartitioned("a", true) }, webAddress, NoReason, RuleLowestCost},
		{"held back, shares rise", []catalog.Upstream{local}, overload(1000, 1), webAddress, AwaitRoom, RuleNone},
		{"held back, shares fall", []catalog.Upstream{local}, overload(now, 1), webAddress, NoRoom, RuleNone},
		{"held back, but room", []catalog.Upstream{local}, overload(now, 0), webAddress, NoReason, RuleLowestCost},
		{"held back, no upstream", []catalog.Upstream{draining}, overload(now, 0), webAddress, NoRoom, RuleNone},
		{"slow", []catalog.Upstream{remote, local}, record(quality.Answer{LogSlowness: 1.4}), webAddress, NoReason, RuleLowestCost},
		{"rejects", []catalog.Upstream{remote, local}, record(quality.Answer{Rejected: true}), webAddress, NoReason, RuleLowestCost},
		{"no upstream", []catalog.Upstream{draining}, place(1000), webAddress, NoUpstream, RuleNone},
		{"no route", []catalog.Upstream{local}, place(1000), netip.MustParseAddrPort("198.51.100.9:1"), NoRoute, RuleNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			asked, other := New("vm", "a"), New("vm", "a")
			other.flows.seed = asked.flows.seed
			c := published(1, 100, test.upstreams...)
			c.Config.Routes[0].Priority = 2 // of webAddress, which shares its service with bothAddress
			asked.SetVMs([]ident.VMID{"vm"})
			other.vms.Store(asked.vms.Load())
			other.domainVMs.Store(asked.domainVMs.Load())
			for _, e := range []*Engine{asked, other} {
				e.SetCatalog(c)
				test.prepare(e)
			}
			for i, u := range asked.view.Load().targets { // compared by identity
				other.view.Load().targets[i].load.quality.minLoad.Store(u.load.quality.minLoad.Load())
			}
			p := opening(2, test.to)
			x := asked.Explain(now, p)
			assert.DeepEqual(t, asked.view.Load(), other.view.Load(), wholeState)
			other.view.Store(asked.view.Load())
			assert.DeepEqual(t, asked, other, wholeState)
			d := asked.Handle(now, p)
			assert.Equal(t, x.Reason, test.reason.String())
			assert.Equal(t, x.Rule, test.rule)
			assert.Equal(t, x.Action, d.Action.String())
			assert.Equal(t, x.Reason, d.Reason.String())
			assert.Equal(t, x.Admission.RoomOverrides, test.name == "held back, but room")
			assert.Equal(t, x.Admission.Controlled && x.Admission.Verdict != "place" && x.Admission.Share < 0.1, strings.HasPrefix(test.name, "held back"))
			for _, candidate := range x.Candidates {
				assert.Equal(t, candidate.ID == x.Upstream, candidate.Address == d.To)
				load := (0.02*candidate.InFlight + candidate.Expected) / float64(candidate.Slots)
				cost := (load+0.5)*candidate.Slowness - 0.5 + candidate.OwnRejections + 4*candidate.ExcessRejections
				if candidate.Domain != "a" {
					cost += 0.5
				}
				assert.Assert(t, math.Abs(candidate.Cost-cost) < 0.0011, "%+v", candidate)
				quality := []bool{candidate.Slowness > 1, candidate.OwnRejections > 0 && candidate.ExcessRejections > 0}
				assert.DeepEqual(t, quality, []bool{test.name == "slow" && candidate.Domain == "a", test.name == "rejects" && candidate.Domain == "a"})
			}
		})
	}
	assert.Equal(t, New("vm", "a").Explain(now, opening(1, webAddress)).Reason, NoCatalog.String())
}

// TestExplainClosed guards against candidates that are left out or out of order, and
// against a wrong reason why one accepts no new flows.
func TestExplainClosed(t *testing.T) {
	list := []catalog.Upstream{upstream(1, "web", "b"), upstream(2, "web", "a"), upstream(3, "web", "c")}
	list[1].Draining = true
	c := published(1, 0, list...)
	c.Serving("web")[2].Token = 0
	e := New("vm", "a")
	e.SetCatalog(c)
	e.SetPeerLoads(map[catalog.Token]Load{c.Serving("web")[1].Token: {InFlight: 3000, Expected: 1000}})
	x := e.Explain(1, opening(1, webAddress))
	assert.DeepEqual(t, []catalog.ClosedReason{x.Candidates[0].Closed, x.Candidates[1].Closed, x.Candidates[2].Closed},
		[]catalog.ClosedReason{catalog.ClosedDraining, catalog.ClosedNoToken, catalog.NotClosed})
	assert.Equal(t, x.Candidates[2].InFlight, 3.0)
	assert.Equal(t, x.Candidates[2].Expected, 1.0)
	assert.Equal(t, x.Upstream, x.Candidates[2].ID)
	assert.Equal(t, x.Admission, ExplainedAdmission{Share: 1, Verdict: "place"})
}
