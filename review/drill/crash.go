package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// usersOfCrashed and usersOfOther are the numbers of open flows to the upstream that
	// crashes and to the other one of its failure domain.
	usersOfCrashed, usersOfOther = 4, 1
	// userPause is the pause of a user between two requests on an open flow.
	userPause = 1500 * time.Millisecond
	// certsInterval is the interval of requests to service certs.
	certsInterval = 30 * time.Millisecond
)

// crashDrill keeps flows open to the two upstreams of a service in one failure domain. One
// of them crashes. Shortly after that one datagram to the other one is lost, as happens at
// all times. It counts the flows to the other one that the system resets.
func crashDrill(ctx context.Context, r *recorder, trouble bool) (breaks int, err error) {
	f, err := newFleet(ctx, r, "burton", "derby")
	if err != nil {
		return 0, err
	}
	defer f.close()
	f.configure(1, 0)
	// One of seven upstreams of service dispatch crashes. Service certs has none in derby.
	var derby []*upstream
	for i, place := range []struct{ service, domain string }{
		{"dispatch", "burton"},
		{"dispatch", "burton"},
		{"dispatch", "burton"},
		{"dispatch", "burton"},
		{"dispatch", "burton"},
		{"dispatch", "derby"},
		{"dispatch", "derby"},
		{"certs", "burton"},
		{"certs", "burton"},
	} {
		u, err := f.addUpstream(uint64(0xa1b2c3d400+i), place.service, place.domain, 4, 20*time.Millisecond)
		if err != nil {
			return 0, err
		}
		u.publish("ready", 0)
		if place.domain == "derby" {
			derby = append(derby, u)
		}
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
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { f.probeReadiness(traffic) })
	c, err := f.addCaller(200, "derby", 20_000)
	if err != nil {
		return 0, err
	}
	wg.Go(func() { c.steady(traffic, certsAddr, certsInterval) })
	sleep(ctx, 2*time.Second)

	crashed, other := derby[0], derby[1]
	users, err := c.openUsers(crashed, other)
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	lost := make(chan struct{})
	for i, u := range users {
		wg.Go(func() {
			sleep(traffic, time.Duration(i)*200*time.Millisecond)
			for n := 0; traffic.Err() == nil; n++ {
				err := u.flow.request(fmt.Sprintf("feed-%d-%d", i, n), 8*time.Second)
				if err == nil {
					sleep(traffic, userPause)
					continue
				}
				mu.Lock()
				if u.at == other && errors.Is(err, errSystemReset) {
					breaks++
					r.add("BROKEN: the system reset flow %s, which is open at %s; that upstream lives, and nothing disrupted it or its links", u.flow.from, u.at.id)
				}
				mu.Unlock()
				return
			}
		})
	}
	// All is calm for stabilityMs, and longer.
	sleep(ctx, 6*time.Second)
	if trouble {
		crashed.crash()
	}
	go func() {
		defer close(lost)
		sleep(ctx, time.Second)
		other.mu.Lock()
		other.loseData = 1
		other.mu.Unlock()
	}()
	<-lost
	sleep(ctx, 6*time.Second)
	stop()
	mu.Lock()
	defer mu.Unlock()
	r.add("%d of %d flows to %s were reset by the system", breaks, usersOfOther, other.id)
	return breaks, ctx.Err()
}

// user is a user of service dispatch who keeps a flow open.
type user struct {
	flow *flow
	at   *upstream
}

// openUsers opens flows to service dispatch until both upstreams have as many as they are to
// have. Users that are too many then close theirs.
func (c *caller) openUsers(crashed, other *upstream) (users []user, err error) {
	want := map[*upstream]int{crashed: usersOfCrashed, other: usersOfOther}
	var leave []*flow
	for range 60 {
		fl, err := c.open(dispatchAddr)
		if err != nil {
			return nil, err
		}
		if err = fl.request("first", 2*time.Second); err != nil {
			return nil, err
		}
		at := crashed
		if other.holds(fl) {
			at = other
		}
		if at.holds(fl) && want[at] > 0 {
			want[at]--
			users = append(users, user{flow: fl, at: at})
		} else {
			leave = append(leave, fl)
		}
		if want[crashed] > 0 || want[other] > 0 {
			continue
		}
		for _, fl := range leave {
			fl.close()
		}
		return users, nil
	}
	return nil, errors.New("the flows did not spread as needed")
}

// holds reports whether a flow is open at the upstream.
func (u *upstream) holds(f *flow) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	fl := u.flows[f.from]
	return fl != nil && fl.open
}
