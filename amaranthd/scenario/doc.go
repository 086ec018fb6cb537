// Package scenario proves the daemon under failure: its tests run daemons as
// processes of their own on loopback, behind proxies that inject faults, with
// kills, freezes and planned stops.
//
// The short forms run in every test run. The flag -scenario.long runs them
// longer and with more flows, and -scenario.seed sets all random choices.
package scenario
