// Package flowend is a fake of the two ends of the users' packet flows: upstreams, and
// callers whose packets the fabric routes to entry VMs. Both verify that packets arrive
// as their sender wrote them.
package flowend
