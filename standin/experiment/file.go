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
	// Seeds are played one after the other under each policy.
	Seeds []uint64 `toml:"seeds"`
	// LengthMillis is the virtual time of each play, and WarmMillis the part of it
	// at the start that is not counted.
	LengthMillis clock.Millis `toml:"lengthMillis"`
	WarmUpMillis clock.Millis `toml:"warmMillis"`
	Fleet        Fleet        `toml:"fleet"`
	Loads        []Load       `toml:"load"`
	Faults       []Fault      `toml:"fault"`
	Policies     []Policy     `toml:"policy"`
}

// Fleet is what is played.
type Fleet struct {
	Domains []Domain `toml:"domains"`
	// Slots and Queue are the requests that an upstream works on and holds back.
	Slots         int `toml:"slots"`
	QueueCapacity int `toml:"queue"`
	// ColdPerSecond is what a cold upstream bears.
	ColdPerSecond float64 `toml:"coldPerSecond"`
	// LossShare is the share of packets that are lost.
	LossShare float64 `toml:"lossShare"`
}

// Domain is a failure domain.
type Domain struct {
	Name      ident.DomainName `toml:"name"`
	VMs       int              `toml:"vms"`
	Upstreams int              `toml:"upstreams"`
}

// Load is a number of callers that do the same.
type Load struct {
	// Domain is where they are. An empty one stands for each failure domain.
	Domain  ident.DomainName `toml:"domain"`
	Callers int              `toml:"callers"`
	// Persistent callers keep a flow for all requests.
	Persistent          bool         `toml:"long"`
	ThinkTimeMillis     clock.Millis `toml:"pauseMillis"`
	ServiceTimeMillis   clock.Millis `toml:"workMillis"`
	LatencyTargetMillis clock.Millis `toml:"aimMillis"`
	DeadlineMillis      clock.Millis `toml:"deadlineMillis"`
	Retries             int          `toml:"retries"`
}

// FaultKind names what a Fault does.
type FaultKind string

// Kinds of faults.
const (
	// PowerLoss takes the power from a share of the upstreams. After ForMillis they are
	// no longer published.
	PowerLoss FaultKind = "dark"
	// Slowdown divides the speed of a share of the upstreams by Times for ForMillis.
	Slowdown FaultKind = "slow"
	// Partition separates a failure domain from the others for ForMillis.
	Partition FaultKind = "cut"
)

// Fault is what goes wrong.
type Fault struct {
	Kind           FaultKind        `toml:"kind"`
	StartMillis    clock.Millis     `toml:"atMillis"`
	DurationMillis clock.Millis     `toml:"forMillis"`
	Share          float64          `toml:"share"`
	SlowdownFactor float64          `toml:"times"`
	Domain         ident.DomainName `toml:"domain"`
}

// Placement names a policy of placement.
type Placement string

// Policies of placement.
const (
	DefaultPlacement Placement = "usual"
	HashPlacement    Placement = "hash"
	LocalPlacement   Placement = "local"
)

// Policy is one of those compared.
type Policy struct {
	Name      string    `toml:"name"`
	Placement Placement `toml:"placement"`
	// NoSuspicionGossip keeps VMs from telling each other of silent upstreams.
	NoSuspicionGossip bool `toml:"alone"`
}

// Parse reads an experiment and checks it. Fields that are not known are an error.
func Parse(data []byte) (f *Spec, err error) {
	defer func() { err = eris.Wrap(err, "experiment: parse") }()
	f = &Spec{}
	meta, err := toml.Decode(string(data), f)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("field %s: is not known", unknown[0])
	}
	return f, f.check()
}

func (f *Spec) check() error {
	for _, c := range []struct {
		field string
		bad   bool
		want  string
	}{
		{"seeds", len(f.Seeds) == 0, "needs one at least"},
		{"lengthMillis", f.LengthMillis <= f.WarmUpMillis, "must be more than warmMillis"},
		{"warmMillis", f.WarmUpMillis < 0, "must not be negative"},
		{"fleet.domains", len(f.Fleet.Domains) == 0, "needs one at least"},
		{"fleet.slots", f.Fleet.Slots <= 0, "must be positive"},
		{"fleet.lossShare", f.Fleet.LossShare < 0 || f.Fleet.LossShare >= 1, "must be at least 0 and below 1"},
		{"load", len(f.Loads) == 0, "needs one at least"},
		{"policy", len(f.Policies) == 0, "needs one at least"},
	} {
		if c.bad {
			return fmt.Errorf("field %s: %s", c.field, c.want)
		}
	}
	return f.checkLists()
}

func (f *Spec) checkLists() error {
	for i, d := range f.Fleet.Domains {
		if d.Name == "" || d.VMs <= 0 || d.Upstreams <= 0 {
			return fmt.Errorf("field fleet.domains[%d]: needs a name, vms and upstreams", i)
		}
	}
	for i, l := range f.Loads {
		if l.Domain != "" && !f.has(l.Domain) {
			return fmt.Errorf("field load[%d].domain: %q is no failure domain of the fleet", i, l.Domain)
		}
		if l.Callers <= 0 || l.ThinkTimeMillis <= 0 || l.ServiceTimeMillis <= 0 || l.LatencyTargetMillis <= 0 || l.DeadlineMillis < l.LatencyTargetMillis {
			return fmt.Errorf("field load[%d]: needs callers, pauseMillis, workMillis, aimMillis and a deadlineMillis of at least that", i)
		}
	}
	for i, fault := range f.Faults {
		if err := f.checkFault(&fault); err != nil {
			return fmt.Errorf("field fault[%d].%w", i, err)
		}
	}
	for i, p := range f.Policies {
		if p.Name == "" {
			return fmt.Errorf("field policy[%d].name: is missing", i)
		}
		if !slices.Contains([]Placement{"", DefaultPlacement, HashPlacement, LocalPlacement}, p.Placement) {
			return fmt.Errorf("field policy[%d].placement: %q is neither usual, hash nor local", i, p.Placement)
		}
	}
	return nil
}

func (f *Spec) checkFault(fault *Fault) error {
	switch {
	case fault.Kind != PowerLoss && fault.Kind != Slowdown && fault.Kind != Partition:
		return fmt.Errorf("kind: %q is neither dark, slow nor cut", fault.Kind)
	case fault.DurationMillis <= 0:
		return fmt.Errorf("forMillis: must be positive")
	case fault.Kind == Partition && !f.has(fault.Domain):
		return fmt.Errorf("domain: %q is no failure domain of the fleet", fault.Domain)
	case fault.Kind != Partition && (fault.Share <= 0 || fault.Share > 1):
		return fmt.Errorf("share: must be above 0 and at most 1")
	case fault.Kind == Slowdown && fault.SlowdownFactor < 1:
		return fmt.Errorf("times: must be at least 1")
	}
	return nil
}

func (f *Spec) has(name ident.DomainName) bool {
	return slices.ContainsFunc(f.Fleet.Domains, func(d Domain) bool { return d.Name == name })
}
