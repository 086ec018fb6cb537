package vmload

import (
	"math"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

const (
	// shedFrom is the utilization from which openings are dropped, and shedAll that from
	// which all are dropped but those of the highest priority.
	shedFrom = 0.8
	shedAll  = 0.95
)

// Shedder decides which openings a VM drops near its limits. Sheds is safe for use
// concurrently with Update.
type Shedder struct {
	salt uint64
	// shares holds the share of openings to drop by priority, nil if none is dropped.
	shares atomic.Pointer[map[catalog.Priority]float64]
}

// NewShedder returns the shedder of a VM. Shedders of different VMs choose different
// flows, so that an opening that one VM drops may pass through another.
func NewShedder(vm ident.VMID) *Shedder { return &Shedder{salt: xxhash.Sum64String(string(vm))} }

// Update sets which share of the openings of each priority is dropped at a utilization.
// The lowest priority of all routes comes first: a higher one is dropped only once the
// next lower one is dropped whole. The highest is never dropped, whatever its number.
func (s *Shedder) Update(utilization float64, routes []catalog.Route) {
	if utilization < shedFrom {
		s.Stop()
		return
	}
	// Rounding would otherwise leave a remainder of openings at shedAll.
	pressure := 1.0
	if utilization < shedAll {
		pressure = (utilization - shedFrom) / (shedAll - shedFrom)
	}
	descending := priorities(routes)
	shares := make(map[catalog.Priority]float64)
	for i := 0; i < len(descending)-1; i++ {
		shares[descending[i]] = min(1, max(0, pressure*float64(len(descending)-1)-float64(i)))
	}
	s.shares.Store(&shares)
}

// Stop drops no more openings until the next Update.
func (s *Shedder) Stop() { s.shares.Store(nil) }

// Active reports whether some openings may be dropped.
func (s *Shedder) Active() bool { return s.shares.Load() != nil }

// Sheds reports whether to drop an opening of a route of the given priority. The
// decision about a flow, which is given by its hash, changes only with the utilization.
func (s *Shedder) Sheds(priority catalog.Priority, flowHash uint64) bool {
	shares := s.shares.Load()
	if shares == nil {
		return false
	}
	return s.position(flowHash) < (*shares)[priority]
}

// position maps a flow to a number from 0 up to 1. The hash is mixed again because the
// choice of the upstream uses it too.
func (s *Shedder) position(flowHash uint64) float64 {
	h := flowHash ^ s.salt
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return math.Ldexp(float64((h^h>>31)>>11), -53)
}

// priorities returns the distinct priorities of the routes, the lowest first. A greater
// number is a lower priority.
func priorities(routes []catalog.Route) (list []catalog.Priority) {
	for i := range routes {
		list = append(list, routes[i].Priority)
	}
	slices.Sort(list)
	list = slices.Compact(list)
	slices.Reverse(list)
	return list
}
