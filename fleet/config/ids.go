package config

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// VNI is the Geneve virtual network identifier of a service, 1 to 2^24-1.
type VNI uint32

// Names that the configuration shares with everything else.
type (
	// Version numbers a published file.
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

// UpstreamID identifies one upstream at one address serving one service. A
// change of any of these gives another identifier, so that an entry made for
// the old one never reaches the new one. Zero means no upstream.
type UpstreamID uint64

// NewUpstreamID derives the identifier that every VM computes alike.
func NewUpstreamID(vni VNI, name UpstreamName, address string) (id UpstreamID) {
	id = UpstreamID(xxhash.Sum64String(fmt.Sprintf("%d|%s|%s", vni, name, address)))
	if id == 0 {
		id = 1
	}
	return id
}
