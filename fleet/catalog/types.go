package catalog

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// UpstreamID identifies one upstream among all of a fleet.
type UpstreamID string

// PacketName is the number by which an upstream recognises the packets that
// are meant for it.
type PacketName uint64

// Upstream is a published upstream.
type Upstream struct {
	ID      UpstreamID
	Name    PacketName
	Service ident.ServiceName
	Address netip.AddrPort
	Domain  ident.DomainName
	// Slots is the number of requests that the upstream works on at a time.
	Slots int
	// Draining upstreams get no new flows.
	Draining bool
	// ColdMillis is how much longer the upstream was cold when this was
	// published.
	ColdMillis clock.Millis
	// StartedAt is the upstream's own time of its start, 0 if it is not told.
	StartedAt clock.Millis
}

// Route leads an address to one service or, by weight, to several.
type Route struct {
	Address netip.AddrPort
	Targets []Target
}

// Target is a service with its share of a route's new flows.
type Target struct {
	Service ident.ServiceName
	Weight  int
}

// Service is the part of a service's configuration that matters here.
type Service struct {
	Name ident.ServiceName
	// ColdMillis is how long an upstream is cold after its start.
	ColdMillis clock.Millis
	// ColdPerSecond is the number of new flows a second that a cold upstream
	// bears, over all VMs.
	ColdPerSecond float64
	// MaxFlows is the number of flows that an upstream holds.
	MaxFlows int
}

// Config is one version of the configuration.
type Config struct {
	Version    ident.Version
	Routes     []Route
	Services   []Service
	IdleMillis clock.Millis
}

// Change is what one published item says. At most one field is set; none is
// set for an item that means nothing here.
type Change struct {
	Upstream *Upstream
	Config   *Config
	// DomainOut names a failure domain that is out of service.
	DomainOut ident.DomainName
}

// Decode translates a published item. An error means that the item cannot be
// read and is to be left out.
type Decode func(item replica.Item) (Change, error)
