// Package quality learns from answered requests how fast upstreams answer and what
// share of the requests they reject.
//
// A balancer of packets sees requests and the acknowledgements of their answers, not
// their contents. A rejection shows as an answer that is much shorter than the usual
// ones of its route.
package quality
