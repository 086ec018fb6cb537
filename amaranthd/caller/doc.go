// Package caller implements the HTTP gateway to which callers send requests.
//
// For each HTTP/1.1 request, a Gateway claims the idempotency key if the request
// must not run twice, leases a slot, sends the request to an upstream and
// forwards the response. If it refuses a request, a header and a small JSON body
// say whether the request did not run, ran or may have run.
package caller
