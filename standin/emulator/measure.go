package emulator

import (
	"math/rand/v2"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// LongTail returns a ServiceTime of the given mean in milliseconds, except that a share of
// the requests takes factor times as long. Half of the mean is the minimum.
func LongTail(mean, share, factor float64) func(rng *rand.Rand) clock.Millis {
	return func(rng *rand.Rand) clock.Millis {
		took := mean/2 + rng.ExpFloat64()*mean/2
		if rng.Float64() < share {
			took *= factor
		}
		return clock.Millis(took)
	}
}

// Percentile returns the latency within which the given share of the answered requests of
// loads was answered, 0 if there are none.
func Percentile(loads []*Load, share float64) clock.Millis {
	var all []clock.Millis
	for _, l := range loads {
		all = append(all, l.Latencies...)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(share*float64(len(all))))]
}

// Shed returns the number of requests that upstreams rejected.
func (sim *Simulation) Shed() (n int) {
	for _, u := range sim.Upstreams {
		n += u.Shed
	}
	return n
}

// OpeningShare returns the opening packets that the upstream received between two times,
// relative to the mean of all upstreams.
func (u *Upstream) OpeningShare(from, until clock.Millis) float64 {
	own, all := 0, 0
	for _, other := range u.sim.Upstreams {
		first, _ := slices.BinarySearch(other.OpenTimes, from)
		end, _ := slices.BinarySearch(other.OpenTimes, until)
		n := end - first
		all += n
		if other == u {
			own = n
		}
	}
	return float64(own*len(u.sim.Upstreams)) / float64(max(1, all))
}
