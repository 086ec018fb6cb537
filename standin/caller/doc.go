// Package caller stands in for the users' callers.
//
// Flows are long TCP feeds reduced to what a balancer sees: a SYN, segments
// at intervals with retransmission, and a FIN. A flow counts as broken if it
// gets a reset, or an answer of another back end than the one that took it.
package caller
