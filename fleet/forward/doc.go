// Package forward decides what happens to each packet of a flow whose packets
// name their upstream.
//
// The first packet of a flow is placed on an upstream, whose token goes into
// the packet. The two ends of the flow carry the token in all later packets, so
// that any VM forwards them with nothing but the catalog. What an Engine keeps
// of a flow serves only to estimate load and to find silent upstreams, and may
// be lost at any time.
//
// Upstreams are judged by what passes: a caller that sends the same data again
// got no acknowledgement, one that acknowledges more got an answer (outlier
// ejection by passive health checks). In a large fleet no VM sees enough of an
// upstream, so the VMs of a failure domain put together what they see, as
// Suspicions that merge in any order. New flows go to the least loaded upstream
// of the own failure domain while it has room, and to other failure domains
// when the difference in load exceeds a penalty.
package forward
