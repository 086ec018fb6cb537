package experiment

import (
	"math/rand/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/standin/emulator"
)

// stepMillis is the span of one point of a result over time.
const stepMillis = clock.Second

// Run plays the experiment under all policies.
func Run(f *Spec) *Report {
	r := &Report{}
	for i := range f.Policies {
		result := Result{Policy: f.Policies[i].Name}
		for _, seed := range f.Seeds {
			f.play(&f.Policies[i], seed, &result)
		}
		r.Results = append(r.Results, result)
	}
	return r
}

// play plays one seed and adds it to a result.
func (f *Spec) play(p *Policy, seed uint64, result *Result) {
	w := emulator.New(f.setup(p, seed))
	begun := w.Now
	var loads []*emulator.Load
	for i := range f.Loads {
		loads = append(loads, f.start(w, &f.Loads[i])...)
	}
	for i := range f.Faults {
		f.Faults[i].plan(w, begun, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	w.Run(begun + f.WarmUpMillis)
	last := count(loads)
	for i, at := 0, f.WarmUpMillis; at < f.LengthMillis; i++ {
		at = min(at+stepMillis, f.LengthMillis)
		w.Run(begun + at)
		now := count(loads)
		result.add(i, now.minus(last))
		last = now
	}
	result.Resets += w.Resets
	result.SpuriousResets += w.SpuriousResets
}

func (f *Spec) setup(p *Policy, seed uint64) emulator.Setup {
	s := emulator.Setup{
		Seed: seed, Slots: f.Fleet.Slots, QueueCapacity: f.Fleet.QueueCapacity, Policy: forward.DefaultPolicy(),
		ColdPerSecond: f.Fleet.ColdPerSecond, LossRate: f.Fleet.LossShare, NoSuspicionGossip: p.NoSuspicionGossip,
	}
	switch p.Placement {
	case HashPlacement:
		s.Policy = forward.HashPolicy()
	case LocalPlacement:
		s.Policy = forward.LocalPolicy()
	case DefaultPlacement:
	}
	for _, d := range f.Fleet.Domains {
		s.Domains = append(s.Domains, emulator.Domain{Name: d.Name, VMs: d.VMs, Upstreams: d.Upstreams})
	}
	return s
}

// start begins a load in its failure domain, or in each.
func (f *Spec) start(w *emulator.Simulation, l *Load) (loads []*emulator.Load) {
	for _, d := range f.Fleet.Domains {
		if l.Domain != "" && l.Domain != d.Name {
			continue
		}
		load := &emulator.Load{
			Domain: d.Name, Address: emulator.ShortLivedAddress, Callers: l.Callers, ThinkTime: l.ThinkTimeMillis, Persistent: l.Persistent,
			ServiceTime: work(l.ServiceTimeMillis), LatencyTarget: l.LatencyTargetMillis, Deadline: l.DeadlineMillis, Retries: l.Retries,
		}
		if l.Persistent {
			load.Address = emulator.LongLivedAddress
		}
		w.Start(load)
		loads = append(loads, load)
	}
	return loads
}

// work returns what draws the time of a request, half of which varies.
func work(mean clock.Millis) func(*rand.Rand) clock.Millis {
	return func(rng *rand.Rand) clock.Millis {
		return clock.Millis(float64(mean) * (0.5 + rng.ExpFloat64()/2))
	}
}

// plan makes a fault happen.
func (fault *Fault) plan(w *emulator.Simulation, begun clock.Millis, rng *rand.Rand) {
	from, until := begun+fault.StartMillis, begun+fault.StartMillis+fault.DurationMillis
	switch fault.Kind {
	case Partition:
		w.At(from, func() {
			w.Partitioned = func(a, b ident.DomainName) bool { return (a == fault.Domain) != (b == fault.Domain) }
		})
		w.At(until, w.Heal)
	case PowerLoss:
		hit := fault.pick(w, rng)
		w.At(from, func() {
			for _, u := range hit {
				u.Crash()
			}
		})
		w.At(until, func() {
			for _, u := range hit {
				u.Deregistered = true
			}
			w.Publish()
		})
	case Slowdown:
		hit := fault.pick(w, rng)
		w.At(from, func() { setSpeed(hit, 1/fault.SlowdownFactor) })
		w.At(until, func() { setSpeed(hit, 1) })
	}
}

func setSpeed(list []*emulator.Upstream, speed float64) {
	for _, u := range list {
		u.Speed = speed
	}
}

// pick draws the upstreams that a fault hits.
func (fault *Fault) pick(w *emulator.Simulation, rng *rand.Rand) (hit []*emulator.Upstream) {
	for _, i := range rng.Perm(len(w.Upstreams))[:int(fault.Share*float64(len(w.Upstreams)))] {
		hit = append(hit, w.Upstreams[i])
	}
	return hit
}

func count(loads []*emulator.Load) (sum Counts) {
	for _, l := range loads {
		sum.OnTime += l.OnTime
		sum.Late += l.Late
		sum.Failed += l.Failed
	}
	return sum
}
