// Package eventlog writes log lines without blocking the caller, and limits the rate
// of lines per event.
package eventlog
