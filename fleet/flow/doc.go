// Package flow identifies flows.
//
// A flow is a service's virtual network identifier, a transport protocol and
// the two transport addresses. Its identifier is a keyed 128-bit hash of
// these, which every VM computes alike.
package flow
