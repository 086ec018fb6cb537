// Package experiment simulates the loads and faults that a file describes, in virtual
// time, with several seeds and placement policies, and compares the callers' results.
package experiment
