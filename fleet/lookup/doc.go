// Package lookup maps flows to upstreams by consistent hashing.
//
// Every VM computes the same lookup table from the published configuration, by
// the algorithm of Eisenbud et al., "Maglev: A Fast and Reliable Software
// Network Load Balancer" (NSDI 2016). A History keeps the tables that newer
// configurations replaced, since flows placed by them may still be open.
package lookup
