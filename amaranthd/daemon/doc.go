// Package daemon assembles the daemon of an entry VM from its parts and runs
// its control loop.
//
// Every daemon runs every role: ingress and home of flows, relay of control
// messages, gateway of requests. Which VM acts for what follows from the VMs
// that it sees alive.
package daemon
