// Package tally adds up how many flows each upstream has over all VMs.
//
// Each VM reports its counts to the relay of its failure domain, the relays
// exchange the sums of their domains, and each relay tells the VMs of its
// domain the sum over all. A report lists only upstreams with flows, by their
// position in the order of identifiers that all VMs with the same
// configuration share. The cost of a VM therefore does not grow with the
// number of VMs; a relay stretches its period as its domain grows.
package tally
