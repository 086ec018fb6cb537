package emulator

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// workMillis draws about the times of the workshop's requests.
func workMillis(rng *rand.Rand) clock.Millis { return clock.Millis(10 + rng.ExpFloat64()*12) }

// workshop has three failure domains with the VMs and upstreams of the smaller
// installation.
func workshop(seed uint64) Setup {
	return Setup{
		Seed:    seed,
		Domains: []Domain{{"a", 3, 5}, {"b", 2, 5}, {"c", 2, 4}},
		Slots:   2, QueueCapacity: 8,
		Policy: forward.DefaultPolicy(),
	}
}

// feeds are long flows with pauses, orders flows with a request each.
func feeds(domain ident.DomainName) *Load {
	return &Load{Domain: domain, Address: LongLivedAddress, Callers: 100, ThinkTime: 1000, Persistent: true, ServiceTime: workMillis, LatencyTarget: 120, Deadline: 800, Retries: 2}
}

func orders(domain ident.DomainName) *Load {
	return &Load{Domain: domain, Address: ShortLivedAddress, Callers: 30, ThinkTime: 1000, ServiceTime: workMillis, LatencyTarget: 150, Deadline: 1000, Retries: 2}
}

func startAll(w *Simulation) (loads []*Load) {
	for _, d := range []ident.DomainName{"a", "b", "c"} {
		for _, l := range []*Load{feeds(d), orders(d)} {
			w.Start(l)
			loads = append(loads, l)
		}
	}
	return loads
}

func total(loads []*Load) (sum Load) {
	for _, l := range loads {
		sum.Issued += l.Issued
		sum.OnTime += l.OnTime
		sum.Late += l.Late
		sum.Failed += l.Failed
	}
	return sum
}

func TestCalm(t *testing.T) {
	w := New(workshop(1))
	loads := startAll(w)
	w.Run(20_000)
	sum := total(loads)
	assert.Equal(t, sum.Failed, 0)
	assert.Equal(t, w.Resets, 0)
	assert.Assert(t, float64(sum.OnTime) >= 0.995*float64(sum.Issued-400), "%+v", sum)
}

// TestLossAlone loses packets on every path, and nothing else: no flow may be
// reset.
func TestLossAlone(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		s := workshop(seed)
		s.LossRate = 0.002
		w := New(s)
		startAll(w)
		w.Run(30_000)
		assert.Equal(t, w.SpuriousResets, 0, "seed %d", seed)
	}
}

// window counts what becomes of the requests asked between two times.
func window(w *Simulation, loads []*Load, from, until clock.Millis) (sum Load) {
	w.Run(from)
	before := total(loads)
	w.Run(until)
	after := total(loads)
	return Load{
		Issued: after.Issued - before.Issued, OnTime: after.OnTime - before.OnTime,
		Late: after.Late - before.Late, Failed: after.Failed - before.Failed,
	}
}

// served is the share of requests that were answered.
func served(l Load) float64 { return float64(l.OnTime+l.Late) / float64(l.OnTime+l.Late+l.Failed) }

// TestDarkUpstream takes the power from an upstream. It stays published for
// three heartbeats; what waits for it must be tried elsewhere.
func TestDarkUpstream(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := New(workshop(seed))
		loads := startAll(w)
		dark := w.Upstreams[1]
		w.At(10_000, dark.Crash)
		w.At(12_300, func() {
			dark.Deregistered = true
			w.Publish()
		})
		sum := window(w, loads, 9_000, 14_000)
		assert.Assert(t, served(sum) >= 0.985, "seed %d: %+v", seed, sum)
		assert.Equal(t, w.SpuriousResets, 0, "seed %d", seed)
		late := 0
		for _, at := range dark.OpenTimes {
			if at > 11_000 {
				late++
			}
		}
		assert.Equal(t, late, 0, "a dark upstream answered")
	}
}

// TestDarkUpstreamSparesItsDomain takes the power from one upstream that flows
// of another failure domain use, as on the workshop's day trouble-1. Flows to
// its neighbours go on.
func TestDarkUpstreamSparesItsDomain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		s := workshop(seed)
		s.Policy = forward.HashPolicy()
		w := New(s)
		startAll(w)
		w.At(10_000, w.Upstreams[0].Crash)
		w.Run(14_000)
		assert.Equal(t, w.SpuriousResets, 0, "seed %d", seed)
		assert.Assert(t, w.Resets > 0)
	}
}

