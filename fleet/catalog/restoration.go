package catalog

import (
	"math"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// restoration is the return of a failure domain to service. An upstream that is cold
// then publishes so with its next heartbeat. Without such an entry it counts as warm
// only after a time in which the copy of the published items was kept up to date.
type restoration struct {
	at clock.Millis
	// until is the time at which the upstreams without an entry of their own count as
	// warm, unconfirmed while the copy is out of date.
	until clock.Millis
	// confirmedAt is when the copy was last known to be complete, at first the time of the
	// return.
	confirmedAt clock.Millis
}

// unconfirmed is later than all times.
const unconfirmed clock.Millis = math.MaxInt64

// newRestoration returns a return to service at the given time. An upstream that became
// cold before has published so after returnCold.
func newRestoration(at, returnCold clock.Millis) *restoration {
	return &restoration{at: at, until: at + returnCold, confirmedAt: at}
}

// coldUntil returns the time until which an upstream without an entry of its own counts as
// cold. One that became cold while its domain was out of service is warm after the slow start
// time. coldUntil returns 0 if r is nil.
func (r *restoration) coldUntil(returnCold, slowStart clock.Millis) clock.Millis {
	if r == nil {
		return 0
	}
	return max(r.at+returnCold, min(r.until, r.at+slowStart))
}

// confirm notes that the copy of the published items was last known to be complete at
// confirmedAt. It reports whether this changed until when upstreams count as cold. After half
// of returnCold without a confirmation a heartbeat may have been missed, also if this VM was
// paused meanwhile and confirm was not called.
func (r *restoration) confirm(now, confirmedAt, returnCold clock.Millis) (changed bool) {
	if r == nil || r.confirmedAt >= r.until {
		return false
	}
	until := r.until
	gap := confirmedAt-r.confirmedAt > returnCold/2
	switch {
	case now-confirmedAt > returnCold/2:
		r.until = unconfirmed
	case r.until == unconfirmed, gap:
		r.until = now + returnCold
	}
	r.confirmedAt = max(r.confirmedAt, confirmedAt)
	return r.until != until
}

// restore records that a failure domain returned to service at the given time.
func (b *Builder) restore(domain ident.DomainName, at clock.Millis) {
	if r := b.restored[domain]; r == nil || at > r.at {
		b.restored[domain] = newRestoration(at, b.returnColdMillis)
	}
}

// restoredColdUntil returns the time until which an upstream counts as cold since its
// failure domain returned to service, 0 if it never did.
func (b *Builder) restoredColdUntil(domain ident.DomainName, slowStart clock.Millis) clock.Millis {
	return max(b.restored[domain].coldUntil(b.returnColdMillis, slowStart), b.assumed.coldUntil(b.returnColdMillis, slowStart))
}

// AssumeReturns records that this VM has its first copy but does not know which failure
// domains returned to service before. All of them may have, just now.
func (b *Builder) AssumeReturns(now clock.Millis) {
	b.assumed = newRestoration(now, b.returnColdMillis)
}

// KnowReturns ends what AssumeReturns began, since the tombstones of all failure domains that
// returned have been applied. It reports whether the catalog must be built again.
func (b *Builder) KnowReturns() (changed bool) {
	changed = b.assumed != nil
	b.assumed = nil
	return changed
}

// ReturnsAssumed reports whether a VM that gets its first copy from this one has to call
// AssumeReturns, too.
func (b *Builder) ReturnsAssumed(now clock.Millis) bool {
	return b.assumed != nil && now < b.assumed.until
}

// ConfirmRestored notes that the copy of the published items was last known to be
// complete at confirmedAt. It reports whether this changed until when upstreams count
// as cold, so that the catalog must be built again.
func (b *Builder) ConfirmRestored(now, confirmedAt clock.Millis) (changed bool) {
	changed = b.assumed.confirm(now, confirmedAt, b.returnColdMillis)
	for _, r := range b.restored {
		changed = r.confirm(now, confirmedAt, b.returnColdMillis) || changed
	}
	return changed
}
