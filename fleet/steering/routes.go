package steering

import (
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/lookup"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// service is the compiled configuration of a service for the packet path. It is
// immutable except for the state inside its upstreams.
type service struct {
	vni     config.VNI
	name    config.ServiceName
	address netip.Addr
	history *lookup.History
	byID    map[config.UpstreamID]*Upstream
	// members are the upstreams of the current table.
	members []*Upstream
	// removed marks a service that is no longer in the configuration and only
	// serves its open flows.
	removed bool
	warmUp  config.WarmUp
}

// routes is the compiled configuration. It is immutable except for the state
// inside its upstreams.
type routes struct {
	version  config.Version
	services map[config.VNI]*service
	byID     map[config.UpstreamID]*Upstream
}

// compileRoutes derives the routes from f. It keeps the Upstreams and table
// histories of old, and the services and upstreams that were removed from the
// configuration but may have open flows. Flows of services that carry only
// requests go to gateways. The argument first marks the first configuration of a
// process, which starts no warm-up.
func compileRoutes(now clock.Millis, old *routes, f *config.File, gateways []config.Upstream, first bool) *routes {
	next := &routes{
		version:  f.Version,
		services: make(map[config.VNI]*service, len(f.Services)),
		byID:     make(map[config.UpstreamID]*Upstream),
	}
	for i := range f.Services {
		s := &f.Services[i]
		next.services[s.VNI] = compileService(now, old, f, s, gateways, first)
	}
	used := addressUsers(f)
	for vni, was := range old.services {
		retainRemoved(now, next, vni, was, used)
	}
	for _, s := range next.services {
		for id, u := range s.byID {
			next.byID[id] = u
		}
	}
	return next
}

func compileService(now clock.Millis, old *routes, f *config.File, s *config.Service, gateways []config.Upstream, first bool) *service {
	next := &service{
		vni: s.VNI, name: s.Name, address: s.Address, warmUp: s.WarmUp,
		byID: make(map[config.UpstreamID]*Upstream, len(s.Upstreams)),
	}
	was := old.services[s.VNI]
	if was != nil && was.name != s.Name {
		was = nil
	}
	for i := range s.Upstreams {
		next.add(now, was, f, s, &s.Upstreams[i], first)
	}
	published := len(s.Upstreams)
	if !s.HasKind(config.KindFlow) {
		next.members = nil
		for i := range gateways {
			next.add(now, was, f, s, &gateways[i], true)
		}
		published = len(gateways)
	}
	picks := make([]config.UpstreamID, len(next.members))
	for i, u := range next.members {
		picks[i] = u.ID
	}
	table := lookup.Build(lookup.SizeFor(published), picks)
	if was == nil {
		next.history = lookup.NewHistory(table)
	} else {
		next.history = was.history.WithTable(now, table)
	}
	return next
}

// add adds an upstream to s, also as a member if it takes new flows. A new member
// starts its warm-up unless first is set.
func (s *service) add(now clock.Millis, was *service, f *config.File, sv *config.Service, conf *config.Upstream, first bool) {
	u := upstreamRecord(was, sv, conf)
	s.byID[u.ID] = u
	before := u.State()
	known := was != nil && was.byID[u.ID] != nil
	u.state.Store(uint32(stateOf(f, conf)))
	u.connectionLimit.Store(int64(conf.Connections))
	if u.State() != Active {
		return
	}
	s.members = append(s.members, u)
	if !first && (!known || before != Active) {
		u.startRamp(now, sv.WarmUp)
	}
}

func upstreamRecord(was *service, s *config.Service, conf *config.Upstream) *Upstream {
	id := s.ID(conf)
	if was != nil {
		if u := was.byID[id]; u != nil {
			return u
		}
	}
	addr, _ := netip.ParseAddrPort(conf.Address)
	u := &Upstream{ID: id, VNI: s.VNI, Name: conf.Name, Domain: conf.Domain, Addr: addr}
	u.ramp = warmup.Ramp{}
	u.state.Store(uint32(Draining))
	return u
}

func stateOf(f *config.File, u *config.Upstream) UpstreamState {
	switch {
	case f.DomainState(u.Domain) == config.DomainOut:
		return Out
	case u.State == config.UpstreamDrain:
		return Draining
	}
	return Active
}

// addressUsers maps each tunnel address of f to the upstreams that use it.
func addressUsers(f *config.File) map[string]map[config.UpstreamID]bool {
	used := make(map[string]map[config.UpstreamID]bool)
	for i := range f.Services {
		s := &f.Services[i]
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			if used[u.Address] == nil {
				used[u.Address] = make(map[config.UpstreamID]bool)
			}
			used[u.Address][s.ID(u)] = true
		}
	}
	return used
}

// retainRemoved keeps upstreams and services that were removed from the
// configuration, since they may have open flows. An upstream in state Out stays
// so. One whose address or VNI was reassigned changes to AddressReassigned and is
// dropped once this VM has no flows on it.
func retainRemoved(now clock.Millis, next *routes, vni config.VNI, was *service, used map[string]map[config.UpstreamID]bool) {
	s := next.services[vni]
	if s == nil {
		s = &service{
			vni: vni, name: was.name, address: was.address, removed: true,
			byID:    make(map[config.UpstreamID]*Upstream),
			history: was.history.WithTable(now, lookup.Build(lookup.SizeFor(1), nil)),
		}
		next.services[vni] = s
	}
	for id, u := range was.byID {
		if s.byID[id] != nil {
			continue
		}
		if s.name != was.name || used[u.Addr.String()] != nil {
			u.state.Store(uint32(AddressReassigned))
		} else if u.State() == Active {
			u.state.Store(uint32(Draining))
		}
		if u.State() != AddressReassigned || u.LocalFlows() > 0 {
			s.byID[id] = u
		}
	}
}
