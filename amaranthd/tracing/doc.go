// Package tracing records spans of packets and requests with OpenTelemetry.
//
// Requests carry their trace context in W3C Trace Context headers. All packets of
// a sampled flow share a trace whose ID is the flow ID, so that the spans of
// different VMs join without propagating a context in packets.
package tracing
