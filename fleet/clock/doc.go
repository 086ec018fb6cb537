// Package clock provides the time source that all other packages share.
//
// Times and durations are whole milliseconds. Decision packages never read a
// clock themselves; they take the current time as an argument.
package clock
