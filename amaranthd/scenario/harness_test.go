package scenario

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/daemon"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/demo"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/vm"
	"github.com/amaranthswitch/amaranthswitch/examples"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/standin/caller"
	"github.com/amaranthswitch/amaranthswitch/standin/site"
)

var (
	long     = flag.Bool("scenario.long", false, "run the long forms")
	seed     = flag.Uint64("scenario.seed", 1, "seed of all random choices")
	keepLogs = flag.Bool("scenario.keep", false, "print the daemons' logs")
	binary   string
	network  atomic.Int32
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Each scenario runs nine daemons, which use 0.7 of a core.
	_ = flag.Set("test.parallel", "4")
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "amaranthd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "amaranthd")
	build := exec.Command("go", "build", "-o", binary, "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// launcher returns a launcher that starts daemons as processes whose logs and
// settings are in dir.
func launcher(t *testing.T, dir string) site.Launcher {
	n := 0
	return func(_ context.Context, settings []byte) (*site.Process, error) {
		n++
		path := filepath.Join(dir, fmt.Sprintf("settings-%d.json", n))
		if err := os.WriteFile(path, settings, 0o600); err != nil {
			return nil, err
		}
		log, err := os.Create(filepath.Join(dir, fmt.Sprintf("log-%d.json", n)))
		if err != nil {
			return nil, err
		}
		cmd := exec.Command(binary, "run", "--settings", path)
		cmd.Stderr = log
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = cmd.Wait()
			_ = log.Close()
		}()
		signal := func(s syscall.Signal) { _ = cmd.Process.Signal(s) }
		return &site.Process{
			PID:     cmd.Process.Pid,
			Stop:    func() { signal(syscall.SIGTERM); waitEnd(t, ended) },
			Kill:    func() { signal(syscall.SIGKILL); waitEnd(t, ended) },
			Suspend: func() { signal(syscall.SIGSTOP) },
			Resume:  func() { signal(syscall.SIGCONT) },
		}, nil
	}
}

func waitEnd(t *testing.T, ended <-chan struct{}) {
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Error("daemon did not exit within 20 s")
	}
}

// deployment is an example configuration to test.
type deployment struct {
	name string
	file []byte
}

var deployments = []deployment{{"workshop", examples.Workshop}, {"trentfeed", examples.Trentfeed}}

// testbed is a running site with the state that all scenarios share.
type testbed struct {
	*site.Site
	t         *testing.T
	pool      *rpc.Pool
	flows     int
	dir       string
	loadStart time.Time
}

// shortOrLong returns longer if -scenario.long is set, and short otherwise.
func shortOrLong[T any](short, longer T) T {
	if *long {
		return longer
	}
	return short
}

func newTestbed(t *testing.T, d deployment, extra map[string]any, opts ...site.Option) *testbed {
	t.Helper()
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	fields := map[string]any{"timers": map[string]any{"leaveMillis": 1500}}
	for k, v := range extra {
		fields[k] = v
	}
	opts = append([]site.Option{
		site.WithNetwork(int(10 + network.Add(1))), site.WithSeed(*seed), site.WithSettings(fields),
	}, opts...)
	s, cleanup, err := site.New(ctx, d.file, launcher(t, dir), opts...)
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	pool, closePool := rpc.NewPool(netip.Addr{}, 2000)
	t.Cleanup(closePool)
	w := &testbed{Site: s, t: t, pool: pool, flows: shortOrLong(1200, 10000), dir: dir}
	if *keepLogs {
		t.Cleanup(func() {
			out, _ := exec.Command("sh", "-c", "cat "+dir+"/log-*.json").Output()
			t.Logf("%s", out)
		})
	}
	assert.NilError(t, s.StartAll())
	w.waitReady()
	return w
}

// status queries the status of a VM.
func (w *testbed) status(v *site.VM) (st daemon.Status, err error) {
	err = w.pool.Call(context.Background(), v.Bind.RPC, vm.GetStatus, struct{}{}, &st)
	return st, err
}

