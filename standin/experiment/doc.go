// Package experiment plays loads and faults from a file in virtual time, with
// several seeds and under several policies, and compares what callers got.
package experiment
