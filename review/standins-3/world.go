package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sort"
	"sync"
	"time"
)

// reset is a reset that a consumer got on an open flow.
type reset struct {
	at     time.Time
	own    bool // of the system, not of an endpoint
	flow   flowID
	vm     string
	echoed uint32
}

// run is a request that an endpoint began to work on.
type run struct {
	at       time.Time
	id       string
	endpoint *endpoint
}

// world is a small deployment: seven machines in three zones, two services and their
// consumers, with the figures of the sheet of Sông Hương.
type world struct {
	rec      *record
	dir      string
	subnet   string
	lock     net.Listener // reserves subnet
	zones    []string
	ping     time.Duration
	warmup   time.Duration
	perCold  float64
	slots    int
	ateliers int // endpoints of atelier
	users    int // kept flows in each zone
	work     map[string]time.Duration
	router   *router
	links    *links
	options  options
	machines []*machine
	stop     chan struct{}

	feed, order, scan *class
	consumers         []*consumer

	mu        sync.Mutex
	store     *store
	endpoints []*endpoint
	openings  []opening
	sent      map[netip.AddrPort]time.Time
	resets    []reset
	runs      []run
	counts    map[string]int
	version   int
}

// options vary a world.
type options struct {
	era       int
	perCold   float64
	linked    bool // machines reach each other by links that can be cut
	archives  int  // endpoints of archive, 4 if 0
	trentfeed bool // pings, slots and work are those of the sheet of Trentfeed, with fewer endpoints and kept flows
}

// newWorld starts the store, the endpoints and the machines, and waits until all machines
// are in rotation.
func newWorld(rec *record, o options) (w *world, err error) {
	w = &world{
		rec: rec, zones: []string{"hue-a", "hue-b", "hue-c"}, ping: 770 * time.Millisecond, slots: 2, ateliers: 14, users: 30, warmup: 2 * time.Second, perCold: o.perCold,
		work:  map[string]time.Duration{"atelier": 25 * time.Millisecond, "archive": 5 * time.Millisecond},
		links: newLinks(), options: o, stop: make(chan struct{}), sent: map[netip.AddrPort]time.Time{}, counts: map[string]int{},
	}
	if o.trentfeed {
		w.ping, w.slots, w.ateliers, w.users = 1200*time.Millisecond, 4, 8, 15
		w.work["atelier"] = 60 * time.Millisecond
	}
	if w.dir, err = os.MkdirTemp("", "review3"); err != nil {
		return nil, err
	}
	if err = w.reserveSubnet(); err != nil {
		return nil, err
	}
	w.router = newRouter(w)
	if w.store, err = startStore(rec, w.address(0, 1, 18169), w.ping, o.era); err != nil {
		return nil, err
	}
	w.feed = &class{name: "palette-feed", route: w.routeAddr(1, 8443), method: "GET", safe: true, long: true, budget: 800 * time.Millisecond}
	w.order = &class{name: "blazon-order", route: w.routeAddr(1, 8080), method: "POST", budget: time.Second}
	w.scan = &class{name: "plate-scan", route: w.routeAddr(2, 8443), method: "GET", safe: true, budget: 3 * time.Second}
	w.configure(w.baseRoutes())
	return w, w.populate()
}

// reserveSubnet finds a network of loopback addresses that no other run uses.
func (w *world) reserveSubnet() error {
	for n := 60; n < 120; n++ {
		w.subnet = fmt.Sprintf("127.%d", n)
		if lock, err := net.Listen("tcp4", w.address(0, 254, 18165)); err == nil {
			w.lock = lock // held until the process ends
			return nil
		}
	}
	return errors.New("no free network of loopback addresses")
}

func (w *world) address(net, host, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", w.subnet, net, host, port)
}

func (w *world) routeAddr(host, port int) netip.AddrPort {
	return netip.MustParseAddrPort(w.address(9, host, port))
}

