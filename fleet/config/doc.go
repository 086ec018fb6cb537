// Package config defines the declarative file that operators publish: failure
// domains, services and their upstreams.
//
// A file is parsed, validated and applied as a whole. Parse reports every
// problem with the path of the field that caused it. Rates are per second,
// durations are milliseconds, addresses are IP address and port.
package config
