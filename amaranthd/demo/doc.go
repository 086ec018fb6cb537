// Package demo runs a complete deployment in one process on loopback, drains an
// upstream, takes a failure domain out of service and back in, and reports the
// effect on flows and requests.
package demo
