package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// HealthChange is a change of what is believed of an upstream or of its failure domain,
// with what decided it.
type HealthChange struct {
	Upstream *catalog.Entry
	// WholeDomain tells that it is about the upstream's failure domain.
	WholeDomain bool
	// From and To are answering, silent or lost.
	From, To string
	// Flows is the number of flows that are known to wait in vain, of which some
	// may pass other VMs.
	Flows int
	// AckedAge is how long ago the newest thing was sent that arrived there, 0 if
	// nothing ever did.
	AckedAge clock.Millis
	// FromPeers tells that word of other VMs decided it, or time.
	FromPeers bool
}

// report tells of a change of what is believed of a target, if there is one. Flows
// of an upstream that is lost from now on are given up.
func (e *Engine) report(now clock.Millis, t *target, b HealthChange, before, after condition) {
	if before == after {
		return
	}
	h := &t.load.health
	if b.WholeDomain {
		h = t.domain
	}
	b.Upstream, b.From, b.To = t.entry, before.String(), after.String()
	b.Flows, b.AckedAge = h.evidence(now)
	e.seams.Health(b)
	if after == lost && !b.WholeDomain {
		e.giveUp(t.load)
	}
}

// evidence returns how many flows wait in vain, and how old the newest proof is.
func (h *health) evidence(now clock.Millis) (flows int, provedAge clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.proved != 0 {
		provedAge = now - h.proved
	}
	return max(h.stalled, len(h.shared.stalls)), provedAge
}
