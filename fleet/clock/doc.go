// Package clock provides the time source of all other packages.
//
// Times and durations are in whole milliseconds. Packages of decision logic do not
// read a clock; they take the current time as an argument.
package clock
