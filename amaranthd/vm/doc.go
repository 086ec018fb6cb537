// Package vm exchanges datagrams and calls with the other VMs of the system.
//
// Datagrams carry detoured packets, probes, statements about flows and sums.
// Calls, by JSON-RPC 2.0 over TCP, carry what is large or needs an answer:
// configurations, handovers and the state for operators. Only VMs on the
// platform's list are talked to.
package vm
