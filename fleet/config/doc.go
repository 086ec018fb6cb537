// Package config defines the declarative configuration file that operators
// publish: failure domains, services and their upstreams. Package configfile
// parses and validates it.
//
// Rates are per second, durations are in milliseconds, and addresses consist of
// an IP address and a port unless stated otherwise.
package config
