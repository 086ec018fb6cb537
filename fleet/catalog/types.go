package catalog

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// UpstreamID identifies an upstream within a fleet.
type UpstreamID string

// EncapID is the number in the encapsulation header of a forwarded packet by
// which an upstream recognises the packets meant for it. 0 means that it has none.
type EncapID uint64

// Upstream is a published upstream.
type Upstream struct {
	ID      UpstreamID
	EncapID EncapID
	Service ident.ServiceName
	Address netip.AddrPort
	Domain  ident.DomainName
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int
	// Draining is set if the upstream accepts no new flows.
	Draining bool
	// RemainingColdMillis is the remaining slow start time when this was
	// published.
	RemainingColdMillis clock.Millis
	// StartedAt is the start time of the upstream by its own clock, 0 if
	// unknown.
	StartedAt clock.Millis
	// Sequence rises with each entry that the upstream publishes after a start.
	Sequence uint64
}

// Route maps an address to one service or, by weight, to several.
type Route struct {
	// Name is the name of the route in the configuration, "" if it has none.
	Name    string
	Address netip.AddrPort
	Targets []Target
	// Priority ranks the requests of the route when room is scarce. 0 is the highest.
	Priority Priority
}

// Priority is the priority of a route. 0 is the highest.
type Priority int

// Target is a service with its weight among the targets of a route.
type Target struct {
	Service ident.ServiceName
	Weight  int
}

// Service is the part of a service's configuration that concerns forwarding.
type Service struct {
	Name ident.ServiceName
	// SlowStartMillis is the slow start time of an upstream after its start.
	SlowStartMillis clock.Millis
	// ColdPerSecond is the rate of new flows, over all VMs, that a cold
	// upstream can handle.
	ColdPerSecond float64
	// MaxFlows is the configured maximum number of flows per upstream. It is not
	// enforced here.
	MaxFlows int
}

// Config is one version of the configuration.
type Config struct {
	Version  ident.Version
	Routes   []Route
	Services []Service
	// IdleMillis is the configured idle timeout of flows. It is not enforced
	// here.
	IdleMillis clock.Millis
}

// Change is the content of a published item. At most one field is set, and none
// for an item that is not relevant here.
type Change struct {
	Upstream *Upstream
	Config   *Config
	// DomainOut is the name of a failure domain that is out of service.
	DomainOut ident.DomainName
}

// Decode decodes a published item. It returns an error if the item is malformed
// and must be ignored.
type Decode func(item replica.Item) (Change, error)
