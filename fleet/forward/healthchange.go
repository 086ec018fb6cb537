package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// HealthChange describes a change of the health state of an upstream or of its
// failure domain, with the evidence behind it.
type HealthChange struct {
	Upstream *catalog.Entry
	// WholeDomain is set if the change concerns the whole failure domain of
	// Upstream.
	WholeDomain bool
	// From and To are the states before and after: "answering", "silent" or
	// "lost".
	From, To string
	// OpenLost is set if open flows are not answered either, so that they are reset. It
	// is never set for a failure domain.
	OpenLost bool
	// SlowStart is set while an upstream that answers again is subject to slow start,
	// since it may have restarted.
	SlowStart bool
	// Flows is the number of stalled flows known, some of which may pass
	// through other VMs.
	Flows int
	// AckedAge is the time since the sending of the newest packet known to have
	// arrived, 0 if none is known.
	AckedAge clock.Millis
	// Indirect is set if the change follows from reports of other VMs or from a
	// timeout, not from a packet seen by this VM.
	Indirect bool
}

// reportChange reports a change of the health state of t, if there is one. If
// the upstream is now lost, its stalled flows are queued for a reset.
func (e *Engine) reportChange(now clock.Millis, t *target, c HealthChange, before, after healthState) {
	if before == after {
		return
	}
	c.Upstream, c.OpenLost, c.SlowStart = t.entry, after.openLost, after.slowStart
	c.From, c.To = before.condition.String(), after.condition.String()
	c.Flows, c.AckedAge = t.load.health.evidence(now)
	e.hooks.Health(c)
	if after.slowStart {
		e.addSuspect(t) // so that the end of the slow start is noticed
	}
	if after.becameLost(before) {
		e.queueResets(t.load)
	}
}

// reportDomainChange reports a change of the condition of the failure domain of t, if
// there is one.
func (e *Engine) reportDomainChange(now clock.Millis, t *target, before, after condition) {
	if before == after {
		return
	}
	c := HealthChange{Upstream: t.entry, WholeDomain: true, From: before.String(), To: after.String()}
	c.Flows, c.AckedAge = t.domain.evidence(now)
	e.hooks.Health(c)
}

// evidence returns the number of stalled flows and the age of the newest
// acknowledged packet, 0 if there is none.
func (h *health) evidence(now clock.Millis) (flows int, ackedAge clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ackedAt != 0 {
		ackedAge = now - h.ackedAt
	}
	return max(h.stalled.flows, len(h.shared.stalls)), ackedAge
}
