package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	feedRoute = "198.18.0.1:443"
	scanRoute = "198.18.0.2:443"
)

var (
	feed = netip.MustParseAddrPort(feedRoute)
	scan = netip.MustParseAddrPort(scanRoute)
)

// startDaemons starts n daemons in each zone. The first ones of the zones are the seeds.
func (w *world) startDaemons(n int) error {
	var seeds []string
	for i := range w.zones {
		seeds = append(seeds, w.at(10+10*i, w.controlPort))
	}
	for i, zone := range w.zones {
		for k := range n {
			d, err := w.addDaemon(fmt.Sprintf("front-%s-%d", zone, k+1), zone, 10+10*i+k, seeds, nil)
			if err != nil {
				return err
			}
			if err := d.start(); err != nil {
				return err
			}
		}
	}
	return w.awaitReady(10 * time.Second)
}

// caseFull keeps as many flows open as the endpoints of a service hold, each with a
// request from time to time, and then lets more consumers come at once. The flows that
// were open before have to stay.
func caseFull(w *world) (broken string, err error) {
	const (
		maxConns  = 2000
		standing  = 2 * maxConns
		newcomers = 7 * standing / 10 // 1.7 times the flows
		burst     = 3 * time.Second
		retries   = 2
		bursts    = 3
		pause     = 11500 * time.Millisecond // largest pause between two requests of a flow, below idleTimeoutMs
		burstAt   = 16 * time.Second
		interval  = 8 * time.Second // between the starts of two bursts
		length    = burstAt + bursts*interval
	)
	w.zones = []string{"a", "b", "c"}
	w.quiet = map[netip.AddrPort]bool{scan: true}
	routes := map[string]string{feedRoute: "feed", scanRoute: "scan"}
	if err := w.setUp(configuration(1, routes, service("feed", maxConns, 2, 0), service("scan", 2000, 2, 0))); err != nil {
		return "", err
	}
	for i, e := range []struct{ id, service, zone string }{
		{"i-00000000a1", "feed", "a"},
		{"i-00000000a2", "feed", "b"},
		{"i-00000000b1", "scan", "a"},
		{"i-00000000b2", "scan", "b"},
	} {
		if _, err := w.addEndpoint(e.id, e.service, e.zone, 100+i, maxConns, 20*time.Millisecond); err != nil {
			return "", err
		}
	}
	if err := w.startDaemons(3); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, zone := range w.zones {
		go w.traffic(zone, scan, "scan", 130, stop)
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	begin := time.Now()
	stay := func(zone, name string) {
		defer wg.Done()
		var f *consumerFlow
		err := errNotOpened
		for try := 0; err != nil && try <= retries; try++ {
			if f, err = w.consumers[zone].open(feed); err != nil {
				w.logf("consumer: try %d of %s did not open a flow", try+1, name)
			}
		}
		if err != nil {
			return
		}
		for n := 0; time.Since(begin) < length; n++ {
			if w.request(f, fmt.Sprintf("%s-%d", name, n), 4*time.Second) != nil {
				return
			}
			time.Sleep(pause - rand.N(2*time.Second))
		}
		f.close()
	}
	for i := range standing {
		wg.Add(1)
		go stay(w.zones[i%len(w.zones)], fmt.Sprintf("cab-%d", i))
		time.Sleep(3 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(burstAt)))
	for k := range bursts {
		if !w.trouble {
			break
		}
		time.Sleep(time.Until(begin.Add(burstAt + time.Duration(k)*interval)))
		w.logf("trouble: %d more consumers open a flow within %s", newcomers, burst)
		for i := range newcomers {
			wg.Add(1)
			go stay(w.zones[i%len(w.zones)], fmt.Sprintf("newcomer-%d-%d", k, i))
			time.Sleep(burst / newcomers)
		}
	}
	wg.Wait()
	if n := w.brokenFlows(); n > 0 {
		return fmt.Sprintf("FLOW: %d open flows were reset by the system while their endpoints lived", n), nil
	}
	return "", nil
}

// outage makes the store silent for a time in which the leases of the endpoints' entries
// run out, three heartbeats after its start.
func (w *world) outage(length time.Duration) {
	w.logf("trouble: the store is silent for %s, leases run out meanwhile", length)
	w.store.setSilent(true)
	time.Sleep(3 * w.heartbeat)
	for _, e := range w.endpoints {
		w.store.remove("servers/" + e.id)
	}
	time.Sleep(length - 3*w.heartbeat)
	w.store.setSilent(false)
	w.logf("trouble: the store answers again")
}

// hold sends a request on a flow from time to time until stop is closed, and passes it on.
func (w *world) hold(f *consumerFlow, name string, pause time.Duration, stop <-chan struct{}) bool {
	for n := 0; ; n++ {
		if w.request(f, fmt.Sprintf("%s-%d", name, n), 4*time.Second) != nil {
			return false
		}
		select {
		case <-stop:
			return true
		case <-time.After(pause):
		}
	}
}

// loseTwice makes the network lose the first two datagrams of the next request of a
// flow, at the endpoint that holds it.
func (w *world) loseTwice(f *consumerFlow) {
	for _, e := range w.endpoints {
		if e.holds(f.id) {
			e.loseNext(f.id, 2)
		}
	}
}

// caseLapse opens flows just after an outage of the store, while the endpoints renew
// their entries. Long after it, two datagrams of a flow are lost, one after the other.
func caseLapse(w *world) (broken string, err error) {
	const (
		outageLength = 5 * time.Second
		flowCount    = 30
		calm         = 8 * time.Second // after the outage, twice stabilityMs
	)
	routes := map[string]string{feedRoute: "feed", scanRoute: "scan"}
	if err := w.setUp(configuration(1, routes, service("feed", 2000, 2, 0), service("scan", 2000, 2, 0))); err != nil {
		return "", err
	}
	for i, id := range []string{"i-00000000a1", "i-00000000a2", "i-00000000a3", "i-00000000a4", "i-00000000b1", "i-00000000b2"} {
		name := "feed"
		if i >= 4 {
			name = "scan"
		}
		if _, err := w.addEndpoint(id, name, w.zones[i%2], 100+i, 2000, 20*time.Millisecond); err != nil {
			return "", err
		}
		time.Sleep(w.heartbeat / 6)
	}
	if err := w.startDaemons(2); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, zone := range w.zones {
		go w.traffic(zone, scan, "scan", 20, stop)
		go w.traffic(zone, feed, "feed", 20, stop)
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.outage(outageLength)
	} else {
		time.Sleep(outageLength)
	}
	resume := make(chan struct{})
	held := make([]*consumerFlow, flowCount)
	var wg sync.WaitGroup
	for i := range held {
		f, err := w.consumers[w.zones[i%2]].open(feed)
		if err == nil {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if w.hold(f, fmt.Sprintf("cab-%d", i), 2*time.Second, resume) {
					held[i] = f
				}
			}()
		}
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(calm)
	close(resume)
	wg.Wait()
	for i, f := range held {
		if f == nil {
			continue
		}
		w.loseTwice(f)
		_ = w.request(f, fmt.Sprintf("cab-%d-late", i), 4*time.Second)
	}
	if n := w.brokenFlows(); n > 0 {
		return fmt.Sprintf("FLOW: %d open flows were reset by the system while their endpoints lived", n), nil
	}
	return "", nil
}

// caseFraction starts the processes on an installation whose graceS is a fraction.
func caseFraction(w *world) (broken string, err error) {
	grace := 2.0
	if w.trouble {
		grace = 2.5
	}
	if err := w.setUp(configuration(1, map[string]string{feedRoute: "feed"}, service("feed", 2000, 2, 0))); err != nil {
		return "", err
	}
	for i, zone := range w.zones {
		if _, err := w.addEndpoint(fmt.Sprintf("i-00000000a%d", i), "feed", zone, 100+i, 2000, 20*time.Millisecond); err != nil {
			return "", err
		}
	}
	w.logf("settings: graceS %v", grace)
	for i, zone := range w.zones {
		d, err := w.addDaemon("front-"+zone, zone, 10+10*i, []string{w.at(10, w.controlPort)}, map[string]any{"graceS": grace})
		if err != nil {
			return "", err
		}
		for range 3 { // the platform restarts a process that ends
			if err := d.start(); err != nil {
				return "", err
			}
			time.Sleep(restartDelay)
			if d.running() {
				break
			}
		}
	}
	time.Sleep(3 * time.Second)
	answered, running := 0, 0
	for _, d := range w.daemons {
		if d.running() {
			running++
		}
	}
	for i := range 10 {
		f, err := w.consumers[w.zones[i%2]].open(feed)
		if err != nil {
			w.logf("consumer: flow %d did not open", i)
			continue
		}
		if w.request(f, fmt.Sprintf("order-%d", i), 2*time.Second) == nil {
			answered++
		}
		f.close()
	}
	if running < len(w.daemons) {
		return fmt.Sprintf("Fault: %d of %d programs don't start; %d of 10 requests answered", len(w.daemons)-running, len(w.daemons), answered), nil
	}
	if answered == 0 {
		return "", fmt.Errorf("%w: no request was answered", errSetup)
	}
	return "", nil
}

// caseSeeds adds machines while the machines that their settings name as seeds are down,
// and then an endpoint that is cold.
func caseSeeds(w *world) (broken string, err error) {
	const (
		perSecond = 20.0
		bound     = 35 // perSecond x warmupOvershoot + warmupSlack
		warmup    = 10 * time.Second
	)
	if err := w.setUp(configuration(1, map[string]string{feedRoute: "feed"}, service("feed", 2000, warmup.Seconds(), perSecond))); err != nil {
		return "", err
	}
	for i, zone := range []string{"a", "a", "b"} {
		if _, err := w.addEndpoint(fmt.Sprintf("i-00000000a%d", i), "feed", zone, 100+i, 2000, 60*time.Millisecond); err != nil {
			return "", err
		}
	}
	seeds := []string{w.at(10, w.controlPort), w.at(11, w.controlPort), w.at(20, w.controlPort)}
	add := func(node, zone string, host int) (*daemon, error) {
		d, err := w.addDaemon(node, zone, host, seeds, nil)
		if err == nil {
			err = d.start()
		}
		return d, err
	}
	for i, zone := range []string{"a", "a", "a", "a", "b", "b"} {
		host := 10 + i
		if zone == "b" {
			host = 16 + i
		}
		if _, err := add(fmt.Sprintf("front-%s-%d", zone, i+1), zone, host); err != nil {
			return "", err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	go w.traffic("a", feed, "order", 300, stop)
	go w.traffic("b", feed, "order", 20, stop)
	time.Sleep(3 * time.Second)
	if w.trouble {
		for _, d := range w.daemons {
			if d.ip == seeds[0][:len(d.ip)] || d.node == "front-a-2" || d.node == "front-b-5" {
				w.logf("trouble: machine %s loses power", d.node)
				d.kill()
			}
		}
	}
	time.Sleep(3 * time.Second)
	for i := range 3 {
		if _, err := add(fmt.Sprintf("front-a-%d", 7+i), "a", 14+i); err != nil {
			return "", err
		}
	}
	time.Sleep(5 * time.Second)
	e, err := w.addEndpoint("i-00000000c1", "feed", "a", 110, 2000, 60*time.Millisecond)
	if err != nil {
		return "", err
	}
	e.setCold(warmup)
	e.register()
	begin := time.Now()
	time.Sleep(warmup)
	most := e.mostInOneSecond(begin, begin.Add(warmup))
	w.logf("endpoint %s: at most %d requests in one second while cold, bound %d", e.id, most, bound)
	if most > bound {
		return fmt.Sprintf("FAILBACK: a cold endpoint got %d requests in one second, bound %d", most, bound), nil
	}
	return "", nil
}

// caseReturn takes a failure domain back whose endpoints became cold shortly before,
// while processes of the system are killed and start again.
func caseReturn(w *world) (broken string, err error) {
	const (
		perSecond = 4.0
		bound     = 11 // perSecond x warmupOvershoot + warmupSlack
		warmup    = 5 * time.Second
	)
	if err := w.setUp(configuration(1, map[string]string{feedRoute: "feed"}, service("feed", 2000, warmup.Seconds(), perSecond))); err != nil {
		return "", err
	}
	for i, zone := range []string{"a", "a", "b", "b"} {
		if _, err := w.addEndpoint(fmt.Sprintf("i-00000000a%d", i), "feed", zone, 100+i, 2000, 60*time.Millisecond); err != nil {
			return "", err
		}
	}
	if err := w.startDaemons(3); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, zone := range w.zones {
		go w.traffic(zone, feed, "order", 60, stop)
	}
	time.Sleep(3 * time.Second)
	w.store.put("op/evacuate/a", map[string]any{})
	w.logf("sysadmin: zone a evacuated")
	time.Sleep(5 * time.Second)
	w.endpoints[0].awaitBeat()
	for _, e := range w.endpoints[:2] {
		e.setCold(warmup)
		w.logf("endpoint %s: cold for %s", e.id, warmup)
	}
	begin := time.Now()
	var wg sync.WaitGroup
	if w.trouble {
		w.logf("trouble: three of six processes are killed, and start again after %s", restartDelay)
		for _, d := range []*daemon{w.daemons[0], w.daemons[1], w.daemons[3]} {
			d.kill()
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(restartDelay)
				_ = d.start()
			}()
		}
	}
	time.Sleep(200 * time.Millisecond)
	w.store.remove("op/evacuate/a")
	w.logf("sysadmin: zone a taken back")
	wg.Wait()
	time.Sleep(time.Until(begin.Add(warmup)))
	most := 0
	for _, e := range w.endpoints[:2] {
		n := e.mostInOneSecond(begin, begin.Add(warmup))
		w.logf("endpoint %s: at most %d requests in one second while cold, bound %d", e.id, n, bound)
		most = max(most, n)
	}
	if most > bound {
		return fmt.Sprintf("FAILBACK: a cold endpoint got %d requests in one second, bound %d", most, bound), nil
	}
	return "", nil
}

// caseToken has two endpoints for which the system derives the same first token. The
// older one renews its entry last after an outage of the store.
func caseToken(w *world) (broken string, err error) {
	const (
		flowCount = 20
		stability = 4 * time.Second
	)
	if err := w.setUp(configuration(1, map[string]string{feedRoute: "feed"}, service("feed", 2000, 2, 0))); err != nil {
		return "", err
	}
	older, err := w.addEndpoint("i-865a44b86c", "feed", "a", 100, 2000, 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	time.Sleep(3 * w.heartbeat / 4)
	if _, err := w.addEndpoint("i-3269df2fbd", "feed", "b", 101, 2000, 20*time.Millisecond); err != nil {
		return "", err
	}
	if err := w.startDaemons(2); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, zone := range w.zones {
		go w.traffic(zone, feed, "order", 10, stop)
	}
	flows := make([]*consumerFlow, flowCount)
	for i := range flows {
		if flows[i], err = w.consumers[w.zones[i%2]].open(feed); err != nil {
			return "", err
		}
	}
	time.Sleep(stability)
	older.awaitBeat()
	for i, f := range flows {
		if err := w.request(f, fmt.Sprintf("cab-%d-0", i), 4*time.Second); err != nil {
			return "", err
		}
	}
	if w.trouble {
		w.outage(4 * w.heartbeat)
	} else {
		time.Sleep(4 * w.heartbeat)
	}
	// The store has to be stable again. The flows are idle for less than idleTimeoutMs.
	time.Sleep(stability + time.Second)
	for i, f := range flows {
		_ = w.request(f, fmt.Sprintf("cab-%d-1", i), 4*time.Second)
	}
	if n := w.brokenFlows(); n > 0 {
		return fmt.Sprintf("FLOW: %d open flows were reset by others than their endpoints, which lived", n), nil
	}
	return "", nil
}
