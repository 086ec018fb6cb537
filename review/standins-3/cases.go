package main

import (
	"fmt"
	"syscall"
	"time"
)

// testCase is one case of the review.
type testCase struct {
	options options
	play    func(w *world, trouble bool) (broken bool)
}

var cases = map[string]testCase{
	"route": {play: playRoute},
	"back":  {options: options{trentfeed: true}, play: playTakeBack},
	"cold":  {options: options{trentfeed: true, archives: 2}, play: playCold},
	"flow":  {options: options{linked: true}, play: playFlow},
	"start": {options: options{trentfeed: true}, play: playStart},
	"era":   {options: options{era: 1_765_000_000}, play: playEra},
}

// sleepUntil waits until the given second of the traffic.
func (w *world) sleepUntil(second float64) {
	time.Sleep(time.Until(w.rec.begin.Add(time.Duration(second * float64(time.Second)))))
}

// services returns the service of each route.
func (w *world) serviceOf(o opening) string {
	if o.route == w.scan.route {
		return "archive"
	}
	return "atelier"
}

// playRoute: an endpoint of atelier drains and leaves, and its address goes to an endpoint
// of archive. Then an entry of another writer, whose fields are spelled otherwise, names
// that address as one of atelier.
func playRoute(w *world, trouble bool) bool {
	w.sleepUntil(2)
	old := w.endpoints[0]
	address := old.conn.LocalAddr().String()
	old.drain()
	w.rec.note("endpoint %s at %s is confirmed as draining", old.id, address)
	w.sleepUntil(7)
	old.leave()
	w.sleepUntil(10) // addrReuseS is 2
	e, err := w.startEndpoint("i-00aa11bb22", "archive", old.zone, address, true)
	if err != nil {
		w.rec.note("could not start: %v", err)
		return false
	}
	w.rec.note("endpoint %s of archive starts at that address", e.id)
	w.sleepUntil(14)
	if trouble {
		value := fmt.Sprintf(`{"Service":"atelier","Address":%q,"Zone":%q,"Version":"v0","MaxConcurrency":2,"State":"ready","WarmupLeftMs":0,"Sequence":7}`, address, old.zone)
		w.storeNow().put("servers/i-0000000000", []byte(value))
		w.rec.note("another writer writes servers/i-0000000000: %s", value)
	}
	w.sleepUntil(20)
	wrong := 0
	w.mu.Lock()
	defer w.mu.Unlock()
	byID := map[string]bool{}
	for _, o := range w.openings {
		if o.endpoint.service != w.serviceOf(o) {
			wrong++
			byID[o.endpoint.id] = true
		}
	}
	w.rec.note("flows that an endpoint of a service took to which the configuration never sent their route: %d", wrong)
	return wrong > 0
}

// playTakeBack: a zone is evacuated and taken back; its endpoints became cold 0.1 s before, and
// say so in the store with their next ping. Right after the confirmation all processes are
// killed, and the platform starts them again.
func playTakeBack(w *world, trouble bool) bool {
	const zone = "hue-a"
	w.sleepUntil(3)
	w.storeNow().put("op/evacuate/"+zone, []byte("{}"))
	w.rec.note("the evacuation of %s is confirmed", zone)
	w.sleepUntil(9.9)
	w.cool(zone)
	w.sleepUntil(10)
	w.storeNow().remove("op/evacuate/" + zone)
	w.rec.note("it is confirmed that %s is taken back", zone)
	if trouble {
		w.restartAll(100 * time.Millisecond)
	}
	w.sleepUntil(15)
	return w.coldBroken()
}

// cool makes the endpoints of a zone cold.
func (w *world) cool(zone string) {
	for _, e := range w.endpoints {
		if e.zone == zone {
			e.mu.Lock()
			e.coldUntil = time.Now().Add(w.warmup)
			e.mu.Unlock()
		}
	}
	w.rec.note("the endpoints of %s are cold", zone)
}

// restartAll kills all machines' processes and starts them again after a delay.
func (w *world) restartAll(delay time.Duration) {
	for _, m := range w.machines {
		w.restart(m, delay)
	}
	w.rec.note("all processes are killed")
}

