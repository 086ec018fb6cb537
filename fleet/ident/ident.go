// Package ident names what the fleet is made of.
package ident

// Version numbers a published configuration. One replaces another only if its
// version is higher.
type Version uint64

// VMID names a VM that runs the daemon.
type VMID string

// DomainName names a failure domain.
type DomainName string

// RegionName names a region, a set of failure domains.
type RegionName string

// ServiceName names a service.
type ServiceName string
