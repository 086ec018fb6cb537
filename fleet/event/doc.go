// Package event numbers the events that the daemon logs.
//
// The numbers are stable; docs/events.md lists what each means and what an
// operator does about it. A test keeps the two the same.
package event
