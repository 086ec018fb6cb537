package warmup

import (
	"encoding/binary"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

// minFlowsPerSecondPerPlacer is the lowest rate given to one VM. At lower rates
// fewer VMs place flows on the upstream.
const minFlowsPerSecondPerPlacer = 4

// Limiter is a token bucket that limits the new flows of one VM on a cold
// upstream to its share of the rate. The bucket holds one flow and is refilled
// at the share less one flow per second, so that in any second all placers
// together stay within the rate. It is not safe for concurrent use.
type Limiter struct {
	refilledAt clock.Millis
	tokens     float64
}

// Placers returns how many of n VMs place flows on an upstream with the given
// rate in flows per second. It returns at least one.
func Placers(rate float64, n int) int {
	return int(max(1, min(float64(n), rate/minFlowsPerSecondPerPlacer)))
}

// IsPlacer reports whether self is one of the VMs that place flows on the
// upstream. These are the given number of candidates with the highest rank for
// rankKey, a number that identifies the upstream and is the same on all VMs.
func IsPlacer(self config.VMID, rankKey config.UpstreamID, candidates []config.VMID, placers int) bool {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], uint64(rankKey))
	return homes.IsDesignated(string(key[:]), candidates, placers, self)
}

// Allow reports whether this VM may place a flow at now and, if so, takes a token
// for it. The rate is that of the upstream in flows per second, which placers
// VMs share.
func (l *Limiter) Allow(now clock.Millis, rate float64, placers int) bool {
	l.tokens, l.refilledAt = l.refilled(now, rate, placers), now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Allows returns what Allow would, and takes nothing.
func (l *Limiter) Allows(now clock.Millis, rate float64, placers int) bool {
	return l.refilled(now, rate, placers) >= 1
}

// refilled returns the number of tokens at now.
func (l *Limiter) refilled(now clock.Millis, rate float64, placers int) float64 {
	refill := max(0, rate/float64(placers)-1)
	if placers == 1 && rate < minFlowsPerSecondPerPlacer {
		refill = rate / 2
	}
	if l.refilledAt == 0 {
		return l.tokens
	}
	return min(1, l.tokens+refill*(now-l.refilledAt).Seconds())
}
