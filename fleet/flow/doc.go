// Package flow defines flow identifiers.
//
// A flow is given by the virtual network identifier (VNI) of a service, a
// transport protocol and the two transport addresses. Its identifier is a keyed
// 128-bit hash of these, which is the same on every VM.
package flow
