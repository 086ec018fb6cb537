package scenario

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/standin/fault"
	"github.com/amaranthswitch/amaranthswitch/standin/site"
)

// flowScenario is a course of events. It returns the longest time until a
// configuration was in force.
type flowScenario struct {
	name    string
	proxied bool
	planned bool // no flow may break
	run     func(w *world) time.Duration
}

func drainFirst(f *config.File) { f.Services[0].Upstreams[0].State = config.UpstreamDrain }

func domainState(w *world, n int, st config.DomainState) func(f *config.File) {
	if st == config.DomainOut {
		w.Flows.ExpectBreaks(w.upstreamsIn(w.Config.Domains[n].Name)...)
	}
	return func(f *config.File) { f.Domains[n].State = st }
}

// assertQuiet fails if upstreams of a failure domain got packets later than
// the given time.
func (w *world) assertQuiet(d config.DomainName, after time.Time) {
	w.t.Helper()
	for _, name := range w.upstreamsIn(d) {
		late := w.Endpoints[name].Stats().LastPacket.Sub(after)
		assert.Assert(w.t, late <= 0, "%s got a packet %v too late", name, late)
	}
}

func restartAll(w *world, pause time.Duration) {
	for _, v := range w.VMs {
		w.Stop(v)
		assert.NilError(w.t, w.Start(v))
		w.waitReady()
		w.RouteToRunning()
		time.Sleep(pause)
	}
}

const quietAfter = 3 * time.Second

var flowScenarios = []flowScenario{
	{name: "steady", planned: true, run: func(w *world) time.Duration {
		w.settle(4 * time.Second)
		return w.publish(nil, func(*config.File) {})
	}},
	{name: "drain", planned: true, run: func(w *world) time.Duration {
		d := w.publish(nil, drainFirst)
		before := w.Endpoints[w.Config.Services[0].Upstreams[0].Name].Stats().Opened
		w.settle(4 * time.Second)
		assert.Equal(w.t, w.Endpoints[w.Config.Services[0].Upstreams[0].Name].Stats().Opened, before, "a draining upstream got new flows")
		return d
	}},
	{name: "rolling restart of every VM", planned: true, run: func(w *world) time.Duration {
		d := w.publish(nil, drainFirst)
		restartAll(w, 500*time.Millisecond)
		w.settle(2 * time.Second)
		return d
	}},
	{name: "failure domain out and back", planned: true, run: func(w *world) time.Duration {
		out := w.publish(nil, domainState(w, 2, config.DomainOut))
		limit := time.Now().Add(quietAfter)
		w.settle(6 * time.Second)
		w.assertQuiet(w.Config.Domains[2].Name, limit)
		cold := time.Now()
		in := w.publish(nil, domainState(w, 2, config.DomainIn))
		w.settle(5 * time.Second)
		w.assertBorne(w.Config.Domains[2].Name, cold)
		return max(out, in)
	}},
	{name: "drain while a VM dies", run: func(w *world) time.Duration {
		assert.NilError(w.t, w.Publish(drainFirst))
		w.Kill(w.VMs[4])
		time.Sleep(500 * time.Millisecond)
		w.RouteToRunning()
		d := w.inForce(nil)
		w.settle(6 * time.Second)
		return d
	}},
	{name: "partition of a failure domain and heal", proxied: true, run: func(w *world) time.Duration {
		a, b, c := w.Config.Domains[0].Name, w.Config.Domains[1].Name, w.Config.Domains[2].Name
		w.SetPathRule(a, c, fault.Rule{Block: true})
		w.SetPathRule(b, c, fault.Rule{Block: true})
		w.settle(6 * time.Second)
		w.SetPathRule(a, c, fault.Rule{})
		w.SetPathRule(b, c, fault.Rule{})
		w.waitReady()
		w.settle(3 * time.Second)
		return w.publish(nil, drainFirst)
	}},
	{name: "pause of a VM and late wake", planned: true, run: func(w *world) time.Duration {
		v := w.VMs[3]
		v.Process.Suspend()
		w.RouteToRunning(v)
		d := w.publish(v, domainState(w, 2, config.DomainOut))
		time.Sleep(10 * time.Second)
		limit := time.Now()
		v.Process.Resume()
		w.RouteToRunning()
		w.settle(4 * time.Second)
		w.assertQuiet(w.Config.Domains[2].Name, limit)
		return max(d, w.inForce(nil))
	}},
	{name: "platform down, then stale", planned: true, run: func(w *world) time.Duration {
		d := w.publish(nil, drainFirst)
		w.Platform.SetDown(true)
		w.settle(2 * time.Second)
		w.Platform.SetStale(1)
		w.Platform.SetDown(false)
		w.Stop(w.VMs[1])
		assert.NilError(w.t, w.Start(w.VMs[1]))
		w.RouteToRunning()
		w.settle(4 * time.Second)
		assert.Equal(w.t, w.inForce(nil) < time.Second, true, "a stale platform brought an old file back")
		return d
	}},
	{name: "half-open channels", proxied: true, planned: true, run: func(w *world) time.Duration {
		from, to := w.VMs[0], w.VMs[4]
		to.Proxy.SetRule(from.Bind.Peer.Addr(), fault.Rule{Blackhole: true})
		w.settle(3 * time.Second)
		to.Proxy.SetRule(from.Bind.Peer.Addr(), fault.Rule{})
		d := w.publish(nil, drainFirst)
		w.settle(2 * time.Second)
		return d
	}},
	{name: "loss and reordering between VMs while one restarts in a drain", proxied: true, planned: true, run: func(w *world) time.Duration {
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
		w.settle(4 * time.Second)
		return d
	}},
}

// assertBorne fails if an upstream that came back was given more new flows in
// a second than it bears.
func (w *world) assertBorne(d config.DomainName, since time.Time) {
	w.t.Helper()
	limits := w.Config.Services[0].WarmUp
	for _, name := range w.upstreamsIn(d) {
		for _, at := range w.Endpoints[name].OpenedAt(since) {
			w.assertSecond(name, since, at, limits)
		}
	}
}

// assertSecond checks the second that begins at the given time.
func (w *world) assertSecond(name config.UpstreamName, start, at time.Time, limits config.WarmUp) {
	w.t.Helper()
	n := 0
	for _, other := range w.Endpoints[name].OpenedAt(at) {
		if other.Sub(at) < time.Second {
			n++
		}
	}
	progress := min(1, at.Add(time.Second).Sub(start).Seconds()/limits.DurationMillis.Seconds())
	bears := limits.InitialPerSecond + progress*(limits.FullPerSecond-limits.InitialPerSecond)
	assert.Assert(w.t, float64(n) <= bears, "%s got %d flows in a second and bears %.1f", name, n, bears)
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
				w := newWorld(t, d, nil, opts...)
				w.openFlows()
				inForce := sc.run(w)
				r := w.report(inForce)
				if sc.planned {
					assert.Equal(t, r.Broken, 0, "flows broke in a planned change")
				}
				assert.Assert(t, r.Stalled <= r.Open/50, "%d flows got no answer at the end", r.Stalled)
			})
		}
	}
}
