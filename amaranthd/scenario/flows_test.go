package scenario

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/standin/caller"
	"github.com/amaranthswitch/amaranthswitch/standin/fault"
	"github.com/amaranthswitch/amaranthswitch/standin/site"
)

// flowScenario is a sequence of events under a load of flows. run returns the
// longest time until a published configuration was in force.
type flowScenario struct {
	name    string
	proxied bool
	planned bool // no flow may break
	run     func(w *testbed) time.Duration
}

func drainFirst(f *config.File) { f.Services[0].Upstreams[0].State = config.UpstreamDrain }

// domainState returns an edit that sets the state of the n-th failure domain. If
// that takes it out, breaks of its flows are expected.
func domainState(w *testbed, n int, st config.DomainState) func(f *config.File) {
	if st == config.DomainOut {
		w.Flows.ExpectBreaks(w.upstreamsIn(w.Config.Domains[n].Name)...)
	}
	return func(f *config.File) { f.Domains[n].State = st }
}

// assertNoPackets fails if an upstream of a failure domain received a packet after
// the given time.
func (w *testbed) assertNoPackets(d config.DomainName, after time.Time) {
	w.t.Helper()
	for _, name := range w.upstreamsIn(d) {
		late := w.Endpoints[name].Stats().LastPacket.Sub(after)
		assert.Assert(w.t, late <= 0, "%s received a packet %v after the limit", name, late)
	}
}

// restartAll restarts one VM after another, with a pause after each.
func restartAll(w *testbed, pause time.Duration) {
	for _, v := range w.VMs {
		w.Stop(v)
		assert.NilError(w.t, w.Start(v))
		w.waitReady()
		w.RouteToRunning()
		time.Sleep(pause)
	}
}

// evacuationTime is the time within which a failure domain that was taken out
// stops receiving packets.
const evacuationTime = 3 * time.Second

var flowScenarios = []flowScenario{
	{name: "steady", planned: true, run: func(w *testbed) time.Duration {
		w.runFor(4 * time.Second)
		return w.publish(nil, func(*config.File) {})
	}},
	{name: "drain", planned: true, run: func(w *testbed) time.Duration {
		d := w.publish(nil, drainFirst)
		before := w.Endpoints[w.Config.Services[0].Upstreams[0].Name].Stats().Opened
		w.runFor(4 * time.Second)
		assert.Equal(w.t, w.Endpoints[w.Config.Services[0].Upstreams[0].Name].Stats().Opened, before, "a draining upstream received new flows")
		return d
	}},
	{name: "rolling restart of every VM", planned: true, run: func(w *testbed) time.Duration {
		d := w.publish(nil, drainFirst)
		restartAll(w, 500*time.Millisecond)
		w.runFor(2 * time.Second)
		return d
	}},
	{name: "failure domain out and back", planned: true, run: func(w *testbed) time.Duration {
		out := w.publish(nil, domainState(w, 2, config.DomainOut))
		limit := time.Now().Add(evacuationTime)
		w.runFor(6 * time.Second)
		w.assertNoPackets(w.Config.Domains[2].Name, limit)
		cold := time.Now()
		in := w.publish(nil, domainState(w, 2, config.DomainIn))
		w.runFor(5 * time.Second)
		w.assertSlowStart(w.Config.Domains[2].Name, cold)
		return max(out, in)
	}},
	{name: "drain while a VM dies", run: func(w *testbed) time.Duration {
		assert.NilError(w.t, w.Publish(drainFirst))
		w.Kill(w.VMs[4])
		time.Sleep(500 * time.Millisecond)
		w.RouteToRunning()
		d := w.waitInForce(nil)
		w.runFor(6 * time.Second)
		return d
	}},
	{name: "partition of a failure domain and heal", proxied: true, run: func(w *testbed) time.Duration {
		a, b, c := w.Config.Domains[0].Name, w.Config.Domains[1].Name, w.Config.Domains[2].Name
		w.SetPathRule(a, c, fault.Rule{Block: true})
		w.SetPathRule(b, c, fault.Rule{Block: true})
		w.runFor(6 * time.Second)
		w.SetPathRule(a, c, fault.Rule{})
		w.SetPathRule(b, c, fault.Rule{})
		w.waitReady()
		w.runFor(3 * time.Second)
		return w.publish(nil, drainFirst)
	}},
	{name: "pause of a VM and late wake", planned: true, run: func(w *testbed) time.Duration {
		v := w.VMs[3]
		v.Process.Suspend()
		w.RouteToRunning(v)
		d := w.publish(v, domainState(w, 2, config.DomainOut))
		time.Sleep(10 * time.Second)
		limit := time.Now()
		v.Process.Resume()
		w.RouteToRunning()
		w.runFor(4 * time.Second)
		w.assertNoPackets(w.Config.Domains[2].Name, limit)
		return max(d, w.waitInForce(nil))
	}},
	{name: "short pauses of VMs", run: func(w *testbed) time.Duration {
		w.addShortFlows()
		for _, v := range w.VMs {
			v.Process.Suspend()
			time.Sleep(shortPause)
			v.Process.Resume()
			w.runFor(time.Second)
		}
		assert.Equal(w.t, w.Flows.Summary().Misrouted, 0, "flows were placed twice")
		return w.publish(nil, func(*config.File) {})
	}},
	{name: "platform down, then stale", planned: true, run: func(w *testbed) time.Duration {
		d := w.publish(nil, drainFirst)
		w.Platform.SetDown(true)
		w.runFor(2 * time.Second)
		w.Platform.SetStale(1)
		w.Platform.SetDown(false)
		w.Stop(w.VMs[1])
		assert.NilError(w.t, w.Start(w.VMs[1]))
		w.RouteToRunning()
		w.runFor(4 * time.Second)
		assert.Equal(w.t, w.waitInForce(nil) < time.Second, true, "a stale platform rolled the configuration back")
		return d
	}},
	{name: "half-open channels", proxied: true, planned: true, run: func(w *testbed) time.Duration {
		from, to := w.VMs[0], w.VMs[4]
		to.Proxy.SetRule(from.Bind.Peer.Addr(), fault.Rule{Blackhole: true})
		w.runFor(3 * time.Second)
		to.Proxy.SetRule(from.Bind.Peer.Addr(), fault.Rule{})
		d := w.publish(nil, drainFirst)
		w.runFor(2 * time.Second)
		return d
	}},
	{name: "loss and reordering between VMs while one restarts in a drain", proxied: true, planned: true, run: func(w *testbed) time.Duration {
		for _, a := range w.Config.Domains {
			for _, b := range w.Config.Domains {
				w.SetPathRule(a.Name, b.Name, fault.Rule{Loss: 0.03, Duplicate: 0.03, Jitter: 10 * time.Millisecond})
			}
		}
		d := w.publish(nil, drainFirst)
		w.Stop(w.VMs[2])
		assert.NilError(w.t, w.Start(w.VMs[2]))
		w.waitReady()
		w.RouteToRunning()
		w.runFor(4 * time.Second)
		return d
	}},
}

