package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// Explanation tells where a VM would place a new flow, and why.
type Explanation struct {
	// Action is "forward", "refuse" or "drop".
	Action string `json:"action"`
	// Reason is why the flow would not be forwarded, "none" if it would.
	Reason string `json:"reason"`
	// Route is the name of the route in the configuration, and Priority its priority.
	// 0 is the highest.
	Route    string           `json:"route"`
	Priority catalog.Priority `json:"priority"`
	// Service is the service that the flow belongs to. The addresses of the flow decide
	// if the route has several.
	Service ident.ServiceName `json:"service"`
	// Long is set if the flow is expected to carry many requests.
	Long bool `json:"long"`
	// Admission tells whether the flow would be admitted.
	Admission ExplainedAdmission `json:"admission"`
	// Upstream is the chosen upstream, and Rule why it was chosen. Both are empty if the
	// flow would not be forwarded.
	Upstream catalog.UpstreamID `json:"upstream"`
	Rule     Rule               `json:"rule"`
	// Candidates are the upstreams of the service in order of cost.
	Candidates []ExplainedCandidate `json:"candidates"`
}
