package configfile

import (
	"fmt"
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// validator checks the rules that the JSON Schema cannot express. Its maps hold
// the path of each name, address and identifier that has occurred so far.
type validator struct {
	f        *config.File
	fields   *fieldIndex
	problems Problems

	domains   map[config.DomainName]string
	services  map[config.ServiceName]string
	vnis      map[config.VNI]string
	addresses map[netip.Addr]string
	endpoints map[netip.AddrPort]string
	ids       map[config.UpstreamID]string
}

func validate(f *config.File, fields *fieldIndex) Problems {
	v := &validator{
		f:         f,
		fields:    fields,
		domains:   make(map[config.DomainName]string),
		services:  make(map[config.ServiceName]string),
		vnis:      make(map[config.VNI]string),
		addresses: make(map[netip.Addr]string),
		endpoints: make(map[netip.AddrPort]string),
		ids:       make(map[config.UpstreamID]string),
	}
	for i := range f.Domains {
		v.domain(fmt.Sprintf("$.domains[%d]", i), &f.Domains[i])
	}
	used := make(map[config.DomainName]bool)
	for i := range f.Services {
		v.service(fmt.Sprintf("$.services[%d]", i), &f.Services[i])
		for _, u := range f.Services[i].Upstreams {
			used[u.Domain] = true
		}
	}
	for i := range f.Domains {
		if !used[f.Domains[i].Name] && len(f.Services) > 0 {
			v.add(fmt.Sprintf("$.domains[%d].name", i), "no upstream is in failure domain %q", f.Domains[i].Name)
		}
	}
	return v.problems
}

func (v *validator) add(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (v *validator) domain(path string, d *config.Domain) {
	if first, dup := v.domains[d.Name]; dup {
		v.add(path+".name", "failure domain %q is already defined at %s", d.Name, v.fields.describe(first))
		return
	}
	v.domains[d.Name] = path
}

func (v *validator) service(path string, s *config.Service) {
	if first, dup := v.services[s.Name]; dup {
		v.add(path+".name", "service %q is already defined at %s", s.Name, v.fields.describe(first))
	}
	v.services[s.Name] = path
	if first, dup := v.vnis[s.VNI]; dup {
		v.add(path+".vni", "VNI %d is already used at %s", s.VNI, v.fields.describe(first))
	}
	v.vnis[s.VNI] = path
	if !s.Address.IsValid() {
		v.add(path+".address", "address is missing")
	} else if first, dup := v.addresses[s.Address]; dup {
		v.add(path+".address", "address %s is already used at %s", s.Address, v.fields.describe(first))
	}
	v.addresses[s.Address] = path
	v.warmUp(path+".warmUp", s.WarmUp)
	v.request(path, s)
	names := make(map[config.UpstreamName]string)
	for i := range s.Upstreams {
		v.upstream(fmt.Sprintf("%s.upstreams[%d]", path, i), s, &s.Upstreams[i], names)
	}
}

func (v *validator) warmUp(path string, w config.WarmUp) {
	if w.FullPerSecond < w.InitialPerSecond {
		v.add(path+".fullPerSecond", "full rate %g is below the initial rate %g", w.FullPerSecond, w.InitialPerSecond)
	}
}

func (v *validator) request(path string, s *config.Service) {
	if s.HasKind(config.KindRequest) && s.Request == nil {
		v.add(path+".request", "a service of kind request needs this field")
	}
	if !s.HasKind(config.KindRequest) && s.Request != nil {
		v.add(path+".request", "the service is not of kind request")
	}
	if s.Request == nil {
		return
	}
	for i, o := range s.Request.Owners {
		for j, other := range s.Request.Owners[:i] {
			if o.Prefix.Overlaps(other.Prefix) && o.Prefix.Bits() == other.Prefix.Bits() {
				v.add(fmt.Sprintf("%s.request.owners[%d].prefix", path, i), "prefix %s is already used at owners[%d]", o.Prefix, j)
			}
		}
	}
}

func (v *validator) upstream(path string, s *config.Service, u *config.Upstream, names map[config.UpstreamName]string) {
	if first, dup := names[u.Name]; dup {
		v.add(path+".name", "upstream %q is already defined at %s", u.Name, v.fields.describe(first))
	}
	names[u.Name] = path
	if _, known := v.domains[u.Domain]; !known {
		v.add(path+".domain", "failure domain %q does not exist", u.Domain)
	}
	v.endpoint(path+".address", u.Address)
	if s.HasKind(config.KindRequest) {
		if u.HTTPAddress == "" {
			v.add(path+".httpAddress", "an upstream of a request service needs this field")
		} else {
			v.endpoint(path+".httpAddress", u.HTTPAddress)
		}
		if u.Slots == 0 {
			v.add(path+".slots", "an upstream of a request service needs at least one slot")
		}
	}
	id := s.ID(u)
	if first, dup := v.ids[id]; dup && names[u.Name] == path {
		v.add(path+".name", "identifier collides with %s, choose another name", v.fields.describe(first))
	}
	v.ids[id] = path
}

// endpoint checks the address of an upstream. Only one upstream of one service
// may use an address, because a request that reaches it does not name a service.
func (v *validator) endpoint(path, address string) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		v.add(path, "%q is not an IP address and port", address)
		return
	}
	if ap.Port() == 0 {
		v.add(path, "port of %q is zero", address)
	}
	if first, dup := v.endpoints[ap]; dup {
		v.add(path, "address %s is already used at %s", ap, v.fields.describe(first))
		return
	}
	v.endpoints[ap] = path
}
