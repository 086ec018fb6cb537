// Package retry bounds how often requests are sent again.
//
// A Budget permits retries and hedges as a share of recent requests, so that
// they cannot feed an overload. A Latency tells after which time an answer is
// late.
package retry
