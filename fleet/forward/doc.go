// Package forward decides how to handle each packet of a flow whose packets
// carry a token that names their upstream.
//
// The opening packet of a flow is assigned to an upstream, and the upstream's
// token is written into it. Both ends of the flow carry the token in all later
// packets, so any VM can forward them with the catalog alone. The per-flow
// state of an Engine serves only to estimate load and to detect silent
// upstreams, and may be lost at any time.
//
// Upstream health is inferred from the traffic (passive health checks with
// outlier ejection): a retransmission by the caller means that no
// acknowledgement arrived, and an advancing acknowledgement number means that
// an answer did. In a large fleet no single VM sees enough traffic to one
// upstream, so the VMs of a failure domain exchange their evidence as
// Suspicions, which merge in any order. New flows go to the least loaded
// upstream of the VM's own failure domain, and to another failure domain when
// the difference in load exceeds a penalty.
package forward
