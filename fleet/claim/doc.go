// Package claim implements a quorum that lets a request with an idempotency
// key run at most once.
//
// Before it runs a request, a gateway claims the key at a majority of the key's
// witnesses, the VMs that vote on it. All gateways choose the same witnesses
// from the platform's list of VMs, in different failure domains where there are
// enough. A witness grants a key to one attempt only and records it. Two
// majorities share a witness, so two attempts never both run. The key carries
// its creation time (UUID version 7, RFC 9562). A witness abstains on a key
// older than its own records, or than its time as a witness of the key, since
// it cannot know whether that key was used.
//
// A caller is told that a request did not run only after a majority has closed
// the key for good. The package uses no sockets and reads no clock.
package claim
