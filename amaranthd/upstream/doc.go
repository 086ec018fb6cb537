// Package upstream sends requests to upstreams and probes their health.
//
// An attempt is sent at most once, over a pooled connection. The result tells
// whether any byte of it may have reached the upstream.
package upstream
