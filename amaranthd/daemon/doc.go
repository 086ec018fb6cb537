// Package daemon assembles the daemon of an entry VM from its components and
// runs its control loop.
//
// Every daemon can act in every role: ingress and home of flows, relay of flow
// counts, gateway of requests. Each VM computes which VM has which role from
// the VMs that it believes alive.
package daemon
