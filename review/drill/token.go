package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// firstName and secondName are the names of two upstreams with the same token.
	firstName, secondName = 0x865a44b86c, 0x3269df2fbd
	// clockBehind is how far the clock of the second upstream is behind.
	clockBehind = 2 * time.Second
	// tokenWarmup is the rate of a cold upstream in this drill.
	tokenWarmup = 20.0
)

// tokenDrill adds two upstreams to eight, one second apart, whose identifiers give the same
// token. The clock of the second one is behind, so that it seems to have started first. The
// drill counts the flows to the first one that break.
func tokenDrill(ctx context.Context, r *recorder, trouble bool) (breaks int, err error) {
	f, err := newFleet(ctx, r, "burton", "derby")
	if err != nil {
		return 0, err
	}
	defer f.close()
	f.configure(1, tokenWarmup)
	for i := range 8 {
		service := []string{"dispatch", "certs"}[i%2]
		u, err := f.addUpstream(uint64(0xa1b2c3d400+i), service, f.domains[i/2%2], 4, 20*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.publish("ready", 0)
	}
	for _, domain := range []string{"burton", "burton", "derby"} {
		if _, err = f.addVM(domain); err != nil {
			return 0, err
		}
	}
	if err = f.awaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	traffic, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { f.probeReadiness(traffic) })
	c, err := f.addCaller(200, "burton", 20_000)
	if err != nil {
		return 0, err
	}
	wg.Go(func() { c.steady(traffic, dispatchAddr, certsInterval) })
	sleep(ctx, 6*time.Second)
	first, err := f.addUpstream(firstName, "certs", "burton", 4, 20*time.Millisecond)
	if err != nil {
		return 0, err
	}
	first.publish("ready", warmupTime)
	var flows []*flow
	for begin := time.Now(); time.Since(begin) < time.Second; sleep(ctx, 20*time.Millisecond) {
		fl, err := c.open(certsAddr)
		switch {
		case err != nil:
		case fl.request("first", 2*time.Second) == nil && first.holds(fl):
			flows = append(flows, fl)
		default:
			fl.close()
		}
	}
	r.add("%d flows are open at %s", len(flows), first.id)
	if len(flows) == 0 {
		return 0, errors.New("no flow opened at the first upstream")
	}
	second, err := f.addUpstream(secondName, "certs", "derby", 4, 20*time.Millisecond)
	if err != nil {
		return 0, err
	}
	if trouble {
		second.mu.Lock()
		second.born = second.born.Add(-clockBehind)
		second.mu.Unlock()
	}
	second.publish("ready", warmupTime)
	sleep(ctx, time.Second)
	for i, fl := range flows {
		err := fl.request(fmt.Sprintf("certificate-%d", i), 4*time.Second)
		if errors.Is(err, errServerReset) && first.holds(fl) {
			breaks++
			r.add("BROKEN: flow %s, which is open at %s, is reset by another upstream", fl.from, first.id)
		}
	}
	return breaks, ctx.Err()
}
