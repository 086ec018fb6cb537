package experiment

import (
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// Spec describes an experiment.
type Spec struct {
	// Seeds are the random seeds; each is simulated under each policy.
	Seeds []uint64 `toml:"seeds"`
	// LengthMillis is the duration of each simulation in virtual time. Requests that
	// complete in its first WarmUpMillis are not counted.
	LengthMillis clock.Millis `toml:"lengthMillis"`
	WarmUpMillis clock.Millis `toml:"warmMillis"`
	Fleet        Fleet        `toml:"fleet"`
	Loads        []Load       `toml:"load"`
	Faults       []Fault      `toml:"fault"`
	Policies     []Policy     `toml:"policy"`
}

// Fleet describes the simulated VMs, upstreams and network.
type Fleet struct {
	Domains []Domain `toml:"domains"`
	// Slots is the number of requests that an upstream runs concurrently, and
	// QueueCapacity the number that can wait for a slot.
	Slots         int `toml:"slots"`
	QueueCapacity int `toml:"queue"`
	// ColdPerSecond is the rate of new flows that a cold upstream accepts.
	ColdPerSecond float64 `toml:"coldPerSecond"`
	// LossShare is the probability that a packet is lost, at least 0 and below 1.
	LossShare float64 `toml:"lossShare"`
	// Speeds are the relative speeds of the upstreams in rotation. All are 1 if it is
	// empty.
	Speeds []float64 `toml:"speeds"`
	// NoLoadGossip stops VMs from sharing their loads, as those of large fleets do.
	NoLoadGossip bool `toml:"noLoadGossip"`
}

// Domain is a failure domain.
type Domain struct {
	Name      ident.DomainName `toml:"name"`
	VMs       int              `toml:"vms"`
	Upstreams int              `toml:"upstreams"`
}

// Load describes a group of identical callers.
type Load struct {
	// Domain is the failure domain of the callers. If it is empty, each failure domain
	// has such a group.
	Domain  ident.DomainName `toml:"domain"`
	Callers int              `toml:"callers"`
	// Persistent callers reuse one flow for all their requests.
	Persistent bool `toml:"long"`
	// ThinkTimeMillis is the mean time between a caller's requests, and
	// ServiceTimeMillis the mean time that an upstream takes for one.
	ThinkTimeMillis   clock.Millis `toml:"pauseMillis"`
	ServiceTimeMillis clock.Millis `toml:"workMillis"`
	// LatencyTargetMillis is the latency up to which a response is on time. Callers
	// abandon a request after DeadlineMillis.
	LatencyTargetMillis clock.Millis `toml:"aimMillis"`
	DeadlineMillis      clock.Millis `toml:"deadlineMillis"`
	Retries             int          `toml:"retries"`
}

// FaultKind is the kind of a Fault.
type FaultKind string

// Kinds of faults.
const (
	// PowerLoss cuts the power of a share of the upstreams. They leave the catalog
	// after DurationMillis.
	PowerLoss FaultKind = "dark"
	// Slowdown divides the speed of a share of the upstreams by SlowdownFactor for
	// DurationMillis.
	Slowdown FaultKind = "slow"
	// Partition separates a failure domain from the others for DurationMillis.
	Partition FaultKind = "cut"
)

// Fault is a fault that is injected into the simulation.
type Fault struct {
	Kind           FaultKind    `toml:"kind"`
	StartMillis    clock.Millis `toml:"atMillis"`
	DurationMillis clock.Millis `toml:"forMillis"`
	// Share is the fraction of the upstreams that a PowerLoss or a Slowdown affects,
	// above 0 and at most 1.
	Share float64 `toml:"share"`
	// SlowdownFactor is at least 1; only a Slowdown uses it.
	SlowdownFactor float64 `toml:"times"`
	// Domain is the failure domain that a Partition isolates.
	Domain ident.DomainName `toml:"domain"`
}

// Placement names a placement policy of package forward.
type Placement string

// Placement policies.
const (
	DefaultPlacement Placement = "usual"
	HashPlacement    Placement = "hash"
	LocalPlacement   Placement = "local"
)

// Policy is a policy under comparison.
type Policy struct {
	Name string `toml:"name"`
	// Placement is DefaultPlacement if empty.
	Placement Placement `toml:"placement"`
	// NoSuspicionGossip stops VMs from sharing suspicions of unresponsive upstreams.
	NoSuspicionGossip bool `toml:"alone"`
	// IgnoreQuality makes placement independent of how upstreams answer.
	IgnoreQuality bool `toml:"ignoreQuality"`
}

// Parse decodes an experiment in TOML and validates it. Unknown fields are an error.
func Parse(data []byte) (spec *Spec, err error) {
	defer func() { err = eris.Wrap(err, "experiment: parse") }()
	spec = &Spec{}
	meta, err := toml.Decode(string(data), spec)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("field %s: is unknown", unknown[0])
	}
	return spec, spec.check()
}

