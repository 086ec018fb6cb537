// Package membership finds out which VMs are alive and which of them can be
// reached.
//
// It follows SWIM (Das, Gupta and Motivala, DSN 2002): each period a VM probes
// one other, directly and then through helpers, and spreads what it learns on
// the probes. Only VMs on the platform's list are talked to; the list alone
// makes nobody alive or dead. Most probes go to VMs of the own failure domain
// and some to others, so that the cost of a VM does not grow with the fleet.
//
// Probes also carry the version and digest of the configuration in force.
// The package holds no sockets and reads no clock.
package membership
