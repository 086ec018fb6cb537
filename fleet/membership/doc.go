// Package membership detects which VMs are alive and which of them are reachable.
//
// It follows SWIM (Das, Gupta and Motivala, DSN 2002). In each period a VM probes
// one other VM, directly and then indirectly through others, and piggybacks
// membership updates on the probes. It exchanges messages only with VMs on the
// platform's list, but the list does not decide whether a VM is alive. Most probes
// go to VMs of the local failure domain and some to others, so that the cost per VM
// does not grow with the fleet.
//
// Probes also carry the version and digest of the active configuration. The
// package opens no sockets and reads no clock.
package membership