// restart kills the process of a machine and starts it again after a delay.
func (w *world) restart(m *machine, delay time.Duration) {
	go func() {
		m.kill()
		time.Sleep(delay)
		if err := m.start(); err != nil {
			w.rec.note("could not start %s: %v", m.node, err)
		}
	}()
}

// playStart: an endpoint is cut off from the store for 5 s. It crashes, is dark for half a second
// and starts again under its id, cold. A fifth of a second later the process of one machine in its
// zone is killed, and the platform starts it again.
func playStart(w *world, trouble bool) bool {
	reborn, killed := w.endpoints[1], w.machines[3]
	w.sleepUntil(4)
	reborn.setCutOff(true)
	w.rec.note("endpoint %s of %s is cut off from the store", reborn.id, reborn.zone)
	w.sleepUntil(4.4)
	reborn.crash()
	w.rec.note("it crashes")
	w.sleepUntil(4.9)
	reborn.start(true)
	w.rec.note("it starts again under its id")
	w.sleepUntil(5.1)
	if trouble {
		w.restart(killed, 100*time.Millisecond)
		w.rec.note("the process of %s is killed", killed.node)
	}
	w.sleepUntil(9)
	reborn.setCutOff(false)
	w.sleepUntil(10)
	return w.coldBroken()
}

// playCold: both endpoints of archive are cut off from the store for 5 s. They crash, are dark
// for a second and start again under their ids, cold.
func playCold(w *world, trouble bool) bool {
	var list []*endpoint
	for _, e := range w.endpoints {
		if e.service == "archive" {
			list = append(list, e)
		}
	}
	w.sleepUntil(4)
	if trouble {
		w.cutAndRestart(list)
	}
	w.sleepUntil(9)
	for _, e := range list {
		e.setCutOff(false)
	}
	w.sleepUntil(11)
	return w.coldBroken()
}

func (w *world) cutAndRestart(list []*endpoint) {
	for _, e := range list {
		e.setCutOff(true)
	}
	w.rec.note("%d endpoints are cut off from the store", len(list))
	time.Sleep(400 * time.Millisecond)
	for _, e := range list {
		e.crash()
	}
	w.rec.note("they crash")
	time.Sleep(time.Second)
	for _, e := range list {
		e.start(true)
	}
	w.rec.note("they start again under their ids")
}

// coldBroken checks FAILBACK: a cold endpoint gets no more than
// warmupPerS x warmupOvershoot + warmupSlack requests in one second.
func (w *world) coldBroken() bool {
	limit := int(w.perCold*1.5 + 5)
	worst, who := 0, ""
	all := w.allOpenings()
	for i, first := range all {
		if !first.cold {
			continue
		}
		n := 0
		for _, o := range all[i:] {
			if o.arrived.Sub(first.arrived) > time.Second {
				break
			}
			if o.endpoint == first.endpoint && o.boot == first.boot && o.cold && !o.sent.Before(first.sent) && o.arrived.Sub(first.sent) <= time.Second {
				n++
			}
		}
		if n > worst {
			worst, who = n, fmt.Sprintf("%s from %.3f s on", first.endpoint.id, w.rec.seconds(first.arrived))
		}
	}
	w.rec.note("most requests in one second at a cold endpoint: %d (%s), limit %d", worst, who, limit)
	return worst > limit
}

// flowRounds is how often the steps of playFlow are played.
const flowRounds = 3

// playFlow: in each round the machine that watches the store for the others is partitioned
// from them for 5 s. At once a new version of the configuration adds a route, and that
// machine is stopped, as one of a rolling restart.
func playFlow(w *world, trouble bool) bool {
	routes := w.baseRoutes()
	n := 0
	for round := range flowRounds {
		w.sleepUntil(2 + 12*float64(round))
		reader := w.reader()
		if reader == nil {
			w.rec.note("no machine watches the store")
			continue
		}
		k := &class{name: "palette-new", route: w.routeAddr(10+round, 8443), method: "GET", safe: true, long: true, budget: 800 * time.Millisecond}
		routes = append(routes, routeConfig{fmt.Sprintf("r-new-%d", round), k.route, "safe", "atelier", k.budget})
		n += w.playFlowRound(reader, k, routes, trouble)
	}
	w.sleepUntil(2 + 12*flowRounds)
	w.rec.note("open flows that machines in touch reset: %d", n)
	return n > 0
}

