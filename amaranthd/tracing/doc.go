// Package tracing records spans of packets and requests with OpenTelemetry.
//
// A request carries its trace context by W3C headers. All packets of a sampled
// flow share a trace whose identifier is that of the flow, so that the hops at
// different VMs meet without carrying any context.
package tracing
