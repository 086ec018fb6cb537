// Package settings reads and validates the settings file of a daemon: its
// identity, addresses, timers and limits.
package settings
