// Package slot leases the concurrent request slots of upstreams.
//
// One VM in each failure domain manages the slots of a service's upstreams
// there. A gateway acquires a slot on any of these upstreams under a lease. The
// lease ends when it is released, or expires if the gateway stops renewing it.
// Waiting requests are scheduled by fair queueing over owners: the owner with
// the least slot time goes first, so that owners with demand get equal shares
// and unused shares go to the others. The package uses no sockets and reads no
// clock.
package slot
