package claim

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

// WitnessCount is the number of witnesses of a key. A key has fewer if there
// are fewer VMs.
const WitnessCount = 3

// maxListVersions bounds the versions of the list that a WitnessSelector keeps.
const maxListVersions = 16

// vmListVersion is the platform's list of VMs as it was in force from since
// until the next version. The VMs are sorted by ID.
type vmListVersion struct {
	since clock.Millis
	vms   []homes.VM
}

// WitnessSelector chooses the witnesses of keys from the platform's list of VMs
// and keeps its recent versions. It is not safe for concurrent use.
type WitnessSelector struct {
	versions []vmListVersion // newest first
}

// NewWitnessSelector returns a selector with an empty list, for a VM that
// starts at now.
func NewWitnessSelector(now clock.Millis) *WitnessSelector {
	return &WitnessSelector{versions: []vmListVersion{{since: now}}}
}

// SetVMs records that vms is the platform's list from now on. The first list
// counts as in force since the selector was created.
func (s *WitnessSelector) SetVMs(now clock.Millis, vms []homes.VM) {
	vms = slices.Clone(vms)
	slices.SortFunc(vms, func(a, b homes.VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if slices.Equal(vms, s.versions[0].vms) {
		return
	}
	if len(s.versions[0].vms) == 0 {
		s.versions[0].vms = vms
		return
	}
	s.versions = append([]vmListVersion{{since: now, vms: vms}}, s.versions...)
	if len(s.versions) > maxListVersions {
		s.versions = s.versions[:maxListVersions]
	}
}

// Current returns the list in force, sorted by ID, and the time since which it
// has been in force. The caller must not modify the list.
func (s *WitnessSelector) Current() (since clock.Millis, vms []homes.VM) {
	return s.versions[0].since, s.versions[0].vms
}

// Backdate records that the list in force has been so since the given time, if
// that is earlier than the recorded one.
func (s *WitnessSelector) Backdate(since clock.Millis) {
	s.versions[0].since = min(s.versions[0].since, since)
}

// Witnesses returns the witnesses of a key of a service in the order in which
// a gateway asks them. The parameter domains lists the failure domains of the
// service's upstreams. VMs in other failure domains are chosen only if these
// have no VMs.
func (s *WitnessSelector) Witnesses(k Key, vni config.VNI, domains []config.DomainName) []config.VMID {
	return witnesses(s.versions[0].vms, k, vni, domains)
}

// witnesses ranks the eligible VMs by rendezvous hashing. It takes the first VM
// of each failure domain before a second one of any.
func witnesses(vms []homes.VM, k Key, vni config.VNI, domains []config.DomainName) (list []config.VMID) {
	name := string(k[:]) + string(rune(vni))
	var eligible []homes.VM
	for _, vm := range vms {
		if slices.Contains(domains, vm.Domain) {
			eligible = append(eligible, vm)
		}
	}
	if len(eligible) == 0 {
		eligible = vms
	}
	usedDomains := make(map[config.DomainName]bool)
	var spare []config.VMID
	for _, id := range homes.Designated(name, idsOf(eligible), len(eligible)) {
		d := domainOf(eligible, id)
		if usedDomains[d] {
			spare = append(spare, id)
			continue
		}
		usedDomains[d] = true
		list = append(list, id)
	}
	list = append(list, spare...)
	return list[:min(WitnessCount, len(list))]
}

func idsOf(vms []homes.VM) (ids []config.VMID) {
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

// Majority returns the number of n witnesses that must grant a key.
func Majority(n int) int { return n/2 + 1 }

// WitnessSince returns the time since which the VM self has been a witness of
// the key without interruption, as far as the kept versions of the list tell.
// It returns false if self is not a witness now.
func (s *WitnessSelector) WitnessSince(self config.VMID, k Key, vni config.VNI, domains []config.DomainName) (since clock.Millis, ok bool) {
	for _, v := range s.versions {
		if !slices.Contains(witnesses(v.vms, k, vni, domains), self) {
			break
		}
		since, ok = v.since, true
	}
	return since, ok
}
