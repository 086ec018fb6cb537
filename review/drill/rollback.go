package main

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const (
	// evacBound is the bound evacMs.
	evacBound = 5 * time.Second
	// rollbackAge is how much older than the store the copy is from which it comes back.
	rollbackAge = 5 * time.Second
	// rollbackAway is the time for which the store is away.
	rollbackAway = 300 * time.Millisecond
	// rewriteDelay is the time after which the operator has written again what the store
	// has lost.
	rewriteDelay = 10 * time.Second
)

// rollbackDrill takes a failure domain out of service. Some seconds later the store comes
// back from a copy that is older than that, and the operator writes the entry again. It
// counts the flows that open at the failure domain although it was never taken back.
func rollbackDrill(ctx context.Context, r *recorder, trouble bool) (breaks int, err error) {
	f, err := newFleet(ctx, r, "burton", "derby")
	if err != nil {
		return 0, err
	}
	defer f.close()
	f.configure(1, 0)
	var out []*upstream
	for i, domain := range []string{"burton", "burton", "derby", "derby"} {
		u, err := f.addUpstream(uint64(0xa1b2c3d400+i), "dispatch", domain, 4, 20*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.publish("ready", 0)
		if domain == "derby" {
			out = append(out, u)
		}
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
	wg.Go(func() { f.probeReadiness(traffic) })
	for i, domain := range f.domains {
		c, err := f.addCaller(200+i, domain, uint16(20_000+10_000*i))
		if err != nil {
			stop()
			return 0, err
		}
		wg.Go(func() { c.steady(traffic, dispatchAddr, 50*time.Millisecond) })
	}
	sleep(ctx, 4*time.Second)

	// The machines are in touch now: nothing was disrupted for stabilityMs.
	f.store.Put("op/evacuate/derby", map[string]any{})
	evacuated := time.Now()
	r.add("the store has confirmed: derby is evacuated")
	sleep(ctx, 3*time.Second)
	back := time.Now()
	if trouble {
		r.add("the store goes away for %v", rollbackAway)
		f.store.Rollback(rollbackAge, rollbackAway)
		back = time.Now()
		r.add("the store is back from a copy that is %v old, its era is %d", rollbackAge, f.store.Era())
	}
	sleep(ctx, rewriteDelay)
	rewritten := time.Now()
	if trouble {
		f.store.Put("op/evacuate/derby", map[string]any{})
		r.add("the store has confirmed: the operator has written the evacuation of derby again")
	}
	sleep(ctx, 3*time.Second)
	r.add("the operator takes derby back")
	stop()
	wg.Wait()

	// A request counts if it was sent later than evacMs after the confirmation, and while
	// the store had been without disruption for stabilityMs.
	from := later(evacuated.Add(evacBound), back.Add(stability))
	for _, u := range out {
		inTime, counted := 0, 0
		for _, o := range u.opened() {
			switch {
			case o.sentAt.After(from):
				counted++
				r.add("BROKEN: flow %s, sent %.3f s after the evacuation and %.3f s after the store was back, opened at %s in derby (%.3f s before the rewrite)",
					o.caller, o.sentAt.Sub(evacuated).Seconds(), o.sentAt.Sub(back).Seconds(), u.id, rewritten.Sub(o.sentAt).Seconds())
			case o.sentAt.After(evacuated.Add(time.Second)):
				inTime++
			}
		}
		r.add("upstream %s: %d flows opened too late, %d more opened later than 1 s after the evacuation", u.id, counted, inTime)
		breaks += counted
	}
	return breaks, ctx.Err()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// steady sends a request to a service on a flow of its own every interval until ctx ends.
func (c *caller) steady(ctx context.Context, service netip.AddrPort, interval time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		wg.Go(func() { _ = c.once(service, fmt.Sprintf("order-%s-%d", c.domain, n), 3*time.Second) })
		sleep(ctx, interval)
	}
}
