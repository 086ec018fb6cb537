package forward

import (
	"maps"
	"math"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/admission"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// roomQuiet is the time since the latest rejection seen from an upstream after which the
// upstream may have room.
const roomQuiet clock.Millis = 200

// WithAdmission sets the options of the admission controllers.
func WithAdmission(opts ...admission.Option) Option {
	return func(e *Engine) { e.admissionOptions = opts }
}

// admissions returns the admission of each service with a route in c. Controllers of
// before are kept.
func (e *Engine) admissions(c *catalog.Catalog, before *view) map[ident.ServiceName]*serviceAdmission {
	list := make(map[ident.ServiceName]*serviceAdmission)
	for _, r := range c.Config.Routes {
		for _, t := range r.Targets {
			a := list[t.Service]
			if a == nil {
				a = &serviceAdmission{}
				list[t.Service] = a
			}
			if i, found := slices.BinarySearch(a.priorities, r.Priority); !found {
				a.priorities = slices.Insert(a.priorities, i, r.Priority)
			}
		}
	}
	for service, a := range list {
		if len(a.priorities) < 2 {
			continue
		}
		if before != nil && before.admission[service] != nil {
			a.controller, a.report = before.admission[service].controller, before.admission[service].report
		}
		if a.controller == nil {
			a.controller = admission.New(e.admissionOptions...)
			a.report = &admissionReport{shares: make(map[catalog.Priority]float64)}
		}
	}
	return list
}

// admissionController returns the controller of a service, or nil if it admits all flows.
func (v *view) admissionController(service ident.ServiceName) *admission.Controller {
	if a := v.admission[service]; a != nil {
		return a.controller
	}
	return nil
}

// recordAdmission records whether the upstream of f rejected a request.
func (e *Engine) recordAdmission(now clock.Millis, f *flow, rejected bool) {
	if rejected {
		f.target.load.rejectedAt.Store(int64(now))
	}
	c := e.view.Load().admissionController(f.target.entry.Service)
	if priority, known := f.route.priority(); known && c != nil {
		c.Record(now, priority, rejected)
	}
}

// admit decides whether a new flow is placed. It returns NoReason if so, and otherwise
// the reason to drop or to refuse the opening packet.
func (e *Engine) admit(now clock.Millis, v *view, route *catalog.Route, stat *routeStat, p *Packet, pl *placement) Reason {
	c := v.admissionController(pl.service)
	if c == nil {
		return NoReason
	}
	stat.setPriority(route.Priority)
	verdict := c.Decide(now, admissionRequest(route, p, pl))
	if verdict == admission.Place {
		return NoReason
	}
	return heldBackReason(verdict, e.hasRoom(now, pl))
}

func admissionRequest(route *catalog.Route, p *Packet, pl *placement) admission.Request {
	return admission.Request{
		Priority: route.Priority, Long: pl.long, Retransmits: p.Retransmits,
		// A caller that opens another flow from the same port is judged anew.
		Flow: pl.hash ^ uint64(p.Seq)*0x9e3779b97f4a7c15,
	}
}

// heldBackReason returns the reason not to place a flow that the controller does not
// admit. It returns NoReason if the upstream of least cost has room all the same.
func heldBackReason(verdict admission.Verdict, room bool) Reason {
	switch {
	case room:
		return NoReason
	case verdict == admission.Wait:
		return AwaitRoom
	}
	return NoRoom
}

// hasRoom reports whether the upstream that answers at the least cost has no request of this VM
// in flight and has not rejected one of late.
func (e *Engine) hasRoom(now clock.Millis, pl *placement) bool {
	best := e.ranked(now, pl).usual()
	return best != nil && best.load.inFlight.Load() <= 0 && now-clock.Millis(best.load.rejectedAt.Load()) > roomQuiet
}

// tickAdmission adjusts the admitted shares and reports changes, at most one in a
// second for each service: that of the priority whose share moved furthest.
func (e *Engine) tickAdmission(now clock.Millis, v *view) {
	for service, a := range v.admission {
		if a.controller == nil {
			continue
		}
		a.controller.Tick(now)
		if now-a.report.at < admissionReportInterval {
			continue
		}
		change, moved := AdmissionChange{Service: service}, 0.0
		for _, p := range a.priorities {
			last, known := a.report.shares[p]
			if !known {
				last = 1
			}
			share := a.controller.Share(p)
			if by := math.Abs(share - last); by > moved {
				change.Priority, change.Share, moved = p, share, by
			}
		}
		if moved == 0 {
			continue
		}
		a.report.at, a.report.shares[change.Priority] = now, change.Share
		change.Pressure = a.controller.Pressure(now)
		e.hooks.Admission(change)
	}
}

// AdmittedShares returns the admitted share of each service and priority with a route,
// ordered by both. It is 1 where all routes of a service have the same priority.
func (e *Engine) AdmittedShares() (list []AdmittedShare) {
	v := e.view.Load()
	if v == nil {
		return nil
	}
	for _, service := range slices.Sorted(maps.Keys(v.admission)) {
		a := v.admission[service]
		for _, p := range a.priorities {
			share := 1.0
			if a.controller != nil {
				share = a.controller.Share(p)
			}
			list = append(list, AdmittedShare{Service: service, Priority: p, Share: share})
		}
	}
	return list
}
