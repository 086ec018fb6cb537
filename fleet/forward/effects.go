package forward

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// effects are the steps of a placement that use something up.
type effects struct {
	// takeProbe and takeDomainProbe report whether a probing flow is due, and schedule
	// the next one.
	takeProbe       func(h *health, now clock.Millis) bool
	takeDomainProbe func(d *domainHealth, now clock.Millis) bool
	// admitCold reports whether a cold upstream may get one more flow, and counts it.
	admitCold func(l *upstreamLoad, now clock.Millis, rate float64, placers int) bool
}

var (
	applied = effects{
		takeProbe: (*health).takeProbe, takeDomainProbe: (*domainHealth).takeProbe, admitCold: (*upstreamLoad).admitCold,
	}
	// simulated decides in the same way as applied, but changes nothing.
	simulated = effects{
		takeProbe: (*health).probeDue, takeDomainProbe: (*domainHealth).probeDue, admitCold: (*upstreamLoad).wouldAdmitCold,
	}
)
