// Package settings reads the file from which a daemon learns its identity,
// its addresses and its timers.
package settings
