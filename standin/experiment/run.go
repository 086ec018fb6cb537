package experiment

import (
	"math/rand/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/standin/emulator"
)

// stepInterval is the interval between the points of a result's time series.
const stepInterval = clock.Second

// Run simulates the experiment under all its policies.
func Run(spec *Spec) *Report {
	r := &Report{}
	for i := range spec.Policies {
		result := Result{Policy: spec.Policies[i].Name}
		for _, seed := range spec.Seeds {
			spec.runSeed(&spec.Policies[i], seed, &result)
		}
		r.Results = append(r.Results, result)
	}
	return r
}

// runSeed simulates one seed under a policy and adds its counts to a result.
func (spec *Spec) runSeed(p *Policy, seed uint64, result *Result) {
	sim := emulator.New(spec.setup(p, seed))
	start := sim.Now
	var loads []*emulator.Load
	for i := range spec.Loads {
		loads = append(loads, spec.startLoad(sim, &spec.Loads[i])...)
	}
	for i := range spec.Faults {
		spec.Faults[i].schedule(sim, start, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	sim.Run(start + spec.WarmUpMillis)
	for _, l := range loads {
		l.Latencies = nil
	}
	last := sumCounts(loads)
	for i, at := 0, spec.WarmUpMillis; at < spec.LengthMillis; i++ {
		at = min(at+stepInterval, spec.LengthMillis)
		sim.Run(start + at)
		now := sumCounts(loads)
		result.add(i, now.minus(last))
		last = now
	}
	result.P99Millis = max(result.P99Millis, emulator.Percentile(loads, 0.99))
	result.Resets += sim.Resets
	result.SpuriousResets += sim.SpuriousResets
}

func (spec *Spec) setup(p *Policy, seed uint64) emulator.Setup {
	s := emulator.Setup{
		Seed: seed, Slots: spec.Fleet.Slots, QueueCapacity: spec.Fleet.QueueCapacity, Policy: forward.DefaultPolicy(),
		ColdPerSecond: spec.Fleet.ColdPerSecond, LossRate: spec.Fleet.LossShare, NoSuspicionGossip: p.NoSuspicionGossip,
		Speeds: spec.Fleet.Speeds, NoLoadGossip: spec.Fleet.NoLoadGossip,
	}
	switch p.Placement {
	case HashPlacement:
		s.Policy = forward.LeastLoadedPolicy()
	case LocalPlacement:
		s.Policy = forward.LocalPolicy()
	case DefaultPlacement:
	}
	s.Policy.IgnoreQuality = s.Policy.IgnoreQuality || p.IgnoreQuality
	for _, d := range spec.Fleet.Domains {
		s.Domains = append(s.Domains, emulator.Domain{Name: d.Name, VMs: d.VMs, Upstreams: d.Upstreams})
	}
	return s
}

// startLoad starts a load in its failure domain, or in each one if it names none.
func (spec *Spec) startLoad(sim *emulator.Simulation, l *Load) (loads []*emulator.Load) {
	for _, d := range spec.Fleet.Domains {
		if l.Domain != "" && l.Domain != d.Name {
			continue
		}
		load := &emulator.Load{
			Domain: d.Name, Address: emulator.ShortLivedAddress, Callers: l.Callers, ThinkTime: l.ThinkTimeMillis, Persistent: l.Persistent,
			ServiceTime: serviceTime(l.ServiceTimeMillis), LatencyTarget: l.LatencyTargetMillis, Deadline: l.DeadlineMillis, Retries: l.Retries,
		}
		if l.Persistent {
			load.Address = emulator.LongLivedAddress
		}
		sim.Start(load)
		loads = append(loads, load)
	}
	return loads
}

// serviceTime returns a function that draws service times. Half of the mean is fixed,
// the other half is exponentially distributed.
func serviceTime(mean clock.Millis) func(*rand.Rand) clock.Millis {
	return func(rng *rand.Rand) clock.Millis {
		return clock.Millis(float64(mean) * (0.5 + rng.ExpFloat64()/2))
	}
}

// schedule schedules the start and the end of a fault. Times count from start, the
// beginning of the simulation.
func (fault *Fault) schedule(sim *emulator.Simulation, start clock.Millis, rng *rand.Rand) {
	from, until := start+fault.StartMillis, start+fault.StartMillis+fault.DurationMillis
	switch fault.Kind {
	case Partition:
		sim.At(from, func() {
			sim.Partitioned = func(a, b ident.DomainName) bool { return (a == fault.Domain) != (b == fault.Domain) }
		})
		sim.At(until, sim.Heal)
	case PowerLoss:
		affected := fault.sampleUpstreams(sim, rng)
		sim.At(from, func() {
			for _, u := range affected {
				u.Crash()
			}
		})
		sim.At(until, func() {
			for _, u := range affected {
				u.Deregistered = true
			}
			sim.Publish()
		})
	case Slowdown:
		affected := fault.sampleUpstreams(sim, rng)
		sim.At(from, func() { setSpeed(affected, 1/fault.SlowdownFactor) })
		sim.At(until, func() { setSpeed(affected, 1) })
	}
}

func setSpeed(list []*emulator.Upstream, speed float64) {
	for _, u := range list {
		u.Speed = speed
	}
}

// sampleUpstreams draws the upstreams that a fault affects.
func (fault *Fault) sampleUpstreams(sim *emulator.Simulation, rng *rand.Rand) (affected []*emulator.Upstream) {
	for _, i := range rng.Perm(len(sim.Upstreams))[:int(fault.Share*float64(len(sim.Upstreams)))] {
		affected = append(affected, sim.Upstreams[i])
	}
	return affected
}

func sumCounts(loads []*emulator.Load) (sum Counts) {
	for _, l := range loads {
		sum.OnTime += l.OnTime
		sum.Late += l.Late
		sum.Failed += l.Failed
	}
	return sum
}
