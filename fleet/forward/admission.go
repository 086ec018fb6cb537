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

const (
	// admissionReportInterval is the shortest interval between two reports of changed
	// shares of a service.
	admissionReportInterval = 1 * clock.Second
	// roomQuiet is the time since the latest rejection seen from an upstream after
	// which the upstream may have room.
	roomQuiet clock.Millis = 200
)

// AdmissionChange is a change of the share of new flows that is admitted.
type AdmissionChange struct {
	Service  ident.ServiceName
	Priority catalog.Priority
	// Share is the admitted share of the openings of the priority, and Pressure the
	// share of rejections among the recent answers of the service.
	Share, Pressure float64
}

// AdmittedShare is the share of the new flows of a priority that is admitted to a
// service.
type AdmittedShare struct {
	Service  ident.ServiceName
	Priority catalog.Priority
	Share    float64
}

// serviceAdmission is the admission of new flows to a service.
type serviceAdmission struct {
	priorities []catalog.Priority // of its routes, ascending
	// controller and report are nil if the routes have one priority.
	controller *admission.Controller
	report     *admissionReport
}

// admissionReport is what was last reported of a service. Only Tick uses it.
type admissionReport struct {
	shares map[catalog.Priority]float64
	at     clock.Millis
}

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

// recordAdmission records whether the upstream of f rejected a request.
func (e *Engine) recordAdmission(now clock.Millis, f *flow, rejected bool) {
	if rejected {
		f.target.load.rejectedAt.Store(int64(now))
	}
	a := e.view.Load().admission[f.target.entry.Service]
	if priority, known := f.route.priority(); known && a != nil && a.controller != nil {
		a.controller.Record(now, priority, rejected)
	}
}

// admit decides whether a new flow is placed. It returns NoReason if so, and otherwise
// the reason to drop or to refuse the opening packet.
func (e *Engine) admit(now clock.Millis, v *view, route *catalog.Route, p *Packet, k flowKey) Reason {
	hash := k.hash()
	service := pickService(route, hash)
	a := v.admission[service]
	if a == nil || a.controller == nil {
		return NoReason
	}
	stat := e.routes.get(p.Destination)
	stat.setPriority(route.Priority)
	long := !stat.short()
	verdict := a.controller.Decide(now, admission.Request{
		Priority: route.Priority, Long: long, Retransmits: p.Retransmits,
		// A caller that opens another flow from the same port is judged anew.
		Flow: hash ^ uint64(p.Seq)*0x9e3779b97f4a7c15,
	})
	switch {
	case verdict == admission.Place || e.hasRoom(now, v.serving[service], hash, long):
		return NoReason
	case verdict == admission.Wait:
		return AwaitRoom
	}
	return NoRoom
}

// hasRoom reports whether the upstream of least cost has no request of this VM in
// flight and has not rejected one of late.
func (e *Engine) hasRoom(now clock.Millis, list []*target, hash uint64, long bool) bool {
	var best *target
	bestCost := math.Inf(1)
	for i, t := range list {
		if !t.entry.AcceptsNewFlows(now) || now < t.entry.ColdUntil || !isAnswering(t) || t.domain.avoided() {
			continue
		}
		if cost := e.cost(t, long) + tieBreak(hash, i); cost < bestCost {
			best, bestCost = t, cost
		}
	}
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