func (w *world) populate() error {
	seeds := []string{w.address(0, 10, controlPort), w.address(0, 13, controlPort), w.address(0, 15, controlPort)}
	for i, zone := range []int{0, 0, 0, 1, 1, 2, 2} {
		z := w.zones[zone]
		m := w.newMachine(fmt.Sprintf("front-%s-%d", z, i+1), z, fmt.Sprintf("%s.0.%d", w.subnet, 10+i), seeds)
		if w.options.linked {
			if err := w.links.attach(m); err != nil {
				return err
			}
		}
		if err := m.start(); err != nil {
			return err
		}
		w.router.add(m)
	}
	archives := 4
	if w.options.archives > 0 {
		archives = w.options.archives
	}
	for i := range w.ateliers + archives {
		service, zone := "atelier", w.zones[i%3]
		if i >= w.ateliers {
			service = "archive"
		}
		if _, err := w.startEndpoint(fmt.Sprintf("i-%010x", 0x7f3a91c200+i*7919), service, zone, w.address(1, 1+i, 8367), false); err != nil {
			return err
		}
	}
	for i, zone := range w.zones {
		c, err := w.startConsumer(zone, fmt.Sprintf("%s.2.%d", w.subnet, 1+i))
		if err != nil {
			return err
		}
		w.consumers = append(w.consumers, c)
	}
	deadline := time.Now().Add(10 * time.Second)
	for !w.router.ready() {
		if time.Now().After(deadline) {
			return errors.New("machines are not ready")
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	return nil
}

// startTraffic begins the traffic of the sheet: kept flows, and fresh ones for orders and
// scans.
func (w *world) startTraffic() {
	w.rec.begin = time.Now()
	for _, c := range w.consumers {
		for range w.users {
			go c.user(w.feed, w.stop)
		}
		go c.traffic(w.order, 83.3/3, w.stop)
		go c.traffic(w.scan, 25.0/3, w.stop)
	}
}

// end stops the traffic and ends all processes.
func (w *world) end() {
	close(w.stop)
	time.Sleep(300 * time.Millisecond)
	for _, m := range w.machines {
		m.kill()
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) storeNow() *store {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.store
}

// routeConfig is a route of the configuration.
type routeConfig struct {
	name    string
	address netip.AddrPort
	kind    string
	service string
	budget  time.Duration
}

func (w *world) baseRoutes() []routeConfig {
	return []routeConfig{
		{"r-feed", w.feed.route, "safe", "atelier", w.feed.budget},
		{"r-order", w.order.route, "unsafe", "atelier", w.order.budget},
		{"r-scan", w.scan.route, "download", "archive", w.scan.budget},
	}
}

// configure writes a new version of the configuration and returns when the store has
// confirmed it.
func (w *world) configure(routes []routeConfig) time.Time {
	w.version += 3
	list := []any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.address.Port()), "kind": r.kind, "service": r.service,
			"timeoutMs": r.budget.Milliseconds(), "targetLatencyMs": 120, "priority": 1, "maxAttempts": 2,
		})
	}
	services := []any{}
	for _, s := range []string{"atelier", "archive"} {
		services = append(services, map[string]any{
			"name": s, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false, "warmupS": w.warmup.Seconds(), "warmupPerS": w.perCold,
		})
	}
	value, _ := json.Marshal(map[string]any{
		"version": w.version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for !w.storeNow().put("op/config", value) {
		time.Sleep(50 * time.Millisecond)
	}
	w.rec.log("confirmed configuration %d", w.version)
	return time.Now()
}

func (w *world) noteSent(from netip.AddrPort, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[from] = at
}

func (w *world) sentAt(from netip.AddrPort) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[from]
}

func (w *world) addOpening(o opening) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openings = append(w.openings, o)
}

func (w *world) addRun(id string, e *endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, run{time.Now(), id, e})
}

func (w *world) addReset(f *consumerFlow, own bool) {
	w.rec.log("reset on the open flow %s route %s through %s, by the system: %t", f.from, f.to, f.vm, own)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resets = append(w.resets, reset{time.Now(), own, flowID{f.from, f.to}, f.vm, f.echo})
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

// summarize notes the counts.
func (w *world) summarize() {
	w.mu.Lock()
	names := make([]string, 0, len(w.counts))
	for name := range w.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("%s: %d; ", name, w.counts[name])
	}
	w.mu.Unlock()
	w.rec.note("counts: %s", text)
}

// allOpenings returns the flows that endpoints took so far.
func (w *world) allOpenings() []opening {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]opening(nil), w.openings...)
}

func (w *world) byID(id string) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}
