// Package ident defines the types of identifiers that other packages share.
package ident

// Version is the version number of a published configuration. A configuration
// replaces another only if its version is higher.
type Version uint64

// VMID identifies a VM that runs the daemon.
type VMID string

// DomainName identifies a failure domain.
type DomainName string

// RegionName identifies a region, which is a set of failure domains.
type RegionName string

// ServiceName identifies a service.
type ServiceName string
