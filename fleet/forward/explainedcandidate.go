package forward

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// ExplainedCandidate is an upstream as a VM sees it when it places a new flow.
type ExplainedCandidate struct {
	ID      catalog.UpstreamID `json:"id"`
	Address netip.AddrPort     `json:"address"`
	Domain  ident.DomainName   `json:"domain"`
	// Cost is in requests in flight per slot, the penalty for another failure domain
	// and a tie break below 0.001 included. Slowness and rejections add to it.
	Cost float64 `json:"cost"`
	// Slowness is the time of answers relative to other upstreams, from 1 to 10.
	Slowness float64 `json:"slowness"`
	// OwnRejections is the share of this VM's recent requests that the upstream rejected,
	// and ExcessRejections the share of all known requests above 1.5 times the mean share
	// in the service, both from 0 to 1. An upstream with excess rejections costs as if it
	// had at least the mean load of the service.
	OwnRejections    float64 `json:"ownRejections"`
	ExcessRejections float64 `json:"excessRejections"`
	// InFlight and Expected are the load over all VMs, as known to this one, in
	// requests in flight: those now, and those that the open flows are expected to cause.
	InFlight float64 `json:"inFlight"`
	Expected float64 `json:"expected"`
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int `json:"slots"`
	// Class is "answering", "cold", "unconfirmed", "recovering", "silent" or "avoided". An
	// unconfirmed upstream left a packet unanswered, a recovering one was silent; either may
	// have restarted. An avoided one is in a failure domain that is lost or of which no VM
	// is heard.
	Class string `json:"class"`
	// Health is that of the upstream itself: "answering", "silent" or "lost".
	Health string `json:"health"`
	// ProbeDue is set if a flow would be placed to test whether the upstream, or its
	// failure domain, answers again.
	ProbeDue bool `json:"probeDue"`
	// Cold is set during a slow start, also of a recovering upstream, and ColdShare if this VM may place a flow on
	// the cold upstream now.
	Cold      bool `json:"cold"`
	ColdShare bool `json:"coldShare"`
	// Accepts is set if the upstream accepts new flows. Otherwise Closed tells why not.
	Accepts bool                 `json:"accepts"`
	Closed  catalog.ClosedReason `json:"closed,omitempty"`
}
