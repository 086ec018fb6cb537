// Package flowend stands in for the two ends of the users' packet flows:
// upstreams, and callers whose packets a fabric hands to entry VMs. Both check
// that packets come as their sender wrote them.
package flowend
