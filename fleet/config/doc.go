// Package config defines the declarative file that operators publish: failure
// domains, services and their upstreams. Package configfile reads it.
//
// Rates are per second, durations are milliseconds, addresses are IP address
// and port.
package config
