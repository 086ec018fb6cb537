package emulator

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	// slowStart is the time for which restarted upstreams are cold.
	slowStart = 2 * clock.Second
	// allowedOvershoot and allowedSlack bound the flows that a cold upstream gets in one
	// second: its rate times allowedOvershoot, and allowedSlack more.
	allowedOvershoot, allowedSlack = 1.5, 5
)

// TestRestartUnderOneIdentifier draws fleets in which upstreams crash and start again
// under their identifiers while their entries say that they are warm. It guards against
// more new flows than a cold upstream can take.
func TestRestartUnderOneIdentifier(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := Setup{
			Seed: rapid.Uint64().Draw(t, "seed"), Slots: 4, QueueCapacity: 8, Policy: forward.DefaultPolicy(),
			SlowStart: slowStart, ColdPerSecond: float64(rapid.IntRange(0, 8).Draw(t, "rate")),
		}
		for i := range rapid.IntRange(1, 3).Draw(t, "domains") {
			s.Domains = append(s.Domains, Domain{
				Name:      ident.DomainName(fmt.Sprint("domain-", i)),
				VMs:       rapid.IntRange(1, 3).Draw(t, "vms"),
				Upstreams: rapid.IntRange(2, 4).Draw(t, "upstreams"),
			})
		}
		sim := New(s)
		for _, d := range s.Domains {
			l := shortLivedLoad(d.Name)
			l.Callers = rapid.IntRange(5, 60).Draw(t, "callers") * d.Upstreams // a flow a second each
			sim.Start(l)
		}
		restarted := sim.Upstreams[rapid.IntRange(0, len(sim.Upstreams)-1).Draw(t, "restarted")]
		crashAt := clock.Millis(rapid.IntRange(8000, 9000).Draw(t, "crashAt"))
		down := clock.Millis(rapid.IntRange(500, 5000).Draw(t, "down"))
		sim.At(crashAt, restarted.Crash)
		sim.At(crashAt+down, func() {
			restarted.OpenTimes = nil
			restarted.StartAgain()
		})
		sim.Run(crashAt + down + slowStart)
		if restarted.Missed == 0 {
			t.Skip("no VM can know of a crash that met no packet")
		}
		allowed := s.ColdPerSecond*allowedOvershoot + allowedSlack
		most := maxInSpan(restarted.OpenTimes, clock.Second)
		assert.Assert(t, float64(most) <= allowed, "%d flows in a second, %g are allowed", most, allowed)
	})
}

// TestFillAfterASilence checks that an upstream which did not restart gets its usual share
// soon after a silence, since flows that were open before make progress.
func TestFillAfterASilence(t *testing.T) {
	t.Parallel()
	const silentAt, silence = 10_000, 700
	for seed := range uint64(8) {
		s := smallFleet(seed)
		s.SlowStart = slowStart
		sim := New(s)
		startSmallLoads(sim)
		u := sim.Upstreams[0]
		sim.At(silentAt, func() { u.Alive = false })
		sim.At(silentAt+silence, func() { u.Alive, u.OpenTimes = true, nil })
		sim.Run(silentAt + silence + slowStart)
		assert.Assert(t, len(u.OpenTimes) > 0)
		t.Logf("seed %d: %d flows in the first 2 s", seed, len(u.OpenTimes))
	}
}
