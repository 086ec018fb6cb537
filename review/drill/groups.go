package main

import (
	"context"
	"sync"
	"time"
)

const (
	// groupsRate is the rate of the cold upstream in this drill, and groupsWarmup the time
	// for which it is cold.
	groupsRate   = 60.0
	groupsWarmup = 10 * time.Second
	// groupsInterval is the interval of the requests of a failure domain.
	groupsInterval = 4 * time.Millisecond
)

// groupsDrill adds three VMs whose seeds name one of them and two machines that are gone.
// Then a cold upstream is added. The drill counts the seconds in which it gets more flows
// than it bears. With TROUBLE=0 the seeds of the added VMs are in order.
func groupsDrill(ctx context.Context, r *recorder, trouble bool) (breaks int, err error) {
	f, err := newFleet(ctx, r, "burton", "derby")
	if err != nil {
		return 0, err
	}
	defer f.close()
	f.warmup = groupsWarmup
	f.configure(1, groupsRate)
	for i := range 2 {
		u, err := f.addUpstream(uint64(0xa1b2c3d400+i), "dispatch", "burton", 4, 10*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.publish("ready", 0)
	}
	for i := range 6 {
		if _, err = f.addVM(f.domains[i%2]); err != nil {
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
	for i, domain := range f.domains {
		c, err := f.addCaller(200+i, domain, uint16(15_000+20_000*i))
		if err != nil {
			return 0, err
		}
		wg.Go(func() { c.steady(traffic, dispatchAddr, groupsInterval) })
	}
	sleep(ctx, 3*time.Second)
	if trouble {
		f.seeds = []string{f.address(16, peersPort), f.address(60, peersPort), f.address(61, peersPort)}
	}
	for i := range 3 {
		if _, err = f.addVM(f.domains[i%2]); err != nil {
			return 0, err
		}
	}
	if err = f.awaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	r.add("three VMs are added, their seeds are %v", f.seeds)
	sleep(ctx, 5*time.Second)
	u, err := f.addUpstream(0xa1b2c3d4ff, "dispatch", "burton", 64, 10*time.Millisecond)
	if err != nil {
		return 0, err
	}
	cold := time.Now()
	u.publish("ready", groupsWarmup)
	sleep(ctx, 4*time.Second)
	stop()
	wg.Wait()
	return countOverloadsAt(r, u, cold, groupsWarmup, groupsRate), ctx.Err()
}
