package config

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// VNI is the Geneve virtual network identifier of a service, 1 to 2^24-1.
type VNI uint32

// Aliases of the identifier types that the rest of the code shares.
type (
	// Version is the version number of a published file.
	Version = ident.Version
	// VMID names a VM that runs the daemon.
	VMID = ident.VMID
	// DomainName names a failure domain.
	DomainName = ident.DomainName
	// RegionName names a region.
	RegionName = ident.RegionName
	// ServiceName names a service.
	ServiceName = ident.ServiceName
)

// UpstreamName names an upstream within its service.
type UpstreamName string

// Owner names the party on whose behalf a request is made.
type Owner string

// UpstreamID identifies an upstream by its service, name and address. A change
// of any of these yields a different identifier, so that a table entry made for
// the old upstream never routes to the new one. Zero means no upstream.
type UpstreamID uint64

// NewUpstreamID derives an upstream's identifier by hashing its service's VNI,
// name and address. All VMs compute the same value. It never returns zero.
func NewUpstreamID(vni VNI, name UpstreamName, address string) (id UpstreamID) {
	id = UpstreamID(xxhash.Sum64String(fmt.Sprintf("%d|%s|%s", vni, name, address)))
	if id == 0 {
		id = 1
	}
	return id
}