// eventually polls check until it holds and returns the time that took. It fails
// the test after limit.
func (w *testbed) eventually(limit time.Duration, what string, check func() bool) time.Duration {
	w.t.Helper()
	begin := time.Now()
	for !check() {
		if time.Since(begin) > limit {
			w.t.Fatalf("timed out waiting for %s after %v", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begin)
}

// waitReady waits until every running VM has a configuration and reaches all
// running VMs as homes.
func (w *testbed) waitReady() {
	w.t.Helper()
	running := 0
	for _, v := range w.VMs {
		if v.Process != nil {
			running++
		}
	}
	var last string
	defer func() {
		if w.t.Failed() {
			w.t.Logf("not ready: %s", last)
		}
	}()
	w.eventually(30*time.Second, "readiness of all VMs", func() bool {
		for _, v := range w.VMs {
			if v.Process == nil {
				continue
			}
			st, err := w.status(v)
			homes := 0
			var missing []string
			for _, p := range st.Peers {
				if p.Home && p.Reachable {
					homes++
				} else {
					missing = append(missing, fmt.Sprintf("%s %v home %v reachable %v incarnation %d", p.ID, p.State, p.Home, p.Reachable, p.Incarnation))
				}
			}
			if err != nil || st.Version == 0 || homes < running {
				last = fmt.Sprintf("%s: version %d, %d of %d homes, %v, missing %v", v.ID, st.Version, homes, running, err, missing)
				return false
			}
		}
		return true
	})
}

// openFlows opens long-lived flows to all services and waits until they are
// established.
func (w *testbed) openFlows() {
	w.t.Helper()
	w.addFlows()
	w.eventually(30*time.Second, "opening of all flows", func() bool { return w.Flows.Summary().Open >= w.flows*98/100 })
	time.Sleep(establishTime)
}

// addFlows starts to open long-lived flows to all services.
func (w *testbed) addFlows() {
	total := 0
	for i := range w.Config.Services {
		total += len(w.Config.Services[i].Upstreams)
	}
	for i := range w.Config.Services {
		sv := &w.Config.Services[i]
		w.Flows.Add(caller.FlowPlan{
			VNI: sv.VNI, Address: sv.Address, Flows: w.flows * len(sv.Upstreams) / total, OpenPerSecond: float64(w.flows),
			Interval: 500 * time.Millisecond, RetransmitTimeout: 300 * time.Millisecond, Reconnect: true,
		})
	}
	w.loadStart = time.Now()
}

// establishTime is the time until the exceptions among new flows are replicated.
const establishTime = 4 * time.Second

// publish publishes a change of the configuration and returns the time until it
// is in force on every running VM but except.
func (w *testbed) publish(except *site.VM, edit func(f *config.File)) time.Duration {
	w.t.Helper()
	assert.NilError(w.t, w.Publish(edit))
	return w.waitInForce(except)
}

// waitInForce waits until the published configuration is in force on every
// running VM but except, and returns the time that took.
func (w *testbed) waitInForce(except *site.VM) time.Duration {
	w.t.Helper()
	var last string
	defer func() {
		if w.t.Failed() {
			w.t.Logf("not in force: %s", last)
		}
	}()
	return w.eventually(5*time.Second, "the configuration in force everywhere", func() bool {
		for _, v := range w.VMs {
			if v.Process == nil || v == except {
				continue
			}
			if st, err := w.status(v); err != nil || st.Version != w.Config.Version {
				last = fmt.Sprintf("%s: version %d instead of %d, %v", v.ID, st.Version, w.Config.Version, err)
				return false
			}
		}
		return true
	})
}

// upstreamsIn returns the names of the upstreams in a failure domain.
func (w *testbed) upstreamsIn(d config.DomainName) (names []config.UpstreamName) {
	for _, sv := range w.Config.Services {
		for _, u := range sv.Upstreams {
			if u.Domain == d {
				names = append(names, u.Name)
			}
		}
	}
	return names
}

// runFor keeps the load running for d, or twice as long in the long form.
func (w *testbed) runFor(d time.Duration) { time.Sleep(shortOrLong(d, 2*d)) }

// report logs the figures that every scenario measures, and checks that no
// upstream received packets of another service.
func (w *testbed) report(inForce time.Duration) caller.FlowSummary {
	w.t.Helper()
	r := w.Flows.Summary()
	maxOverMean, variation := w.imbalance(r)
	cpu, rss := w.usage()
	w.t.Logf("flows %d open %d broken %d (reset %d, moved %d) excused %d waiting %d | stall %v | imbalance %.3f / %.3f | in force %v | control %.0f B/s out | CPU %.1f %% | RSS %d MB",
		r.Opened, r.Open, r.Broken, r.Reset, r.Misrouted, r.ExpectedBreaks, r.Stalled, r.LongestStall.Round(time.Millisecond),
		maxOverMean, variation, inForce.Round(time.Millisecond), w.controlRate(), cpu, rss>>20)
	for _, b := range r.FirstBroken {
		w.t.Logf("broken %v after the start: %+v", b.At.Sub(w.loadStart).Round(time.Millisecond), b)
	}
	for name, e := range w.Endpoints {
		assert.Equal(w.t, e.Stats().WrongService, 0, "packets of another service reached %s", name)
	}
	return r
}

// imbalance returns the imbalance of flows among the upstreams of the first
// service that accept new flows.
func (w *testbed) imbalance(r caller.FlowSummary) (maxOverMean, variation float64) {
	var loads []float64
	for i := range w.Config.Services[0].Upstreams {
		if u := &w.Config.Services[0].Upstreams[i]; w.Config.AcceptsNewTraffic(u) {
			loads = append(loads, float64(r.ByServer[string(u.Name)]))
		}
	}
	return demo.Imbalance(loads)
}

// controlRate returns the mean control traffic that a daemon sends, in bytes per
// second.
func (w *testbed) controlRate() float64 {
	total, n := int64(0), 0
	kinds := make(map[string]int64)
	for _, v := range w.VMs {
		if v.Process == nil {
			continue
		}
		if st, err := w.status(v); err == nil {
			total += st.Counters.ControlBytesOut()
			n++
			for k, b := range st.Counters.BytesOut {
				kinds[k] += b
			}
		}
	}
	w.t.Logf("bytes sent by kind: %v", kinds)
	return float64(total) / float64(max(1, n)) / time.Since(w.loadStart).Seconds()
}

const ticksPerSecond = 100 // USER_HZ of Linux

// usage returns the mean CPU usage in percent of a core and the mean resident
// memory in bytes of the daemons.
func (w *testbed) usage() (cpuPercent float64, rss int64) {
	n := 0
	for _, v := range w.VMs {
		if v.Process == nil {
			continue
		}
		cpu, mem := processUsage(v.Process.PID)
		cpuPercent += cpu.Seconds() / time.Since(w.loadStart).Seconds() * 100
		rss += mem
		n++
	}
	return cpuPercent / float64(max(1, n)), rss / int64(max(1, n))
}

// processUsage returns the CPU time and the resident memory in bytes of a
// process, or zero if it does not exist.
func processUsage(pid int) (cpu time.Duration, rss int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, pages * int64(os.Getpagesize())
}