// largeFleet has the VMs and upstreams of the large installation: a VM sees an
// upstream once in a minute.
func largeFleet(seed uint64) Setup {
	return Setup{
		Seed:    seed,
		Domains: []Domain{{"a", 53, 120}, {"b", 63, 120}, {"c", 52, 120}, {"d", 63, 120}, {"e", 64, 120}},
		Slots:   2, QueueCapacity: 8,
		Policy: forward.DefaultPolicy(),
	}
}

// startLarge begins the load of the large installation.
func startLarge(w *Simulation) (loads []*Load) {
	for _, d := range w.setup.Domains {
		long, short := feeds(d.Name), orders(d.Name)
		long.Callers, long.ThinkTime, long.LatencyTarget, long.Deadline = 750, 2000, 400, 2000
		short.Callers, short.ThinkTime, short.LatencyTarget, short.Deadline = 110, 1000, 400, 2000
		for _, l := range []*Load{long, short} {
			w.Start(l)
			loads = append(loads, l)
		}
	}
	return loads
}

// TestDarkUpstreamsOfALargeFleet takes the power from a quarter of the upstreams of
// a fleet of 295 VMs, as on its day trouble-2. They stay published for three
// heartbeats. VMs that put together what they see serve more.
func TestDarkUpstreamsOfALargeFleet(t *testing.T) {
	t.Parallel()
	play := func(alone bool) (sum Load) {
		s := largeFleet(1)
		s.NoSuspicionGossip, s.LossRate = alone, 0.002
		w := New(s)
		loads := startLarge(w)
		w.At(6000, func() {
			for i, u := range w.Upstreams {
				if i%4 == 0 {
					u.Crash()
				}
			}
		})
		w.At(9000, func() {
			for i, u := range w.Upstreams {
				u.Deregistered = i%4 == 0
			}
			w.Publish()
		})
		sum = window(w, loads, 5500, 10_500)
		t.Logf("alone %v: %.4f served, %.4f in aim, %d told, %d resets, %d of them wrong", alone, served(sum), inAim(sum), w.SuspicionsSent, w.Resets, w.SpuriousResets)
		assert.Equal(t, w.SpuriousResets, 0)
		return sum
	}
	alone, together := play(true), play(false)
	assert.Assert(t, served(together) >= 0.985)
	assert.Assert(t, 1-served(together) <= (1-served(alone))/2)
	assert.Assert(t, 1-inAim(together) <= 0.6*(1-inAim(alone)))
}

// TestLossAloneInALargeFleet loses packets and nothing else: no flow may be reset
// for what VMs tell each other.
func TestLossAloneInALargeFleet(t *testing.T) {
	t.Parallel()
	s := largeFleet(3)
	s.LossRate = 0.004
	w := New(s)
	startLarge(w)
	w.Run(8000)
	assert.Equal(t, w.SpuriousResets, 0)
	t.Logf("%.2f suspicions told a VM and second", float64(w.SuspicionsSent)/295/7)
}

// inAim is the share of requests that were answered in time.
func inAim(l Load) float64 { return float64(l.OnTime) / float64(l.OnTime+l.Late+l.Failed) }

// TestSlowUpstream makes an upstream so slow that requests queue and are shed.
// It answers, so its flows stay.
func TestSlowUpstream(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := New(workshop(seed))
		loads := startAll(w)
		w.At(10_000, func() { w.Upstreams[2].Speed = 0.1 })
		sum := window(w, loads, 9_000, 16_000)
		assert.Equal(t, w.Resets, 0, "seed %d", seed)
		assert.Assert(t, served(sum) >= 0.985, "seed %d: %+v", seed, sum)
	}
}

