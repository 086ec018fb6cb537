package steering

import (
	"cmp"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// UpstreamIDs returns the upstreams of the configuration in ascending order.
func (e *Engine) UpstreamIDs() (ids []config.UpstreamID) {
	for id := range e.routes.Load().byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// LocalFlows returns the number of flows that this VM counts on an upstream.
func (e *Engine) LocalFlows(id config.UpstreamID) int64 {
	u := e.routes.Load().byID[id]
	if u == nil {
		return 0
	}
	return u.LocalFlows()
}

// SetRemoteFlows records how many flows the other VMs together count on an
// upstream.
func (e *Engine) SetRemoteFlows(id config.UpstreamID, n int64) {
	if u := e.routes.Load().byID[id]; u != nil {
		u.setRemote(n)
	}
}

// SetVerdict records what the signals of an upstream say. TurnedCold starts a
// warm-up at now.
func (e *Engine) SetVerdict(now clock.Millis, id config.UpstreamID, v warmup.Verdict) {
	r := e.routes.Load()
	u := r.byID[id]
	if u == nil {
		return
	}
	if v == warmup.Restarted {
		e.SetRamp(id, now)
		v = warmup.Healthy
	}
	u.verdict.Store(uint32(v))
}

// SetRamp records that an upstream began to warm up at start.
func (e *Engine) SetRamp(id config.UpstreamID, start clock.Millis) {
	r := e.routes.Load()
	u := r.byID[id]
	if u == nil {
		return
	}
	if s := r.services[u.VNI]; s != nil {
		u.startRamp(start, s.warmUp)
	}
}

// Ramp returns the warm-up of an upstream.
func (e *Engine) Ramp(id config.UpstreamID) warmup.Ramp {
	if u := e.routes.Load().byID[id]; u != nil {
		return u.Ramp()
	}
	return warmup.Ramp{}
}

// Verdict returns what the signals of an upstream say.
func (e *Engine) Verdict(id config.UpstreamID) warmup.Verdict {
	if u := e.routes.Load().byID[id]; u != nil {
		return warmup.Verdict(u.verdict.Load())
	}
	return warmup.Healthy
}

// RampStart is the begin of an upstream's warm-up.
type RampStart struct {
	_     struct{}          `cbor:",toarray"`
	ID    config.UpstreamID `json:"id"`
	Start clock.Millis      `json:"start"`
}

// Ramps returns the warm-ups that are under way at now.
func (e *Engine) Ramps(now clock.Millis) (list []RampStart) {
	for id, u := range e.routes.Load().byID {
		if r := u.Ramp(); r.Cold(now) {
			list = append(list, RampStart{ID: id, Start: r.Start})
		}
	}
	return list
}

// UpstreamReport is the state of one upstream for operators.
type UpstreamReport struct {
	Service        config.ServiceName  `json:"service"`
	Name           config.UpstreamName `json:"name"`
	Domain         config.DomainName   `json:"domain"`
	State          string              `json:"state"`
	LocalFlows     int64               `json:"localFlows"`
	TotalFlows     int64               `json:"totalFlows"`
	WarmUpProgress float64             `json:"warmth"`
}

// Report returns the state of all upstreams, ordered by service and name.
func (e *Engine) Report(now clock.Millis) (list []UpstreamReport) {
	names := [...]string{"active", "draining", "out", "void"}
	r := e.routes.Load()
	for _, u := range r.byID {
		s := r.services[u.VNI]
		list = append(list, UpstreamReport{
			Service: s.name, Name: u.Name, Domain: u.Domain, State: names[u.State()],
			LocalFlows: u.LocalFlows(), TotalFlows: u.TotalFlows(), WarmUpProgress: u.Ramp().Progress(now),
		})
	}
	slices.SortFunc(list, func(a, b UpstreamReport) int {
		if a.Service != b.Service {
			return cmp.Compare(a.Service, b.Service)
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return list
}
