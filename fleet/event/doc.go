// Package event defines the events that the daemon logs and their numbers.
//
// The numbers are stable. The catalogue docs/events.md describes each event and what
// an operator does about it; a test checks that it matches this package.
package event
