// Command drill plays one case of the review against processes of the entry daemon. It
// runs in the root of the repository: drill CASE RECORD.
//
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

// drill is a case. It returns the number of times that the rule was broken.
type drill func(ctx context.Context, r *recorder, trouble bool) (breaks int, err error)

var drills = map[string]drill{
	"rollback": rollbackDrill,
	"crash":    crashDrill,
	"restart":  restartDrill,
	"moved":    movedDrill,
	"takeback": takebackDrill,
	"silent":   silentDrill,
	"groups":   groupsDrill,
	"token":    tokenDrill,
}

func main() {
	if len(os.Args) != 3 || drills[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(drills[os.Args[1]], os.Args[2]))
}

func play(d drill, path string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		return failed
	}
	breaks, err := d(ctx, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("RESULT the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "drill:", err)
		return failed
	case breaks > 0:
		r.add("RESULT the rule was broken %d times", breaks)
		return broken
	}
	r.add("RESULT the rule held")
	return held
}

// Services and routes of the deployment.
var (
	dispatchAddr = netip.MustParseAddrPort("198.18.0.1:443")
	certsAddr    = netip.MustParseAddrPort("198.18.0.2:443")
)

// configure publishes a configuration with two routes. Cold upstreams bear
// warmupPerSecond requests a second.
func (f *fleet) configure(version int, warmupPerSecond float64) {
	route := func(name string, a netip.AddrPort, service, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()), "kind": kind,
			"timeoutMs": 5000, "targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 2,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false,
			"warmupS": f.warmup.Seconds(), "warmupPerS": warmupPerSecond,
		}
	}
	f.store.Put("op/config", map[string]any{
		"version":  version,
		"routes":   []map[string]any{route("r-1", dispatchAddr, "dispatch", "unsafe"), route("r-2", certsAddr, "certs", "unsafe")},
		"services": []map[string]any{service("dispatch"), service("certs")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	f.record.add("the store has confirmed configuration %d", version)
}

// warmupTime is the time for which an upstream is cold after its start.
const warmupTime = 2 * time.Second

// stability is the bound stabilityMs.
const stability = 4 * time.Second

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
