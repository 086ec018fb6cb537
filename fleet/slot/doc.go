// Package slot leases the request slots of upstreams.
//
// One VM in each failure domain manages the slots of a service's upstreams
// there. Gateways ask it for a slot on any of them and hold it by a lease,
// which ends by release or, if the gateway falls silent, by expiry. Waiting
// requests are served by owner: the owner that has had the least slot time goes
// first, so that owners with demand get equal shares and idle shares are lent
// out. The package holds no sockets and reads no clock.
package slot
