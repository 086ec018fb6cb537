// Package operator serves metrics in the Prometheus text format, the status and
// the readiness of the daemon to operators over HTTP.
package operator
