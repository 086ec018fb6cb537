package main

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// overlapTime is the time for which the store answers at its old address, too.
	overlapTime = 10 * time.Second
	// drainBound is the bound drainMs.
	drainBound = 3 * time.Second
	// signalled is the share of the VMs that get SIGHUP, in percent. The files of the others
	// change without a signal.
	signalled = 60
)

// movedDrill gives the store another address. The settings files of all VMs name it ten
// seconds before the old address falls silent. After that an upstream reports that it is
// draining. The drill counts the flows that still open there.
func movedDrill(ctx context.Context, r *recorder, trouble bool) (breaks int, err error) {
	f, err := newFleet(ctx, r, "burton", "derby")
	if err != nil {
		return 0, err
	}
	defer f.close()
	old, closeOld, err := forward(f.address(2, storePort), f.store.Address())
	if err != nil {
		return 0, err
	}
	defer closeOld()
	f.source = old
	f.configure(1, 0)
	for i, domain := range []string{"burton", "burton", "derby", "derby"} {
		u, err := f.addUpstream(uint64(0xa1b2c3d400+i), "dispatch", domain, 4, 20*time.Millisecond)
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
		wg.Go(func() { c.steady(traffic, dispatchAddr, 50*time.Millisecond) })
	}
	sleep(ctx, 4*time.Second)

	if trouble {
		moved, closeMoved, err := forward(f.address(3, storePort), f.store.Address())
		if err != nil {
			return 0, err
		}
		defer closeMoved()
		r.add("the store answers at %s, too; the settings files of all VMs name it", moved)
		for i, v := range f.vms {
			if err = v.rewrite(old, moved); err != nil {
				return 0, err
			}
			if i*100 < signalled*len(f.vms) {
				v.signal(syscall.SIGHUP)
			}
		}
		sleep(ctx, overlapTime)
		closeOld()
		r.add("the store no longer answers at %s", old)
	} else {
		sleep(ctx, overlapTime)
	}
	sleep(ctx, 2*stability)
	u := f.upstreams["i-a1b2c3d402"]
	u.publish("draining", 0)
	draining := time.Now()
	sleep(ctx, 10*time.Second)
	stop()
	wg.Wait()
	for _, o := range u.opened() {
		if o.at.Sub(draining) > drainBound && o.sentAt.Sub(draining) > drainBound {
			breaks++
			r.add("BROKEN: flow %s, sent %.3f s after the store confirmed that %s is draining, opened there", o.caller, o.sentAt.Sub(draining).Seconds(), u.id)
		}
	}
	return breaks, ctx.Err()
}

// rewrite replaces the address of the store in the settings file.
func (v *vm) rewrite(old, moved string) error {
	data, err := os.ReadFile(v.settings)
	if err != nil {
		return err
	}
	next := v.settings + ".next"
	if err = os.WriteFile(next, []byte(strings.ReplaceAll(string(data), old, moved)), 0o600); err != nil {
		return err
	}
	return os.Rename(next, v.settings)
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.process.Signal(s)
}

// forward passes connections to address on to target until stop is called, which also
// resets those that are open.
func forward(address, target string) (at string, stop func(), err error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return "", nil, err
	}
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp4", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			mu.Lock()
			conns = append(conns, in, out)
			mu.Unlock()
			pass := func(to, from net.Conn) {
				_, _ = io.Copy(to, from)
				_ = to.Close()
			}
			go pass(in, out)
			go pass(out, in)
		}
	}()
	return address, func() {
		_ = ln.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
	}, nil
}