// TestCutDomain separates a failure domain from the others. Its callers are
// served by its own upstreams, and afterwards by all again.
func TestCutDomain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		s := workshop(seed)
		s.Policy = forward.HashPolicy() // two of three flows cross the cut
		w := New(s)
		loads := startAll(w)
		w.At(10_000, func() { w.Partitioned = func(a, b ident.DomainName) bool { return (a == "c") != (b == "c") } })
		w.At(16_000, w.Heal)
		during := window(w, loads, 12_000, 16_000)
		assert.Equal(t, w.SpuriousResets, 0, "seed %d", seed)
		assert.Assert(t, served(during) >= 0.985, "seed %d: %+v", seed, during)
		after := window(w, loads, 19_000, 22_000)
		assert.Equal(t, after.Failed, 0, "seed %d: %+v", seed, after)
	}
}

// TestLocalityUnderCut compares policies on the same cut: flows that stay in
// their failure domain are not hurt.
func TestLocalityUnderCut(t *testing.T) {
	failed := func(p forward.Policy) int {
		s := workshop(3)
		s.Policy = p
		w := New(s)
		loads := startAll(w)
		w.At(10_000, func() { w.Partitioned = func(a, b ident.DomainName) bool { return (a == "c") != (b == "c") } })
		sum := window(w, loads, 9_000, 14_000)
		return sum.Failed + sum.Late
	}
	usual, hash, local := failed(forward.DefaultPolicy()), failed(forward.HashPolicy()), failed(forward.LocalPolicy())
	t.Logf("late or failed: default %d, hash only %d, strict locality %d", usual, hash, local)
	assert.Assert(t, usual <= local+5)
	assert.Assert(t, usual < hash/4)
}

// TestSpread compares how evenly policies spread long flows over the upstreams
// of a failure domain, per slot.
func TestSpread(t *testing.T) {
	maxOverMean := func(p forward.Policy) float64 {
		s := workshop(4)
		s.Policy = p
		w := New(s)
		startAll(w)
		w.Run(12_000)
		most, sum := 0, 0
		for _, u := range w.Upstreams[:5] {
			most = max(most, u.Flows())
			sum += u.Flows()
		}
		return 5 * float64(most) / float64(sum)
	}
	usual, hash := maxOverMean(forward.DefaultPolicy()), maxOverMean(forward.HashPolicy())
	t.Logf("busiest over mean: default %.3f, hash only %.3f", usual, hash)
	assert.Assert(t, usual <= 1.15)
	assert.Assert(t, usual < hash)
}

// TestOverflow leaves one failure domain with a quarter of its upstreams. What
// they cannot bear goes to the others before it is shed.
func TestOverflow(t *testing.T) {
	w := New(workshop(5))
	loads := startAll(w)
	w.At(10_000, func() {
		for _, u := range w.Upstreams[11:14] {
			u.Crash()
			u.Deregistered = true
		}
		w.Publish()
	})
	sum := window(w, loads, 12_000, 20_000)
	assert.Assert(t, served(sum) >= 0.999, "%+v", sum)
	assert.Assert(t, float64(sum.OnTime) >= 0.985*float64(sum.Issued), "%+v", sum)
}

// TestColdUpstreams brings all upstreams of a failure domain back cold while
// callers press. Over any second each gets no more than it bears.
func TestColdUpstreams(t *testing.T) {
	for _, rate := range []float64{0, 4, 10, 25} {
		s := workshop(6)
		s.ColdPerSecond = rate
		w := New(s)
		startAll(w)
		w.At(10_000, func() {
			for _, u := range w.Upstreams[:5] {
				u.OpenTimes = nil
				u.SetCold(4000)
			}
			w.Publish()
		})
		w.Run(13_900)
		for _, u := range w.Upstreams[:5] {
			assert.Assert(t, float64(most(u.OpenTimes, clock.Second)) <= rate, "%d a second at %g", most(u.OpenTimes, clock.Second), rate)
		}
	}
}

// most returns the largest number of times within any span.
func most(times []clock.Millis, span clock.Millis) (n int) {
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] >= span {
			first++
		}
		n = max(n, last-first+1)
	}
	return n
}

func BenchmarkSecond(b *testing.B) {
	w := New(workshop(1))
	startAll(w)
	w.Run(5000)
	for b.Loop() {
		w.Run(w.Now + clock.Second)
	}
}
