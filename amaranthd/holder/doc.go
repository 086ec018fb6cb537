// Package holder implements the two distributed services that requests depend
// on: the claims of idempotency keys and the leases of slots.
//
// A Holder serves both to other VMs and is their client. The witnesses of a key
// follow from the platform's list of VMs, and the manager of a service's slots
// in a failure domain from the VMs that are alive. Calls to the local VM bypass
// the network.
package holder
