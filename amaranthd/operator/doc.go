// Package operator serves metrics in the Prometheus text format, the status and
// the readiness of the daemon, and answers to queries, to operators over HTTP.
package operator
