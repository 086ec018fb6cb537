// Package warmup limits the load on cold upstreams.
//
// A cold upstream bears a rate of new flows that rises with time. The VMs
// split that rate among themselves without talking: the split is by the larger
// of the counts of VMs that a VM has seen, so that VMs that disagree, or that
// are cut off from each other, together stay within what the upstream bears.
package warmup
