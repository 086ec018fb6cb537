package config

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// DomainState tells whether a failure domain takes traffic.
type DomainState string

// States of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// UpstreamState tells whether an upstream takes new work.
type UpstreamState string

// States of an upstream.
const (
	UpstreamActive UpstreamState = "active"
	UpstreamDrain  UpstreamState = "drain"
)

// Kind tells how a service is carried.
type Kind string

// Kinds of traffic that a service carries.
const (
	KindFlow    Kind = "flow"
	KindRequest Kind = "request"
)

// File is one published configuration.
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

// Service is one load-balanced address.
type Service struct {
	Name      ServiceName `json:"name"`
	VNI       VNI         `json:"vni"`
	Address   netip.Addr  `json:"address"`
	Kinds     []Kind      `json:"kinds"`
	Upstreams []Upstream  `json:"upstreams"`
	WarmUp    WarmUp      `json:"warmUp"`
	Request   *Request    `json:"request,omitempty"`
}

// Upstream is one back end of a service.
type Upstream struct {
	Name        UpstreamName  `json:"name"`
	Domain      DomainName    `json:"domain"`
	Address     string        `json:"address"`
	HTTPAddress string        `json:"httpAddress,omitempty"`
	State       UpstreamState `json:"state"`
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
}

// WarmUp describes what a cold upstream of the service bears. The permitted
// rate of new flows rises linearly from InitialPerSecond to FullPerSecond over
// DurationMillis; a cold upstream's request slots rise from one in the same
// time.
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

// OwnerRange gives the owner of callers whose address lies in Prefix.
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

// ID returns the identifier of upstream u of service s.
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

// AcceptsNewTraffic reports whether u takes new flows and requests under f.
func (f *File) AcceptsNewTraffic(u *Upstream) bool {
	return u.State == UpstreamActive && f.DomainState(u.Domain) == DomainIn
}
