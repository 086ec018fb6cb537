// Package scenario tests the daemon under faults. Its tests run daemons as
// separate processes on loopback, behind proxies that inject network faults, and
// kill, suspend and stop them.
//
// Short forms run by default. The flag -scenario.long runs longer forms with more
// flows, and -scenario.seed seeds all random choices.
package scenario
