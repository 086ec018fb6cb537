// Package operator serves metrics in the Prometheus text format and the state
// of the daemon to operators.
package operator
