// Package eventlog writes log lines without ever blocking who logs.
package eventlog
