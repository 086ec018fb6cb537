// Package tally sums the number of flows per upstream over all VMs.
//
// The VMs of each failure domain form an aggregation tree. Each VM reports the sum
// of its own counts and those of its subtree to its parent. The root of the tree,
// the domain's relay, exchanges the domain's sum with the relays of other domains
// and sends the global sum down the tree. A report lists only upstreams with flows,
// by their index in the order of identifiers, which is the same on all VMs with the
// same configuration. The traffic per VM does not depend on the number of VMs, and
// the report interval grows with the number of upstreams.
package tally
