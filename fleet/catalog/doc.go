// Package catalog provides the published state in the form needed to forward
// packets: the service behind an address, the upstreams that serve it, the
// failure domains that are out of service, and the upstream that a token in a
// packet refers to.
//
// Slow start, which follows a cold start, is the same concept as the warm-up of
// package warmup: an upstream is cold until its slow start ends, and its rate
// curve, called a ramp there, is constant here.
//
// A Catalog is immutable. A Builder makes a new one after each change.
package catalog
