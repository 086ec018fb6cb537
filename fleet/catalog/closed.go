package catalog

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// ClosedReason is why an upstream accepts no new flows.
type ClosedReason string

// Reasons why an upstream accepts no new flows.
const (
	// NotClosed means that it accepts them.
	NotClosed ClosedReason = ""
	// ClosedRemoved means that the upstream is no longer published.
	ClosedRemoved ClosedReason = "removed"
	// ClosedDraining means that the upstream is draining.
	ClosedDraining ClosedReason = "draining"
	// ClosedDomainOut means that its failure domain is out of service.
	ClosedDomainOut ClosedReason = "domainOut"
	// ClosedNoToken means that older upstreams own all of its candidate tokens.
	ClosedNoToken ClosedReason = "noToken"
)

// ClosedReason returns why the upstream accepts no new flows at now. If several reasons
// apply, it returns the first in the order of the constants.
func (e *Entry) ClosedReason(now clock.Millis) ClosedReason {
	switch {
	case e.Removed && now >= e.GraceUntil:
		return ClosedRemoved
	case e.Draining:
		return ClosedDraining
	case e.DomainOut:
		return ClosedDomainOut
	case e.Token == 0:
		return ClosedNoToken
	}
	return NotClosed
}
