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
}

// unconfirmed is later than all times.
const unconfirmed clock.Millis = math.MaxInt64

// restore records that a failure domain returned to service at the given time.
func (b *Builder) restore(domain ident.DomainName, at clock.Millis) {
	if r := b.restored[domain]; r == nil || at > r.at {
		b.restored[domain] = &restoration{at: at, until: at + b.returnColdMillis}
	}
}

// restoredColdUntil returns the time until which an upstream counts as cold since its
// failure domain returned to service, 0 if it never did. An upstream that became cold
// while the domain was out of service is warm after the slow start time.
func (b *Builder) restoredColdUntil(domain ident.DomainName, slowStart clock.Millis) clock.Millis {
	r := b.restored[domain]
	if r == nil {
		return 0
	}
	return max(r.at+b.returnColdMillis, min(r.until, r.at+slowStart))
}

// ConfirmRestored notes that the copy of the published items was last known to be
// complete at confirmedAt. It reports whether this changed until when upstreams count
// as cold, so that the catalog must be built again.
func (b *Builder) ConfirmRestored(now, confirmedAt clock.Millis) (changed bool) {
	for _, r := range b.restored {
		until := r.until
		switch {
		case confirmedAt >= r.until:
		case now-confirmedAt > b.returnColdMillis/2:
			r.until = unconfirmed // A heartbeat may have been missed.
		case r.until == unconfirmed:
			r.until = now + b.returnColdMillis
		}
		changed = changed || r.until != until
	}
	return changed
}
