package scenario

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/standin/caller"
)

// controlBytes sums up what all daemons have sent to each other but packets.
func (w *world) controlBytes() (n int64, kinds map[string]int64) {
	kinds = make(map[string]int64)
	for _, v := range w.VMs {
		st, err := w.status(v)
		assert.NilError(w.t, err)
		n += st.Counters.ControlBytesOut()
		for k, b := range st.Counters.BytesOut {
			kinds[k] += b
		}
	}
	return n, kinds
}

const (
	controlBudget = 4000 // bytes a second and daemon, the stated target
	settleTime    = 8 * time.Second
)

// TestControlBudget measures control bytes under a stream of short flows beside
// long ones.
func TestControlBudget(t *testing.T) {
	t.Parallel()
	w := newWorld(t, deployments[0], nil)
	w.flows = scale(600, 3000)
	w.openFlows()
	perSecond := scale(1500.0, 18000.0)
	sv := &w.Config.Services[0]
	w.Flows.Add(caller.FlowPlan{
		VNI: sv.VNI, Address: sv.Address, Flows: int(2 * perSecond), OpenPerSecond: perSecond, Segments: 3,
		Interval: 100 * time.Millisecond, RetransmitTimeout: 300 * time.Millisecond,
	})
	time.Sleep(settleTime)
	opened := w.Flows.Summary().Opened
	before, kindsBefore := w.controlBytes()
	begin := time.Now()
	time.Sleep(scale(4*time.Second, 20*time.Second))
	after, kinds := w.controlBytes()
	seconds := time.Since(begin).Seconds()
	for k := range kinds {
		kinds[k] = int64(float64(kinds[k]-kindsBefore[k]) / seconds / float64(len(w.VMs)))
	}
	rate := float64(after-before) / seconds / float64(len(w.VMs))
	r := w.report(0)
	t.Logf("%.0f new flows a second and daemon: control %.0f B/s a daemon, by kind %v", float64(r.Opened-opened)/seconds/float64(len(w.VMs)), rate, kinds)
	assert.Assert(t, rate < controlBudget)
	assert.Equal(t, r.Broken, 0)
}

// TestBaselines compares the daemon with a table without homes and with a
// random choice, in the same course of events. It prints and judges only the
// daemon.
func TestBaselines(t *testing.T) {
	if !*long {
		t.Skip("the comparison runs with -scenario.long")
	}
	for _, baseline := range []string{"", "tableOnly", "random"} {
		t.Run("baseline "+baseline, func(t *testing.T) {
			w := newWorld(t, deployments[0], map[string]any{"baseline": baseline})
			w.flows = 3000
			w.addFlows()
			time.Sleep(6 * time.Second) // a baseline may never have all flows open
			inForce := w.publish(nil, drainFirst)
			time.Sleep(2 * time.Second)
			w.Stop(w.VMs[4])
			assert.NilError(t, w.Start(w.VMs[4]))
			w.RouteToRunning()
			time.Sleep(4 * time.Second)
			if r := w.report(inForce); baseline == "" {
				assert.Equal(t, r.Broken, 0)
			}
		})
	}
}

// TestImbalance holds the spread of many flows to the target.
func TestImbalance(t *testing.T) {
	t.Parallel()
	w := newWorld(t, deployments[1], nil)
	w.flows = 13000 // of which 14 of 18 parts go to the first service
	w.openFlows()
	maxOverMean, variation := w.imbalance(w.report(0))
	t.Logf("%d flows: max/mean %.3f, variation %.3f", w.flows, maxOverMean, variation)
	assert.Assert(t, maxOverMean <= 1.05)
}

// TestColdWithoutWarning restarts an upstream that says so late, and holds what
// it gets to what it bears once two signals agreed.
func TestColdWithoutWarning(t *testing.T) {
	t.Parallel()
	w := newWorld(t, deployments[1], nil)
	sv := &w.Config.Services[0]
	w.Flows.Add(caller.FlowPlan{
		VNI: sv.VNI, Address: sv.Address, Flows: 4000, OpenPerSecond: 600, Segments: 3,
		Interval: 100 * time.Millisecond, RetransmitTimeout: 300 * time.Millisecond,
	})
	time.Sleep(4 * time.Second)
	u := sv.Upstreams[5]
	rate := func(from time.Time) float64 {
		return float64(len(w.Endpoints[u.Name].OpenedAt(from))) / time.Since(from).Seconds()
	}
	warm := rate(time.Now().Add(-2 * time.Second))
	w.Endpoints[u.Name].Restart()
	w.Servers[u.Name].Restart(10 * time.Second)
	w.refuseHealthOnce(u.Name)
	time.Sleep(2 * time.Second) // a probe fails, and then one tells of the restart
	begin := time.Now()
	time.Sleep(3 * time.Second)
	cold := rate(begin)
	t.Logf("new flows a second: %.1f before the restart, %.1f after", warm, cold)
	assert.Assert(t, cold < warm/2, "the cold upstream was not spared")
	w.assertBorneBy(u.Name, begin.Add(-2*time.Second), begin)
}

// refuseHealthOnce makes an upstream's health endpoint fail for one probe.
func (w *world) refuseHealthOnce(name config.UpstreamName) {
	s := w.Servers[name]
	s.SetUnhealthy(true)
	time.Sleep(1100 * time.Millisecond)
	s.SetUnhealthy(false)
}

// assertBorneBy checks every second that begins after from, for an upstream
// whose warm-up began at start.
func (w *world) assertBorneBy(name config.UpstreamName, start, from time.Time) {
	w.t.Helper()
	for _, at := range w.Endpoints[name].OpenedAt(from) {
		w.assertSecond(name, start, at, w.Config.Services[0].WarmUp)
	}
}
