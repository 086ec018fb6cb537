package claim

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

// WitnessCount is the number of witnesses of a key, if there are as many VMs.
const WitnessCount = 3

const keptRosters = 16

// roster is a list of VMs that was valid from a time on.
type roster struct {
	since clock.Millis
	vms   []homes.VM
}

// WitnessSelector chooses the witnesses of keys and remembers how the choice changed.
// It is not safe for concurrent use.
type WitnessSelector struct {
	list []roster // newest first
}

// NewWitnessSelector returns the roster of a VM that starts at now and knows no others.
func NewWitnessSelector(now clock.Millis) *WitnessSelector {
	return &WitnessSelector{list: []roster{{since: now}}}
}

// SetVMs records that the platform lists vms from now on.
func (r *WitnessSelector) SetVMs(now clock.Millis, vms []homes.VM) {
	vms = slices.Clone(vms)
	slices.SortFunc(vms, func(a, b homes.VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if slices.Equal(vms, r.list[0].vms) {
		return
	}
	if len(r.list[0].vms) == 0 {
		r.list[0].vms = vms
		return
	}
	r.list = append([]roster{{since: now, vms: vms}}, r.list...)
	if len(r.list) > keptRosters {
		r.list = r.list[:keptRosters]
	}
}

// Current returns the list in force and since when it has been. The caller must
// not change it.
func (r *WitnessSelector) Current() (since clock.Millis, vms []homes.VM) {
	return r.list[0].since, r.list[0].vms
}

// Backdate records that the list in force has been since an earlier time.
func (r *WitnessSelector) Backdate(since clock.Millis) { r.list[0].since = min(r.list[0].since, since) }

// Witnesses returns the witnesses of a key of a service in the order in which
// they are asked. domains are the failure domains of the service's upstreams;
// VMs elsewhere are witnesses only if those have none.
func (r *WitnessSelector) Witnesses(k Key, vni config.VNI, domains []config.DomainName) []config.VMID {
	return witnesses(r.list[0].vms, k, vni, domains)
}

func witnesses(vms []homes.VM, k Key, vni config.VNI, domains []config.DomainName) (list []config.VMID) {
	name := string(k[:]) + string(rune(vni))
	var near []homes.VM
	for _, vm := range vms {
		if slices.Contains(domains, vm.Domain) {
			near = append(near, vm)
		}
	}
	if len(near) == 0 {
		near = vms
	}
	taken := make(map[config.DomainName]bool)
	var spare []config.VMID
	for _, id := range homes.Designated(name, names(near), len(near)) {
		d := domainOf(near, id)
		if taken[d] {
			spare = append(spare, id)
			continue
		}
		taken[d] = true
		list = append(list, id)
	}
	list = append(list, spare...)
	return list[:min(WitnessCount, len(list))]
}

func names(vms []homes.VM) (ids []config.VMID) {
	for _, vm := range vms {
		ids = append(ids, vm.ID)
	}
	return ids
}

func domainOf(vms []homes.VM, id config.VMID) config.DomainName {
	for _, vm := range vms {
		if vm.ID == id {
			return vm.Domain
		}
	}
	return ""
}

// Majority returns how many of n witnesses must grant a key.
func Majority(n int) int { return n/2 + 1 }

// WitnessSince returns since when self has been a witness of the key without
// a break, and false if it is none now.
func (r *WitnessSelector) WitnessSince(self config.VMID, k Key, vni config.VNI, domains []config.DomainName) (since clock.Millis, ok bool) {
	for _, ro := range r.list {
		if !slices.Contains(witnesses(ro.vms, k, vni, domains), self) {
			break
		}
		since, ok = ro.since, true
	}
	return since, ok
}
