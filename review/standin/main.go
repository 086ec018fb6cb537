// Command standin plays one case of the review: stand-ins of the platform, the endpoints
// and the consumers around processes of the system.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// limit is the longest time that a case may run.
const limit = 110 * time.Second

// world holds everything that a case runs.
type world struct {
	zones        []string
	subnet       string
	packetsPort  uint16
	readyPort    uint16
	controlPort  uint16
	storeAddress string
	heartbeat    time.Duration
	binary       string
	template     string
	dir          string
	trouble      bool

	store     *store
	endpoints []*endpoint
	daemons   []*daemon
	consumers map[string]*consumer

	start   time.Time
	quiet   map[netip.AddrPort]bool // routes of background traffic that is not recorded
	synSent sync.Map                // time.Time by flowID, when the consumer first sent the SYN
	mu      sync.Mutex
	record  *os.File
	runs    map[string]int
	resets  int // resets of open flows that the flow's endpoint, which lives, did not send
}

// errSetup means that a case could not run.
var errSetup = errors.New("the case could not run")

// cases are the cases by name. Each returns how its rule was broken, "" if it held.
var cases = map[string]func(w *world) (broken string, err error){
	"full":     caseFull,
	"lapse":    caseLapse,
	"fraction": caseFraction,
	"seeds":    caseSeeds,
	"return":   caseReturn,
	"token":    caseToken,
}

func main() {
	name := flag.String("case", "", "case to play")
	binary := flag.String("binary", "target/amaranth-entry", "program of the deploy file")
	template := flag.String("template", "deploy/settings.json.tmpl", "template of the settings")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *binary, *template, *record))
}

func run(name, binary, template, record string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	w := &world{
		binary: binary, template: template, dir: dir, record: file, trouble: os.Getenv("TROUBLE") != "0", heartbeat: 1200 * time.Millisecond,
		zones: []string{"a", "b"}, consumers: make(map[string]*consumer), runs: make(map[string]int), start: time.Now(),
	}
	result := make(chan int, 1)
	go func() {
		broken, err := play(w)
		switch {
		case err != nil:
			w.logf("result: not run: %v", err)
			result <- 2
		case broken != "":
			w.logf("result: broken: %s", broken)
			result <- 1
		default:
			w.logf("result: held")
			result <- 0
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	code := 2
	select {
	case code = <-result:
	case <-signals:
	case <-time.After(limit):
		w.logf("result: not run: out of time")
	}
	for _, d := range w.daemons {
		d.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	return code
}

// logf writes a line to the record, with the time since the start in seconds.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// setUp finds free addresses and starts the store, with a configuration, and the
// consumers of each zone.
func (w *world) setUp(config map[string]any) error {
	for range 20 {
		w.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		w.packetsPort = uint16(20_000 + 50*rand.IntN(200))
		w.readyPort, w.controlPort = w.packetsPort+1, w.packetsPort+2
		w.storeAddress = w.at(1, w.controlPort+20)
		s, err := startStore(w.storeAddress)
		if err != nil {
			continue
		}
		w.store = s
		for i, zone := range w.zones {
			c, err := w.startConsumer(zone, netip.MustParseAddrPort(w.at(200+i, w.packetsPort)))
			if err != nil {
				return errors.Join(errSetup, err)
			}
			w.consumers[zone] = c
		}
		s.put("op/config", config)
		return nil
	}
	return errSetup
}

func (w *world) at(host int, port uint16) string {
	return fmt.Sprintf("%s.%d:%d", w.subnet, host, port)
}

// awaitReady waits until the routers send to all daemons that run.
func (w *world) awaitReady(within time.Duration) error {
	for deadline := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		all := true
		for _, d := range w.daemons {
			all = all && (!d.running() || d.inRotation())
		}
		if all {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: daemons are not ready", errSetup)
		}
	}
}

// addEndpoint starts an endpoint at host number n of the subnet.
func (w *world) addEndpoint(id, service, zone string, n, maxConns int, workFor time.Duration) (*endpoint, error) {
	return w.startEndpoint(id, service, zone, netip.MustParseAddrPort(w.at(n, 8080)), maxConns, workFor)
}

// ran records that an endpoint ran a request.
func (w *world) ran(e *endpoint, id flowID, request string) {
	w.mu.Lock()
	w.runs[request]++
	twice := w.runs[request] > 1
	w.mu.Unlock()
	if w.quiet[id.route] && !twice {
		return
	}
	w.logf("endpoint %s: ran %q of %s", e.id, request, id.consumer)
}

// reset records a reset that reached an open flow, and counts it if the flow's endpoint
// lives, holds the flow and did not send it.
func (w *world) reset(f *consumerFlow, bySystem bool) {
	sender := "another endpoint"
	if bySystem {
		sender = "the system"
	}
	for _, e := range w.endpoints {
		if e.holds(f.id) {
			w.mu.Lock()
			w.resets++
			w.mu.Unlock()
			w.logf("consumer: open flow %s reset by %s, though endpoint %s lives and holds it", f.id.consumer, sender, e.id)
			return
		}
	}
	w.logf("consumer: flow %s reset by %s; no endpoint holds it", f.id.consumer, sender)
}

func (w *world) synSentAt(id flowID) time.Time {
	at, _ := w.synSent.Load(id)
	sent, _ := at.(time.Time)
	return sent
}

func (w *world) brokenFlows() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.resets
}

// request sends a request on a flow and records both it and its result.
func (w *world) request(f *consumerFlow, text string, within time.Duration) error {
	w.logf("consumer: %s sends %q", f.id.consumer, text)
	err := f.request(text, within)
	if err != nil {
		w.logf("consumer: %s got no answer to %q: %v", f.id.consumer, text, err)
		return err
	}
	w.logf("consumer: %s got the answer to %q", f.id.consumer, text)
	return nil
}

// traffic opens flows with one request each, perSecond a second, until stop is closed.
func (w *world) traffic(zone string, route netip.AddrPort, name string, perSecond int, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		go func() {
			f, err := w.consumers[zone].open(route)
			if err != nil {
				return
			}
			_ = f.request(fmt.Sprintf("%s-%s-%d", name, zone, i), 2*time.Second)
			f.close()
		}()
	}
}

func hashOf(node string, id flowID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node + id.consumer.String() + id.route.String()))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// configuration returns a configuration that routes each address to a service.
func configuration(version int, routes map[string]string, services ...map[string]any) map[string]any {
	var list []any
	for address, service := range routes {
		host, port, _ := net.SplitHostPort(address)
		list = append(list, map[string]any{
			"name": "r-" + service, "host": host, "prefix": "/" + port + "/", "service": service, "kind": "safe",
			"timeoutMs": 4000, "targetLatencyMs": 250, "priority": 1, "maxAttempts": 2,
		})
	}
	return map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func service(name string, maxConns int, warmupS, warmupPerS float64) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": maxConns, "protocol": "h1", "tls": false, "warmupS": warmupS, "warmupPerS": warmupPerS}
}
