// Package claim makes sure that a request with an idempotency key runs at most
// once.
//
// Before it runs a request, a gateway claims the key at a majority of the key's
// witnesses: VMs that all gateways choose alike from the platform's list, at
// most one in a failure domain where there are enough. A witness grants a key
// to one attempt only and remembers it. Since two majorities share a witness,
// two attempts never both run. A key carries its time (UUID version 7, RFC
// 9562), so that a witness that started later, or that became one later,
// abstains on keys that it may have forgotten or never known.
//
// The statement that a request did not run is made only after a majority has
// closed the key for good. The package holds no sockets and reads no clock.
package claim
