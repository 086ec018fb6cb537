// Package lookup maps flows to upstreams by a table that every VM computes
// alike from the published configuration.
//
// The table is filled as in Eisenbud et al., "Maglev: A Fast and Reliable
// Software Network Load Balancer" (NSDI 2016). A History keeps the tables that
// a newer configuration replaced, since flows placed by them may still be open.
package lookup
