// Package vm exchanges datagrams and RPCs with the other VMs of the system.
//
// Datagrams carry detoured packets, membership probes, messages about flows,
// flow counts and upstream health. RPCs, in JSON-RPC 2.0 over TCP, carry what is
// large or needs a reply: configurations, handovers and the status for operators.
// Only VMs on the platform's list are contacted.
package vm
