package vmload

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// TestUtilization guards against a limit in a wrong unit, or one that is missing and counts.
func TestUtilization(t *testing.T) {
	for limits, want := range map[Limits]float64{{}: 0, {LinkMbps: 10}: 0.4, {Cores: 0.144}: 0.5, {LinkMbps: 10, Cores: 0.144}: 0.5} {
		m := NewMeter(limits)
		for now := clock.Millis(0); now <= 2*halfLife; now += SampleInterval {
			m.Record(now, Usage{ReceivedBytes: int64(now) * 500, SentBytes: int64(now) * 250, Processor: now.Duration() * 72 / 1000})
		}
		assert.Assert(t, math.Abs(m.Utilization()-0.75*want) < 1e-9, "%+v: %v", limits, m.Utilization())
	}
}

// TestShares guards against a VM that drops openings with room left, those of a high
// priority before those of a low one, any of the highest, or any if all are equal.
func TestShares(t *testing.T) {
	for utilization, want := range map[float64][3]float64{0.79: {}, 0.875: {0, 0, 1}, 0.9125: {0, 0.5, 1}, 0.95: {0, 1, 1}, 7: {0, 1, 1}} {
		s, dropped := NewShedder("vm"), [3]float64{}
		s.Update(utilization, []catalog.Route{{Priority: 5}, {}, {Priority: 1}, {Priority: 5}})
		for flow := range uint64(30_000) {
			if s.Sheds([]catalog.Priority{0, 1, 5}[flow%3], flow) {
				dropped[flow%3] += 1e-4
			}
		}
		s.Update(utilization, []catalog.Route{{Priority: 5}, {Priority: 5}})
		assert.Assert(t, !s.Sheds(5, 1))
		assert.Assert(t, dropped[0] == 0 && math.Abs(dropped[1]-want[1]) < 0.02 && math.Abs(dropped[2]-want[2]) < 0.02, "%v: %v", utilization, dropped)
	}
}

// TestBurstOnSmallestVM guards against a VM of 10 Mbit/s that stays above its limit in a
// burst of 40 uploads of 40 kB a second, of which copies come after 200 and 600 ms.
func TestBurstOnSmallestVM(t *testing.T) {
	const burst, settle, openingBytes = 20 * clock.Second, 3 * clock.Second, 60
	m, s, placed, u, sum, peak := NewMeter(Limits{LinkMbps: 10}), NewShedder("vm"), make(map[clock.Millis]clock.Millis), int64(0), 0.0, 0.0
	for now := clock.Millis(0); now < burst+settle; now += SampleInterval {
		m.Record(now, Usage{ReceivedBytes: u, SentBytes: u})
		s.Update(m.Utilization(), []catalog.Route{{Priority: 1}, {Priority: 2}})
		if now >= settle && now < burst {
			sum, peak = sum+m.Utilization(), max(peak, m.Utilization())
		}
		assert.Assert(t, !s.Sheds(1, uint64(now)))
		u += 40*300 + 10*(openingBytes+1000) // of open flows and of lookups, which all pass
		for _, after := range []clock.Millis{0, 200, 600} {
			first := 2 * (now - after) / SampleInterval // flows are numbered in the order of their openings
			for f := max(0, first); f < first+2 && now < burst; f++ {
				u += openingBytes
				if _, ok := placed[f]; !ok && !s.Sheds(2, uint64(f)) { // the copy of a placed one follows its flow
					placed[f] = now
				}
			}
		}
		for _, at := range placed {
			if now-at < 400 {
				u += 40_000 * int64(SampleInterval) / 400
			}
		}
	}
	sum /= float64((burst - settle) / SampleInterval) // the mean
	assert.Assert(t, sum < 1 && peak < 1.2 && len(placed) > 300 && m.Utilization() < shedFrom, "%v, %v, %d placed, %v", sum, peak, len(placed), m.Utilization())
}

// TestReadiness guards against a failure domain whose VMs report not ready all at once, or
// never, or that flap. VMs know of each other what was so 0.9 s before.
func TestReadiness(t *testing.T) {
	paused := Readiness{hot: spell{holds: true, at: 1}}
	assert.Equal(t, paused.Update(5000, 1, Peers{Living: 2}), Normal)
	for _, test := range []struct {
		vms, changes int // changes counts begins and ends of reports over all VMs
		utilization  func(now clock.Millis) float64
	}{
		{26, 7, func(clock.Millis) float64 { return 1 }},
		{1, 0, func(clock.Millis) float64 { return 1 }},
		{26, 0, func(now clock.Millis) float64 { return 0.94 + 0.02*float64(now/1000%2) }}, // flapping
		{2, 1, func(now clock.Millis) float64 { return 1 - 0.4*float64(now/4000%2) }},      // short relief
		{2, 2, func(now clock.Millis) float64 { return max(0, 1-float64(now/4000)) }},
	} {
		vms, history, changes := make([]Readiness, test.vms), [][]State{make([]State, test.vms)}, 0
		for now := clock.Millis(0); now < 24_000; now += SampleInterval {
			known := history[max(0, len(history)-18)]
			history = append(history, make([]State, test.vms))
			for i := range vms {
				p, before := Peers{}, vms[i].state
				for j := range vms {
					p.Add(known[j]*State(min(1, max(i-j, j-i))), j < i) // itself counts as Normal
				}
				history[len(history)-1][i] = vms[i].Update(now, test.utilization(now), p)
				if (vms[i].state == NotReady) != (before == NotReady) {
					changes++
				}
			}
		}
		assert.Equal(t, changes, test.changes, "%+v", test)
	}
}

// TestLinkQueue guards against a full link that is not noticed before callers retransmit,
// and against one with room, or without a limit, that counts as full.
func TestLinkQueue(t *testing.T) {
	type bytes [3]int64 // in each sample of 50 ms, in which 10 Mbit/s are 62,500
	for _, test := range []struct {
		linkMbps       float64
		sent, received bytes
		want           string
	}{
		{0, bytes{1e9, 1e9, 1e9}, bytes{1e9, 1e9, 1e9}, "[{0 false} {0 false} {0 false} {0 false}]"},
		{10, bytes{240_000}, bytes{}, "[{0 false} {142 true} {92 true} {42 false}]"},
		{10, bytes{125_000}, bytes{}, "[{0 false} {50 false} {0 false} {0 false}]"},
		{10, bytes{}, bytes{57_000, 57_000}, "[{0 false} {0 false} {0 true} {0 false}]"},
		{10, bytes{}, bytes{55_000, 55_000, 55_000}, "[{0 false} {0 false} {0 false} {0 false}]"},
		{10, bytes{}, bytes{200_000}, "[{0 false} {110 true} {60 true} {10 false}]"}, // read after a wait in the socket
	} {
		q, u, got := NewLinkQueue(Limits{LinkMbps: test.linkMbps}), Usage{}, []LinkState{}
		for i := range 4 {
			got = append(got, q.Record(1000+clock.Millis(i)*SampleInterval, u))
			u.SentBytes, u.ReceivedBytes = u.SentBytes+test.sent[i%3], u.ReceivedBytes+test.received[i%3]
		}
		assert.Equal(t, fmt.Sprint(got), test.want)
	}
}
