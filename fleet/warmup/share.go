package warmup

import (
	"encoding/binary"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

// perPlacerFloor is the least rate, per second, worth giving to one VM. Below
// it fewer VMs place flows on the upstream.
const perPlacerFloor = 4

// Limiter is the part of a cold upstream's rate that one VM may use. Over any
// second the shares of all placers add up to at most what the upstream bears:
// each placer holds a bucket of one flow and refills it at its part of the
// rate less one flow a second. It is not safe for concurrent use.
type Limiter struct {
	filled clock.Millis
	tokens float64
}

// Placers returns how many of n VMs place flows on an upstream that bears rate
// flows a second, at least one.
func Placers(rate float64, n int) int {
	return max(1, min(n, int(rate/perPlacerFloor)))
}

// IsPlacer reports whether self is one of the VMs that place flows on the
// upstream at the given rate. The choice is by rank among the listed VMs.
func IsPlacer(self config.VMID, id config.UpstreamID, listed []config.VMID, placers int) bool {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], uint64(id))
	return homes.IsDesignated(string(key[:]), listed, placers, self)
}

// Allow reports whether this VM may place a flow at now, when placers VMs share
// an upstream that bears rate flows a second, and counts the flow if so.
func (s *Limiter) Allow(now clock.Millis, rate float64, placers int) bool {
	refill := max(0, rate/float64(placers)-1)
	if placers == 1 && rate < perPlacerFloor {
		refill = rate / 2
	}
	if s.filled == 0 {
		s.filled = now
	}
	s.tokens = min(1, s.tokens+refill*(now-s.filled).Seconds())
	s.filled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
