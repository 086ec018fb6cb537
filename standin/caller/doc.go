// Package caller simulates the clients of the load balancer.
//
// A FlowDriver emulates long-lived TCP flows, reduced to the packets that a load
// balancer handles: a SYN, segments at intervals with retransmission, and a FIN. A
// flow is broken if it receives a reset, or an answer from an upstream other than the
// one that accepted it. A RequestDriver sends HTTP requests to gateways.
package caller
