package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// placement is what the placement of a new flow depends on, with the ranking of the
// upstreams once it is known.
type placement struct {
	hash    uint64
	service ident.ServiceName
	// upstreams are those of the service, whether or not they accept new flows.
	upstreams []*target
	// long is set for a flow that is expected to carry many requests.
	long bool
	// except is the upstream that must not get the flow, or nil.
	except *target
	// ranking is that of the upstreams if hasRanking is set. The admission and the choice of
	// the upstream share it, see Engine.ranked.
	ranking    ranking
	hasRanking bool
}

// newPlacement returns the placement of flow k on a route with the given statistics. stat
// is nil if the route has carried no flow yet.
func newPlacement(v *view, route *catalog.Route, stat *routeStat, k flowKey, except *target) placement {
	hash := k.hash()
	service := pickService(route, hash)
	return placement{hash: hash, service: service, upstreams: v.serving[service], long: stat == nil || !stat.short(), except: except}
}

// admits reports whether the flow may go to t, whatever its class.
func (pl *placement) admits(now clock.Millis, t *target) bool {
	return t.entry.AcceptsNewFlows(now) && (pl.except == nil || t.load != pl.except.load)
}