// shortPause is longer than other VMs need to find a VM unreachable, and too
// short for the VM to drop the packets that arrived during it.
const shortPause = 800 * time.Millisecond

// addShortFlows starts to open flows to the first service that close after a few
// segments.
func (w *testbed) addShortFlows() {
	sv := &w.Config.Services[0]
	w.Flows.Add(caller.FlowPlan{
		VNI: sv.VNI, Address: sv.Address, Flows: w.flows / 2, OpenPerSecond: float64(w.flows) / 2, Segments: 3,
		Interval: 500 * time.Millisecond, RetransmitTimeout: 300 * time.Millisecond,
	})
}

// assertSlowStart fails if an upstream of a failure domain that was put back
// received more new flows in a second than its warm-up rate permits.
func (w *testbed) assertSlowStart(d config.DomainName, since time.Time) {
	w.t.Helper()
	limits := w.Config.Services[0].WarmUp
	for _, name := range w.upstreamsIn(d) {
		for _, at := range w.Endpoints[name].OpenedAt(since) {
			w.assertRateWithin(name, since, at, limits)
		}
	}
}

// assertRateWithin fails if an upstream whose warm-up began at start received
// more new flows than permitted in the second that begins at the given time.
func (w *testbed) assertRateWithin(name config.UpstreamName, start, at time.Time, limits config.WarmUp) {
	w.t.Helper()
	n := 0
	for _, other := range w.Endpoints[name].OpenedAt(at) {
		if other.Sub(at) < time.Second {
			n++
		}
	}
	progress := min(1, at.Add(time.Second).Sub(start).Seconds()/limits.DurationMillis.Seconds())
	permitted := limits.InitialPerSecond + progress*(limits.FullPerSecond-limits.InitialPerSecond)
	assert.Assert(w.t, float64(n) <= permitted, "%s received %d new flows in a second, the warm-up limit is %.1f", name, n, permitted)
}

func TestFlows(t *testing.T) {
	t.Parallel()
	for _, sc := range flowScenarios {
		for i, d := range deployments {
			if !*long && i != len(sc.name)%len(deployments) {
				continue // the short form alternates between the deployments
			}
			t.Run(fmt.Sprintf("%s/%s", sc.name, d.name), func(t *testing.T) {
				t.Parallel()
				var opts []site.Option
				if sc.proxied {
					opts = append(opts, site.WithProxies())
				}
				w := newTestbed(t, d, nil, opts...)
				w.openFlows()
				inForce := sc.run(w)
				r := w.report(inForce)
				if sc.planned {
					assert.Equal(t, r.Broken, 0, "flows broke in a planned change")
				}
				assert.Assert(t, r.Stalled <= r.Open/50, "%d flows were stalled at the end", r.Stalled)
			})
		}
	}
}
