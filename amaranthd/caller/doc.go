// Package caller serves the requests of callers.
//
// A Gateway takes HTTP/1.1 requests, claims the keys of those that must not run
// twice, leases a slot, sends the request to an upstream and passes the answer
// on. A refusal tells by one header and a small JSON body whether the request
// did not run, ran, or may have run.
package caller
