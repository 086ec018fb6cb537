// Package tally adds up how many flows each upstream has over all VMs.
//
// The VMs of a failure domain form a tree. Each VM reports the counts of itself
// and of those below it to its parent; the root, the domain's relay, exchanges
// the domain's sum with the relays of other domains and sends the sum over all
// down the tree. A report lists only upstreams with flows, by their position in
// the order of identifiers that all VMs with the same configuration share. What
// a VM sends does not grow with the number of VMs, and the period stretches with
// the number of upstreams.
package tally
