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
	long    = flag.Bool("scenario.long", false, "run the long forms")
	seed    = flag.Uint64("scenario.seed", 1, "seed of all random choices")
	keep    = flag.Bool("scenario.keep", false, "print the daemons' logs")
	binary  string
	network atomic.Int32
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Each scenario runs nine daemons and takes 0.7 of a core.
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

// launcher starts daemons as processes that log into dir.
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
		t.Error("a daemon did not end")
	}
}

// deployment is one of the users' sites.
type deployment struct {
	name string
	file []byte
}

var deployments = []deployment{{"workshop", examples.Workshop}, {"trentfeed", examples.Trentfeed}}

// world is a running site with what the scenarios share.
type world struct {
	*site.Site
	t     *testing.T
	pool  *rpc.Pool
	flows int
	dir   string
	begun time.Time
}

// scale returns the short or the long value.
func scale[T any](short, longer T) T {
	if *long {
		return longer
	}
	return short
}

func newWorld(t *testing.T, d deployment, extra map[string]any, opts ...site.Option) *world {
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
	w := &world{Site: s, t: t, pool: pool, flows: scale(1200, 10000), dir: dir}
	if *keep {
		t.Cleanup(func() {
			out, _ := exec.Command("sh", "-c", "cat "+dir+"/log-*.json").Output()
			t.Logf("%s", out)
		})
	}
	assert.NilError(t, s.StartAll())
	w.waitReady()
	return w
}

// status asks a VM for its state.
func (w *world) status(v *site.VM) (st daemon.Status, err error) {
	err = w.pool.Call(context.Background(), v.Bind.RPC, vm.GetStatus, struct{}{}, &st)
	return st, err
}

// eventually waits until check holds and returns how long that took.
func (w *world) eventually(limit time.Duration, what string, check func() bool) time.Duration {
	w.t.Helper()
	begin := time.Now()
	for !check() {
		if time.Since(begin) > limit {
			w.t.Fatalf("%s did not come about within %v", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begin)
}

// waitReady waits until every running VM has a configuration and sees all
// others as homes.
func (w *world) waitReady() {
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

// openFlows opens long flows to all services and waits until they are open.
func (w *world) openFlows() {
	w.t.Helper()
	w.addFlows()
	w.eventually(30*time.Second, "opening of all flows", func() bool { return w.Flows.Summary().Open >= w.flows*98/100 })
	time.Sleep(establishTime)
}

// addFlows begins to open long flows to all services.
func (w *world) addFlows() {
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
	w.begun = time.Now()
}

// establishTime is the time in which exceptions among new flows are copied.
const establishTime = 4 * time.Second

// publish changes the configuration and returns how long it took until every
// running VM had it in force.
func (w *world) publish(except *site.VM, edit func(f *config.File)) time.Duration {
	w.t.Helper()
	assert.NilError(w.t, w.Publish(edit))
	return w.inForce(except)
}

func (w *world) inForce(except *site.VM) time.Duration {
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

// upstreamsIn lists the upstreams of a failure domain.
func (w *world) upstreamsIn(d config.DomainName) (names []config.UpstreamName) {
	for _, sv := range w.Config.Services {
		for _, u := range sv.Upstreams {
			if u.Domain == d {
				names = append(names, u.Name)
			}
		}
	}
	return names
}

// settle lets the flows go on for a while.
func (w *world) settle(d time.Duration) { time.Sleep(scale(d, 2*d)) }

// report prints what is measured in every scenario and checks what must hold
// in each.
func (w *world) report(inForce time.Duration) caller.FlowSummary {
	w.t.Helper()
	r := w.Flows.Summary()
	maxOverMean, variation := w.imbalance(r)
	cpu, rss := w.usage()
	w.t.Logf("flows %d open %d broken %d (reset %d, moved %d) excused %d waiting %d | stall %v | imbalance %.3f / %.3f | in force %v | control %.0f B/s out | CPU %.1f %% | RSS %d MB",
		r.Opened, r.Open, r.Broken, r.Reset, r.Misrouted, r.ExpectedBreaks, r.Stalled, r.LongestStall.Round(time.Millisecond),
		maxOverMean, variation, inForce.Round(time.Millisecond), w.controlRate(), cpu, rss>>20)
	for _, b := range r.FirstBroken {
		w.t.Logf("broken %v after the start: %+v", b.At.Sub(w.begun).Round(time.Millisecond), b)
	}
	for name, e := range w.Endpoints {
		assert.Equal(w.t, e.Stats().WrongService, 0, "packets of another service reached %s", name)
	}
	return r
}

// imbalance compares the flows on the upstreams of the first service that
// take new flows.
func (w *world) imbalance(r caller.FlowSummary) (maxOverMean, variation float64) {
	var loads []float64
	for i := range w.Config.Services[0].Upstreams {
		if u := &w.Config.Services[0].Upstreams[i]; w.Config.AcceptsNewTraffic(u) {
			loads = append(loads, float64(r.ByServer[string(u.Name)]))
		}
	}
	return demo.Imbalance(loads)
}

// controlRate returns the mean rate of control bytes that a daemon sends.
func (w *world) controlRate() float64 {
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
	return float64(total) / float64(max(1, n)) / time.Since(w.begun).Seconds()
}

const ticksPerSecond = 100 // USER_HZ of Linux

// usage returns the mean share of a core and the mean resident memory of the
// daemons.
func (w *world) usage() (cpuPercent float64, rss int64) {
	n := 0
	for _, v := range w.VMs {
		if v.Process == nil {
			continue
		}
		cpu, mem := processUsage(v.Process.PID)
		cpuPercent += cpu.Seconds() / time.Since(w.begun).Seconds() * 100
		rss += mem
		n++
	}
	return cpuPercent / float64(max(1, n)), rss / int64(max(1, n))
}

// processUsage reads a process's processor time and resident memory.
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
