// Package holder keeps what must be held in one place for requests: the claims
// of idempotency keys and the leases of slots.
//
// A Holder serves both roles to other VMs and reaches them there. Which VM
// holds what follows from the platform's list (claims) or from the VMs that are
// alive (slots). Calls to the own VM are made directly.
package holder