func (spec *Spec) check() error {
	for _, c := range []struct {
		field string
		bad   bool
		want  string
	}{
		{"seeds", len(spec.Seeds) == 0, "must not be empty"},
		{"lengthMillis", spec.LengthMillis <= spec.WarmUpMillis, "must be greater than warmMillis"},
		{"warmMillis", spec.WarmUpMillis < 0, "must not be negative"},
		{"fleet.domains", len(spec.Fleet.Domains) == 0, "must not be empty"},
		{"fleet.slots", spec.Fleet.Slots <= 0, "must be positive"},
		{"fleet.lossShare", spec.Fleet.LossShare < 0 || spec.Fleet.LossShare >= 1, "must be at least 0 and below 1"},
		{"fleet.speeds", slices.ContainsFunc(spec.Fleet.Speeds, func(s float64) bool { return s <= 0 }), "must be positive"},
		{"load", len(spec.Loads) == 0, "must not be empty"},
		{"policy", len(spec.Policies) == 0, "must not be empty"},
	} {
		if c.bad {
			return fmt.Errorf("field %s: %s", c.field, c.want)
		}
	}
	return spec.checkLists()
}

func (spec *Spec) checkLists() error {
	for i, d := range spec.Fleet.Domains {
		if d.Name == "" || d.VMs <= 0 || d.Upstreams <= 0 {
			return fmt.Errorf("field fleet.domains[%d]: name, vms and upstreams are required, the numbers positive", i)
		}
	}
	for i, l := range spec.Loads {
		if l.Domain != "" && !spec.hasDomain(l.Domain) {
			return fmt.Errorf("field load[%d].domain: %q is not a failure domain of the fleet", i, l.Domain)
		}
		if l.Callers <= 0 || l.ThinkTimeMillis <= 0 || l.ServiceTimeMillis <= 0 || l.LatencyTargetMillis <= 0 || l.DeadlineMillis < l.LatencyTargetMillis {
			return fmt.Errorf("field load[%d]: callers, pauseMillis, workMillis and aimMillis must be positive, and deadlineMillis at least aimMillis", i)
		}
	}
	for i, fault := range spec.Faults {
		if err := spec.checkFault(&fault); err != nil {
			return fmt.Errorf("field fault[%d].%w", i, err)
		}
	}
	for i, p := range spec.Policies {
		if p.Name == "" {
			return fmt.Errorf("field policy[%d].name: is missing", i)
		}
		if !slices.Contains([]Placement{"", DefaultPlacement, HashPlacement, LocalPlacement}, p.Placement) {
			return fmt.Errorf("field policy[%d].placement: %q is neither usual, hash nor local", i, p.Placement)
		}
	}
	return nil
}

func (spec *Spec) checkFault(fault *Fault) error {
	switch {
	case fault.Kind != PowerLoss && fault.Kind != Slowdown && fault.Kind != Partition:
		return fmt.Errorf("kind: %q is neither dark, slow nor cut", fault.Kind)
	case fault.DurationMillis <= 0:
		return fmt.Errorf("forMillis: must be positive")
	case fault.Kind == Partition && !spec.hasDomain(fault.Domain):
		return fmt.Errorf("domain: %q is not a failure domain of the fleet", fault.Domain)
	case fault.Kind != Partition && (fault.Share <= 0 || fault.Share > 1):
		return fmt.Errorf("share: must be above 0 and at most 1")
	case fault.Kind == Slowdown && fault.SlowdownFactor < 1:
		return fmt.Errorf("times: must be at least 1")
	}
	return nil
}

func (spec *Spec) hasDomain(name ident.DomainName) bool {
	return slices.ContainsFunc(spec.Fleet.Domains, func(d Domain) bool { return d.Name == name })
}
