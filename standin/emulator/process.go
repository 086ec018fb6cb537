package emulator

import (
	"math"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// Stalls describes how the processor is withheld from processes, as on a host that is
// starved. Each process stalls by itself.
type Stalls struct {
	// MeanRun is the mean time between two stalls of a process. It is 0 if there are none.
	MeanRun clock.Millis
	// MaxStall is the longest stall. Shorter ones are as likely.
	MaxStall clock.Millis
}

// process is the process of a VM or an upstream, which may stall.
type process struct {
	sim         *Simulation
	from, until clock.Millis // next stall, or the current one
}

func (sim *Simulation) newProcess() *process {
	p := &process{sim: sim, from: math.MaxInt64, until: math.MaxInt64}
	if sim.setup.Stalls.MeanRun > 0 {
		p.until = sim.Now
		p.advance()
	}
	return p
}

// advance draws the next stall until it is not over.
func (p *process) advance() {
	s := p.sim.setup.Stalls
	for p.until <= p.sim.Now {
		p.from = p.until + clock.Millis(p.sim.rng.ExpFloat64()*float64(s.MeanRun))
		p.until = p.from + 1 + clock.Millis(p.sim.rng.Int64N(int64(s.MaxStall)))
	}
}

// run runs do now, or after the current stall.
func (p *process) run(do func()) {
	if p.until <= p.sim.Now {
		p.advance()
	}
	if p.sim.Now < p.from {
		do()
		return
	}
	p.sim.At(p.until, func() { p.run(do) })
}
