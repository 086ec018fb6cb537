package config

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// DomainState is the administrative state of a failure domain: whether it
// accepts traffic.
type DomainState string

// Values of DomainState.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// UpstreamState is the administrative state of an upstream: whether it accepts
// new flows and requests.
type UpstreamState string

// Values of UpstreamState.
const (
	UpstreamActive UpstreamState = "active"
	UpstreamDrain  UpstreamState = "drain"
)

// Kind is the way in which a service is load-balanced.
type Kind string

// Values of Kind: by transport flow or by HTTP request.
const (
	KindFlow    Kind = "flow"
	KindRequest Kind = "request"
)

// File is a complete configuration as published.
type File struct {
	Version  Version   `json:"version"`
	HashKey  string    `json:"hashKey,omitempty"`
	Domains  []Domain  `json:"domains"`
	Services []Service `json:"services"`
}

// Domain is a failure domain.
type Domain struct {
	Name   DomainName  `json:"name"`
	Region RegionName  `json:"region"`
	State  DomainState `json:"state"`
}

// Service is a load-balanced virtual IP address.
type Service struct {
	Name      ServiceName `json:"name"`
	VNI       VNI         `json:"vni"`
	Address   netip.Addr  `json:"address"`
	Kinds     []Kind      `json:"kinds"`
	Upstreams []Upstream  `json:"upstreams"`
	WarmUp    WarmUp      `json:"warmUp"`
	Request   *Request    `json:"request,omitempty"`
}

// Upstream is a back end of a service. Slots is the number of requests that it
// serves concurrently.
type Upstream struct {
	Name        UpstreamName  `json:"name"`
	Domain      DomainName    `json:"domain"`
	Address     string        `json:"address"`
	HTTPAddress string        `json:"httpAddress,omitempty"`
	State       UpstreamState `json:"state"`
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
}

// WarmUp configures the slow start of a service's upstreams. The permitted rate
// of new flows to a cold upstream rises linearly from InitialPerSecond to
// FullPerSecond over DurationMillis; its request slots rise from one over the
// same time.
type WarmUp struct {
	DurationMillis   clock.Millis `json:"durationMillis"`
	InitialPerSecond float64      `json:"initialPerSecond"`
	FullPerSecond    float64      `json:"fullPerSecond"`
}

// Request holds the settings of a service of kind request.
type Request struct {
	OwnerHeader        string       `json:"ownerHeader,omitempty"`
	Owners             []OwnerRange `json:"owners,omitempty"`
	DeadlineMillis     clock.Millis `json:"deadlineMillis"`
	QueueMillis        clock.Millis `json:"queueMillis"`
	KeyLifetimeMillis  clock.Millis `json:"keyLifetimeMillis"`
	RetryShare         float64      `json:"retryShare"`
	NonIdempotent      []string     `json:"nonIdempotent,omitempty"`
	HedgeAfterQuantile float64      `json:"hedgeAfterQuantile,omitempty"`
}

// OwnerRange assigns an owner to callers whose IP address is in Prefix.
type OwnerRange struct {
	Owner  Owner        `json:"owner"`
	Prefix netip.Prefix `json:"prefix"`
}

// HasKind reports whether s is of kind k.
func (s *Service) HasKind(k Kind) bool {
	for _, have := range s.Kinds {
		if have == k {
			return true
		}
	}
	return false
}

// ID returns the identifier of upstream u within service s.
func (s *Service) ID(u *Upstream) UpstreamID {
	return NewUpstreamID(s.VNI, u.Name, u.Address)
}

// DomainState returns the state of the named failure domain. An unknown domain
// is out.
func (f *File) DomainState(name DomainName) DomainState {
	for i := range f.Domains {
		if f.Domains[i].Name == name {
			return f.Domains[i].State
		}
	}
	return DomainOut
}

// AcceptsNewTraffic reports whether u accepts new flows and requests: it is
// active and its failure domain is in service.
func (f *File) AcceptsNewTraffic(u *Upstream) bool {
	return u.State == UpstreamActive && f.DomainState(u.Domain) == DomainIn
}