func (w *world) reader() *machine {
	for _, m := range w.machines {
		if m.isReader() {
			return m
		}
	}
	return nil
}

// playFlowRound returns the number of open flows that machines in touch reset.
func (w *world) playFlowRound(reader *machine, k *class, routes []routeConfig, trouble bool) (n int) {
	begin := time.Now()
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		w.links.setCut(reader.ip, true)
		w.rec.note("%s, which watches the store, is partitioned from the other machines", reader.node)
	}
	reader.signal(syscall.SIGTERM)
	w.rec.note("%s gets SIGTERM", reader.node)
	time.Sleep(20 * time.Millisecond)
	confirmed := w.configure(routes)
	w.rec.note("the configuration with one more route, %s, is confirmed", k.route)
	for _, c := range w.consumers {
		for range 20 {
			go c.user(k, stop)
		}
	}
	if !reader.wait(6 * time.Second) {
		reader.kill()
	}
	if err := reader.start(); err != nil {
		w.rec.note("could not start %s: %v", reader.node, err)
	}
	time.Sleep(time.Until(begin.Add(5 * time.Second)))
	w.links.setCut(reader.ip, false)
	time.Sleep(time.Until(begin.Add(7 * time.Second)))
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.resets {
		if r.own && r.at.After(confirmed) && r.flow.route == k.route && r.vm != reader.node {
			n++
			w.rec.log("at %.3f s %s reset the open flow %s to %s, whose endpoint lives", w.rec.seconds(r.at), r.vm, r.flow.consumer, r.flow.route)
		}
	}
	w.rec.note("open flows that machines in touch reset in this round: %d", n)
	return n
}

const (
	configApplyMs = 3000 * time.Millisecond
	drainMs       = 3000 * time.Millisecond
)

// playEra: the store, whose header Store-Era holds a large number, is away for half a second
// and comes back from a copy that is 5 s old; eight changes of the configuration are lost with
// it, and the sysadmin writes the last one again. Six seconds later an endpoint drains and
// a version drops a route.
func playEra(w *world, trouble bool) bool {
	w.sleepUntil(2)
	for range 8 {
		w.configure(w.baseRoutes())
		time.Sleep(330 * time.Millisecond)
	}
	w.sleepUntil(6)
	if trouble {
		s := w.storeNow()
		s.setMode(storeAway)
		time.Sleep(500 * time.Millisecond)
		s.rollBack(time.Now().Add(-5 * time.Second))
		s.setMode(storeUp)
		w.rec.note("the store is back from a copy that is 5 s old")
		time.Sleep(500 * time.Millisecond)
		w.version -= 3
		w.configure(w.baseRoutes())
		w.rec.note("the sysadmin has written version %d again", w.version)
	}
	w.sleepUntil(12)
	leaving := w.endpoints[0]
	drained := leaving.drain()
	w.rec.note("endpoint %s is confirmed as draining", leaving.id)
	confirmed := w.configure(w.baseRoutes()[:2])
	w.rec.note("version %d, which drops the route %s, is confirmed", w.version, w.scan.route)
	w.sleepUntil(20)
	late, dropped := 0, 0
	for _, o := range w.allOpenings() {
		if o.endpoint == leaving && o.arrived.After(drained.Add(drainMs)) {
			late++
		}
		if o.route == w.scan.route && o.sent.After(confirmed.Add(configApplyMs)) {
			dropped++
		}
	}
	w.rec.note("flows that the draining endpoint took later than drainMs after the confirmation (DRAIN): %d", late)
	w.rec.note("flows of the dropped route that were sent and taken later than configApplyMs after the confirmation (CONFIG): %d", dropped)
	return dropped > 0
}
