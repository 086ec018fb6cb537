package scenario

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/claim"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/standin/caller"
	"github.com/amaranthswitch/amaranthswitch/standin/fault"
	"github.com/amaranthswitch/amaranthswitch/standin/site"
	"github.com/amaranthswitch/amaranthswitch/standin/upstream"
)

// keyInput is an operation on an idempotency key: a request of a caller or, if
// run is set, its execution by an upstream.
type keyInput struct {
	key string
	run bool
}

// keyOutput is the observed result of an operation.
type keyOutput struct {
	kind caller.Outcome
	run  string // the run that produced the response
}

// keyState is the state of a key: "" if it has not run yet, closed if it must
// never run, and the name of its run otherwise.
type keyState string

const closed keyState = "closed"

// keyModel is the linearizability model: a key runs at most once, it never runs
// after a caller was told "not run", and a response is that of the key's run.
var keyModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			k := op.Input.(keyInput).key
			byKey[k] = append(byKey[k], op)
		}
		var list [][]porcupine.Operation
		for _, ops := range byKey {
			list = append(list, ops)
		}
		return list
	},
	Init: func() []any { return []any{keyState("")} },
	Step: func(state, input, output any) []any {
		st, in, out := state.(keyState), input.(keyInput), output.(keyOutput)
		switch {
		case in.run && st == "":
			return []any{keyState(out.run)}
		case in.run:
			return nil // a second run, or one after it was closed
		case out.kind == caller.Answered && st == keyState(out.run):
			return []any{st}
		case out.kind == caller.Ran && st != "" && st != closed:
			return []any{st}
		case out.kind == caller.NotRun && (st == "" || st == closed):
			return []any{closed}
		case out.kind == caller.Unknown || out.kind == caller.Failed:
			return []any{st}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

func runName(server config.UpstreamName, n int) string { return fmt.Sprintf("%s#%d", server, n) }

// history merges the requests of callers with the runs of upstreams. The operation
// of a caller ends with its response; that of a run is the instant at which the
// upstream started it.
func history(results []caller.RequestResult, servers map[config.UpstreamName]*upstream.Server) (ops []porcupine.Operation) {
	for i, r := range results {
		if r.Key == "" {
			continue
		}
		ops = append(ops, porcupine.Operation{
			ClientId: i, Input: keyInput{key: r.Key}, Call: r.Sent.UnixNano(), Return: r.Done.UnixNano(),
			Output: keyOutput{kind: r.Outcome, run: runName(r.Response.Server, r.Response.Run)},
		})
	}
	for name, s := range servers {
		for n, run := range s.Runs() {
			if run.Key != "" {
				at := run.Start.UnixNano()
				ops = append(ops, porcupine.Operation{
					ClientId: len(ops), Input: keyInput{key: run.Key, run: true}, Call: at, Return: at,
					Output: keyOutput{run: runName(name, n)},
				})
			}
		}
	}
	return ops
}

// requestTestbed is a testbed with a load of requests.
type requestTestbed struct {
	*testbed
	reqs     *caller.RequestDriver
	mu       sync.Mutex
	gateways []netip.AddrPort
}

func newRequestTestbed(t *testing.T, d deployment, opts ...site.Option) *requestTestbed {
	t.Helper()
	w := &requestTestbed{testbed: newTestbed(t, d, nil, opts...)}
	w.loadStart = time.Now()
	w.routeRequests()
	var cleanup func()
	w.reqs, cleanup = caller.NewRequestDriver(func() []netip.AddrPort {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.gateways
	}, *seed)
	t.Cleanup(cleanup)
	time.Sleep((claim.ClockSkewMarginMillis + 500).Duration())
	return w
}

// routeRequests directs callers to the gateways of all running VMs but the first
// of except.
func (w *requestTestbed) routeRequests(except ...*site.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gateways = nil
	for _, v := range w.VMs {
		if v.Process != nil && (len(except) == 0 || v != except[0]) {
			w.gateways = append(w.gateways, v.Gateway)
		}
	}
}

// check waits for all requests to end and checks their history.
func (w *requestTestbed) check() caller.RequestSummary {
	w.t.Helper()
	w.reqs.Wait()
	time.Sleep(200 * time.Millisecond)
	results := w.reqs.Results()
	sum := caller.Summarize(results, w.Runs())
	totalShed := 0
	for name, s := range w.Servers {
		peak, shed := s.SlotUse()
		totalShed += shed
		assert.Assert(w.t, peak <= w.slotsOf(name), "%s served %d requests at the same time", name, peak)
	}
	w.t.Logf("requests %v | p50 %v p99 %v | doubled %d, false notRun %d | shed by upstreams %d", sum.ByOutcome, sum.P50, sum.P99, sum.RanTwice, sum.FalseNotRun, totalShed)
	reasons := make(map[string]int)
	for _, r := range results {
		if r.Outcome != caller.Answered {
			reasons[string(r.Outcome)+" "+r.Reason+" "+r.Detail]++
		}
	}
	shown := 0
	for reason, n := range reasons {
		if shown++; shown <= 12 {
			w.t.Logf("%5d %s", n, reason)
		}
	}
	assert.Equal(w.t, sum.RanTwice, 0, "requests ran twice")
	assert.Equal(w.t, sum.FalseNotRun, 0, "requests ran although callers were told that they did not")
	assert.Equal(w.t, sum.ByOutcome[caller.Mismatched], 0, "callers received responses of other requests")
	res := porcupine.CheckOperationsTimeout(keyModel, history(results, w.Servers), 60*time.Second)
	assert.Equal(w.t, res, porcupine.Ok)
	return sum
}

func (w *requestTestbed) slotsOf(name config.UpstreamName) int {
	for _, sv := range w.Config.Services {
		for _, u := range sv.Upstreams {
			if u.Name == name {
				return u.Slots
			}
		}
	}
	return 0
}

// orderPlan is a load of keyed requests, which must not run twice.
func (w *requestTestbed) orderPlan(workers int) caller.RequestPlan {
	return caller.RequestPlan{
		Service: w.Config.Services[0].Name, Owner: "mill-a", Method: http.MethodPost, Path: "/orders",
		Deadline: 3 * time.Second, Concurrency: workers, Keyed: true, RepeatProbability: 0.4, BodyBytes: 50,
	}
}

func (w *requestTestbed) scanPlan(workers int) caller.RequestPlan {
	return caller.RequestPlan{
		Service: w.Config.Services[1].Name, Owner: "school", Method: http.MethodGet, Path: "/scans",
		Deadline: 3 * time.Second, Concurrency: workers,
	}
}

// requestScenario is a sequence of events under a load of requests.
type requestScenario struct {
	name    string
	proxied bool
	// planned means that every request must get its response or a correct
	// refusal: none may fail or have an unknown outcome.
	planned bool
	run     func(w *requestTestbed)
}

var requestScenarios = []requestScenario{
	{name: "steady", planned: true, run: func(w *requestTestbed) { w.runFor(3 * time.Second) }},
	{name: "rolling restart", planned: true, run: func(w *requestTestbed) {
		for _, v := range w.VMs[:shortOrLong(4, len(w.VMs))] {
			w.routeRequests(v)
			w.Stop(v)
			assert.NilError(w.t, w.Start(v))
			w.waitReady()
			w.routeRequests()
		}
	}},
	{name: "VMs die", run: func(w *requestTestbed) {
		for _, v := range []*site.VM{w.VMs[1], w.VMs[5]} {
			w.Kill(v)
			time.Sleep(time.Second)
			w.routeRequests()
			w.runFor(2 * time.Second)
			assert.NilError(w.t, w.Start(v))
			w.waitReady()
			w.routeRequests()
		}
	}},
	{name: "partition and heal", proxied: true, run: func(w *requestTestbed) {
		a, b, c := w.Config.Domains[0].Name, w.Config.Domains[1].Name, w.Config.Domains[2].Name
		w.SetPathRule(a, c, fault.Rule{Block: true})
		w.SetPathRule(b, c, fault.Rule{Block: true})
		w.runFor(5 * time.Second)
		w.SetPathRule(a, c, fault.Rule{})
		w.SetPathRule(b, c, fault.Rule{})
		w.waitReady()
		w.runFor(2 * time.Second)
	}},
	{name: "pause and late wake", run: func(w *requestTestbed) {
		w.VMs[2].Process.Suspend()
		time.Sleep(4 * time.Second)
		w.VMs[2].Process.Resume()
		w.runFor(3 * time.Second)
	}},
	{name: "upstreams hang, cut answers and drain", run: func(w *requestTestbed) {
		ups := w.Config.Services[0].Upstreams
		w.Servers[ups[1].Name].SetFaults(upstream.Faults{Hang: true})
		w.Servers[ups[2].Name].SetFaults(upstream.Faults{Truncate: true})
		time.Sleep(time.Second)
		w.publish(nil, drainFirst)
		w.runFor(2 * time.Second)
		w.Servers[ups[1].Name].SetFaults(upstream.Faults{})
		w.Servers[ups[2].Name].SetFaults(upstream.Faults{})
	}},
}

func TestRequests(t *testing.T) {
	t.Parallel()
	for _, sc := range requestScenarios {
		d := deployments[len(sc.name)%len(deployments)]
		t.Run(fmt.Sprintf("%s/%s", sc.name, d.name), func(t *testing.T) {
			t.Parallel()
			var opts []site.Option
			if sc.proxied {
				opts = append(opts, site.WithProxies())
			}
			w := newRequestTestbed(t, d, opts...)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			w.reqs.Start(ctx, w.orderPlan(12))
			w.reqs.Start(ctx, w.scanPlan(4))
			sc.run(w)
			cancel()
			sum := w.check()
			assert.Assert(t, sum.ByOutcome[caller.Answered] > 100)
			if sc.planned {
				assert.Equal(t, sum.ByOutcome[caller.Failed], 0, "requests failed in a planned change")
				assert.Equal(t, sum.ByOutcome[caller.Unknown], 0, "requests had an unknown outcome in a planned change")
			}
		})
	}
}

// runOverload runs the loads, which are keyed by owner, and returns the number of
// requests served to each owner within the measured time.
func runOverload(t *testing.T, load map[string]caller.RequestPlan, measured time.Duration) (served map[string]int, elapsed time.Duration, w *requestTestbed) {
	t.Helper()
	w = newRequestTestbed(t, deployments[1], site.WithServiceTime(40*time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for owner, p := range load {
		p.Service, p.Owner, p.Method, p.Path, p.Deadline = "dispatch", owner, http.MethodPut, "/stock", 4*time.Second
		w.reqs.Start(ctx, p)
	}
	time.Sleep(3 * time.Second) // leases of an earlier manager expire and queues fill
	from := time.Now()
	time.Sleep(measured)
	to := time.Now()
	cancel()
	w.check()
	served = make(map[string]int)
	for _, r := range w.reqs.Results() {
		if r.Outcome == caller.Answered && r.Done.After(from) && r.Done.Before(to) {
			served[r.Owner]++
		}
	}
	return served, to.Sub(from), w
}

// TestOwnersAreServedAlike checks that owners with equal load get equal shares. It
// runs long enough that requests at the edges of the interval stay well below the
// 5 % bound.
func TestOwnersAreServedAlike(t *testing.T) {
	load := map[string]caller.RequestPlan{"mill-a": {Concurrency: 40}, "mill-b": {Concurrency: 40}, "mill-c": {Concurrency: 40}}
	served, elapsed, w := runOverload(t, load, shortOrLong(10*time.Second, 20*time.Second))
	most, least, all := 0, 1<<30, 0
	for _, n := range served {
		most, least, all = max(most, n), min(least, n), all+n
	}
	slots := 0
	for _, u := range w.Config.Services[0].Upstreams {
		slots += u.Slots
	}
	capacity := float64(slots) * elapsed.Seconds() / 0.040
	t.Logf("served %v, max/min %.3f, goodput %.1f %% of capacity", served, float64(most)/float64(least), 100*float64(all)/capacity)
	assert.Assert(t, float64(most) <= 1.05*float64(least))
	assert.Assert(t, float64(all) >= 0.90*capacity, "%d requests served, capacity is %.0f", all, capacity)
}

func TestOneOwnerFloods(t *testing.T) {
	const rate = 300 // per second and owner; the upstreams serve about 1400 per second
	measured := shortOrLong(5*time.Second, 20*time.Second)
	calm, _, _ := runOverload(t, map[string]caller.RequestPlan{"mill-a": {RatePerSecond: rate}, "mill-b": {RatePerSecond: rate}, "mill-c": {RatePerSecond: rate}}, measured)
	flood, _, _ := runOverload(t, map[string]caller.RequestPlan{"mill-a": {RatePerSecond: 10 * rate}, "mill-b": {RatePerSecond: rate}, "mill-c": {RatePerSecond: rate}}, measured)
	t.Logf("served %v, and %v with a flood by mill-a", calm, flood)
	for _, owner := range []string{"mill-b", "mill-c"} {
		assert.Assert(t, float64(flood[owner]) >= 0.95*float64(calm[owner]), "the flood took more than 5 %% of %s", owner)
	}
}
