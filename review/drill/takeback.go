package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/amaranthswitch/amaranthswitch/standin/store"
)

const (
	// evacuationTime is the time for which the failure domain is out of service.
	evacuationTime = 6 * time.Second
	// coldBefore is the time before the take-back at which its upstreams became cold.
	coldBefore = 100 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
)

// takebackDrill takes a failure domain out of service and back. Its upstreams became cold
// shortly before it is taken back, and say so at their next heartbeat. Right after the
// confirmation of the take-back all processes are killed, and started again. The drill
// counts the seconds in which a cold upstream gets more flows than it bears.
func takebackDrill(ctx context.Context, r *recorder, trouble bool) (breaks int, err error) {
	return takeBack(ctx, r, warmupTime, func(f *fleet) (published time.Duration, err error) {
		if trouble {
			err = f.restartAll(ctx)
		}
		return heartbeatMillis*time.Millisecond - coldBefore, err
	})
}

// silentDrill does so, but no process ends. Instead the store is silent after the take-back,
// so that the upstreams can't write to it, and they are cold for a longer time.
func silentDrill(ctx context.Context, r *recorder, trouble bool) (breaks int, err error) {
	return takeBack(ctx, r, silentWarmup, func(f *fleet) (published time.Duration, err error) {
		if !trouble {
			return heartbeatMillis*time.Millisecond - coldBefore, nil
		}
		f.store.SetFault("", store.Fault{Hang: true})
		r.add("the store is silent")
		time.AfterFunc(silentTime, func() {
			f.store.SetFault("", store.Fault{})
			r.add("the store answers again")
		})
		return silentTime + 100*time.Millisecond, nil
	})
}

const (
	// silentTime is the time for which the store is silent, and silentWarmup that for which
	// upstreams are cold.
	silentTime   = 5 * time.Second
	silentWarmup = 10 * time.Second
)

// restartAll kills all processes and starts them again.
func (f *fleet) restartAll(ctx context.Context) error {
	for _, v := range f.vms {
		v.kill()
	}
	f.record.add("all processes are killed")
	sleep(ctx, restartDelay)
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	f.record.add("all processes are started again")
	return nil
}

// takeBack takes a failure domain out of service and back, and calls disrupt right after
// that. disrupt returns the time after which the upstreams, which became cold just before,
// first write to the store that they are cold.
func takeBack(ctx context.Context, r *recorder, warmup time.Duration, disrupt func(f *fleet) (time.Duration, error)) (breaks int, err error) {
	f, err := newFleet(ctx, r, "burton", "derby")
	if err != nil {
		return 0, err
	}
	defer f.close()
	f.warmup = warmup
	f.configure(1, warmupPerSecond)
	var returned []*upstream
	for i, domain := range []string{"burton", "burton", "burton", "derby", "derby"} {
		u, err := f.addUpstream(uint64(0xa1b2c3d400+i), "dispatch", domain, 4, 50*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.publish("ready", 0)
		if domain == "derby" {
			returned = append(returned, u)
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
	sleep(ctx, 4*time.Second)
	f.store.Put("op/evacuate/derby", map[string]any{})
	r.add("the store has confirmed: derby is evacuated")
	sleep(ctx, evacuationTime)

	for _, u := range returned {
		u.crash()
		if err = u.start(); err != nil {
			return 0, err
		}
	}
	cold := time.Now()
	sleep(ctx, coldBefore)
	f.store.Remove("op/evacuate/derby")
	r.add("the store has confirmed: derby is taken back")
	publishAt := time.Now()
	wait, err := disrupt(f)
	if err != nil {
		return 0, err
	}
	publishAt = publishAt.Add(wait)
	for ctx.Err() == nil && time.Since(cold) < warmup+heartbeatMillis*time.Millisecond {
		sleep(ctx, time.Until(publishAt))
		for _, u := range returned {
			u.publish("ready", time.Until(cold.Add(warmup)))
		}
		publishAt = publishAt.Add(heartbeatMillis * time.Millisecond)
	}
	sleep(ctx, 2*time.Second)
	stop()
	wg.Wait()
	for _, u := range returned {
		breaks += countOverloadsAt(r, u, cold, warmup, warmupPerSecond)
	}
	return breaks, ctx.Err()
}

// countOverloads counts the flows with which an upstream that has been cold since a time
// had got more than it bears in the second before. Only flows count that were sent and
// arrived inside that second.
func countOverloads(r *recorder, u *upstream, cold time.Time) (breaks int) {
	return countOverloadsAt(r, u, cold, warmupTime, warmupPerSecond)
}

// countOverloadsAt does so for an upstream that is cold for the given time and bears the
// given rate.
func countOverloadsAt(r *recorder, u *upstream, cold time.Time, warmup time.Duration, rate float64) (breaks int) {
	limit := rate*warmupOvershoot + warmupSlack
	list := u.opened()
	slices.SortFunc(list, func(a, b opening) int { return a.at.Compare(b.at) })
	most := 0
	for _, last := range list {
		if last.at.Before(cold) || last.at.After(cold.Add(warmup)) {
			continue
		}
		from, n := last.at.Add(-time.Second), 0
		for _, o := range list {
			if !o.at.Before(cold) && !o.at.After(last.at) && !o.sentAt.Before(from) {
				n++
			}
		}
		r.add("flow %s opened at cold %s %.3f s after its start; %d flows in the second up to it, %.0f are allowed", last.caller, u.id, last.at.Sub(cold).Seconds(), n, limit)
		most = max(most, n)
		if float64(n) > limit {
			breaks++
		}
	}
	r.add("cold %s got at most %d flows in one second, %.0f are allowed", u.id, most, limit)
	if breaks > 0 {
		r.add("BROKEN: %d flows were beyond that", breaks)
	}
	return breaks
}
