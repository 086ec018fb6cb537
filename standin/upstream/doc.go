// Package upstream simulates the upstreams of the load balancer.
//
// An Endpoint receives the Geneve packets of one service and answers the callers
// directly, like a kernel's TCP stack: a SYN opens a connection, and a segment of an
// unknown connection is answered with a reset. Replies carry the name of the upstream,
// so that callers detect a misrouted flow. A Server handles the HTTP requests.
package upstream
