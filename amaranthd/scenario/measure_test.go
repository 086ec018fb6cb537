package scenario

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/standin/caller"
)

// controlBytes returns the control bytes that all daemons have sent to each other,
// which exclude forwarded packets, and the bytes sent by kind of message.
func (w *testbed) controlBytes() (n int64, kinds map[string]int64) {
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
	controlBudget = 4000 // target, in bytes per second and daemon
	settleTime    = 8 * time.Second
)

// TestControlBudget checks the control traffic under a mix of short-lived and
// long-lived flows.
func TestControlBudget(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, deployments[0], nil)
	w.flows = shortOrLong(600, 3000)
	w.openFlows()
	perSecond := shortOrLong(1500.0, 18000.0)
	sv := &w.Config.Services[0]
	w.Flows.Add(caller.FlowPlan{
		VNI: sv.VNI, Address: sv.Address, Flows: int(2 * perSecond), OpenPerSecond: perSecond, Segments: 3,
		Interval: 100 * time.Millisecond, RetransmitTimeout: 300 * time.Millisecond,
	})
	time.Sleep(settleTime)
	opened := w.Flows.Summary().Opened
	before, kindsBefore := w.controlBytes()
	begin := time.Now()
	time.Sleep(shortOrLong(4*time.Second, 20*time.Second))
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

// TestBaselines runs the same events with the daemon, with a flow table without
// homes and with random choice. It logs all figures and asserts only on the
// daemon.
func TestBaselines(t *testing.T) {
	if !*long {
		t.Skip("the comparison runs with -scenario.long")
	}
	for _, baseline := range []string{"", "tableOnly", "random"} {
		t.Run("baseline "+baseline, func(t *testing.T) {
			w := newTestbed(t, deployments[0], map[string]any{"baseline": baseline})
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

// TestImbalance checks the imbalance of many flows against the target.
func TestImbalance(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, deployments[1], nil)
	w.flows = 13000 // 14/18 of them go to the first service
	w.openFlows()
	maxOverMean, variation := w.imbalance(w.report(0))
	t.Logf("%d flows: max/mean %.3f, variation %.3f", w.flows, maxOverMean, variation)
	assert.Assert(t, maxOverMean <= 1.05)
}

// TestColdWithoutWarning restarts an upstream that reports the restart late. Once
// two signals agree that it is cold, new flows must stay within its warm-up rate.
func TestColdWithoutWarning(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, deployments[1], nil)
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
	time.Sleep(2 * time.Second) // one probe fails, the next reports the restart
	begin := time.Now()
	time.Sleep(3 * time.Second)
	cold := rate(begin)
	t.Logf("new flows a second: %.1f before the restart, %.1f after", warm, cold)
	assert.Assert(t, cold < warm/2, "the rate of new flows to the cold upstream did not drop")
	w.assertSlowStartOf(u.Name, begin.Add(-2*time.Second), begin)
}

// refuseHealthOnce makes the health endpoint of an upstream fail one probe.
func (w *testbed) refuseHealthOnce(name config.UpstreamName) {
	s := w.Servers[name]
	s.SetUnhealthy(true)
	time.Sleep(1100 * time.Millisecond)
	s.SetUnhealthy(false)
}

// assertSlowStartOf checks the rate of new flows after from, for an upstream whose
// warm-up began at start.
func (w *testbed) assertSlowStartOf(name config.UpstreamName, start, from time.Time) {
	w.t.Helper()
	for _, at := range w.Endpoints[name].OpenedAt(from) {
		w.assertRateWithin(name, start, at, w.Config.Services[0].WarmUp)
	}
}
