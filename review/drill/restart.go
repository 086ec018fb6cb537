package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// warmupPerSecond is the rate that a cold upstream bears, as in the example of the
	// pages.
	warmupPerSecond = 0.0
	// warmupOvershoot and warmupSlack are the bounds of the same names.
	warmupOvershoot, warmupSlack = 1.5, 5.0
	// ordersInterval is the interval of orders of the callers of a failure domain.
	ordersInterval = 33 * time.Millisecond
	// cutTime is the time for which the upstream does not reach the store.
	cutTime = 5 * time.Second
	// lapseTime is the time after its last heartbeat at which the entry of an upstream is
	// removed.
	lapseTime = 3 * heartbeatMillis * time.Millisecond
)

// restartDrill cuts one of five upstreams off from the store, but not from the VMs. It
// crashes and starts again under its identifier, cold. The drill counts the seconds in
// which the cold upstream gets more flows than it bears.
func restartDrill(ctx context.Context, r *recorder, trouble bool) (breaks int, err error) {
	f, err := newFleet(ctx, r, "burton", "derby")
	if err != nil {
		return 0, err
	}
	defer f.close()
	f.configure(1, warmupPerSecond)
	for i, domain := range []string{"burton", "burton", "burton", "derby", "derby"} {
		u, err := f.addUpstream(uint64(0xa1b2c3d400+i), "dispatch", domain, 4, 50*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.publish("ready", 0)
	}
	for _, domain := range []string{"burton", "burton", "derby", "derby"} {
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
	for i, domain := range f.domains {
		c, err := f.addCaller(200+i, domain, uint16(20_000+10_000*i))
		if err != nil {
			return 0, err
		}
		wg.Go(func() { c.steady(traffic, dispatchAddr, ordersInterval) })
	}
	sleep(ctx, 6*time.Second)

	u := f.upstreams[fmt.Sprintf("i-%010x", 0xa1b2c3d403)]
	var cold time.Time
	if trouble {
		lastBeat := time.Now()
		r.add("upstream %s is cut off from the store", u.id)
		sleep(ctx, 400*time.Millisecond)
		u.crash()
		sleep(ctx, 500*time.Millisecond)
		if err = u.start(); err != nil {
			return 0, err
		}
		cold = time.Now()
		sleep(ctx, time.Until(lastBeat.Add(lapseTime)))
		f.store.Remove("servers/" + u.id)
		r.add("the store has removed the entry of %s after three heartbeats of silence", u.id)
		sleep(ctx, time.Until(lastBeat.Add(cutTime)))
		r.add("upstream %s reaches the store again", u.id)
		u.publish("ready", time.Until(cold.Add(warmupTime)))
	} else {
		sleep(ctx, cutTime)
	}
	sleep(ctx, 3*time.Second)
	stop()
	wg.Wait()
	if !trouble {
		return 0, ctx.Err()
	}
	return countOverloads(r, u, cold), ctx.Err()
}
