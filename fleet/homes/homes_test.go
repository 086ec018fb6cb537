package homes

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

func vms(n int) (list []VM) {
	for i := range n {
		list = append(list, VM{ID: config.VMID(fmt.Sprintf("vm-%d", i)), Domain: config.DomainName(fmt.Sprint(i % 3))})
	}
	return list
}

func ids(list []VM) (names []config.VMID) {
	for _, vm := range list {
		names = append(names, vm.ID)
	}
	return names
}

// TestCopiesSurviveLoss checks that a VM with copies becomes home, whichever
// VM or set of failure domains is lost.
func TestCopiesSurviveLoss(t *testing.T) {
	all := vms(12)
	before := NewRanking(all)
	for lost := range 7 { // a set of failure domains, or none
		var rest []VM
		for _, vm := range all {
			if d := vm.Domain[0] - '0'; lost&(1<<d) == 0 && (lost != 0 || vm.ID != "vm-5") {
				rest = append(rest, vm)
			}
		}
		after := NewRanking(rest)
		for b := range Buckets {
			home := after.VMAt(b, 0)
			found := home == before.VMAt(b, 0)
			for n := range MaxCopies {
				found = found || home == before.CopyVMAt(b, n)
			}
			assert.Assert(t, found, "bucket %d after the loss of %b", b, lost)
		}
	}
}

func TestRing(t *testing.T) {
	tests := []struct{ vms, ranks int }{{0, 0}, {1, 1}, {2, 2}, {9, 3}, {470, 3}}
	for _, test := range tests {
		r := NewRanking(vms(test.vms))
		count := make(map[config.VMID]int)
		for b := range Buckets {
			seen := make(map[config.VMID]bool)
			for n := range Ranks {
				if vm := r.VMAt(b, n); vm != "" {
					seen[vm] = true
				}
			}
			assert.Equal(t, len(seen), test.ranks)
			count[r.VMAt(b, 0)]++
		}
		if test.vms == 9 {
			for vm, n := range count {
				assert.Assert(t, n > 380 && n < 530, "%s is home of %d buckets", vm, n)
			}
		}
	}
}

func TestSecondBecomesHome(t *testing.T) {
	all := vms(9)
	v := NewView(0, all).WithVMs(10, all[:8])
	before := NewRanking(all)
	for b := range Buckets {
		id := flow.ID{Hi: uint64(b) << 32}
		assert.Equal(t, BucketOf(id), b)
		if before.VMAt(b, 0) != "vm-8" {
			assert.Equal(t, v.Home(id), before.VMAt(b, 0))
			assert.Equal(t, v.ChangedAt(id), v.changed[b])
			continue
		}
		assert.Equal(t, v.Home(id), before.VMAt(b, 1))
		assert.Equal(t, v.PastHomes(id)[0], config.VMID("vm-8"))
		assert.Equal(t, int(v.ChangedAt(id)), 10)
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, n := range []int{9, 81, 470} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := vms(n)
			for b.Loop() {
				NewRanking(list)
			}
		})
	}
}

func TestIsDesignated(t *testing.T) {
	all := vms(20)
	for key := range 50 {
		chosen := make(map[config.VMID]bool)
		for _, vm := range Designated(fmt.Sprint(key), ids(all), 3) {
			chosen[vm] = true
		}
		assert.Equal(t, len(chosen), 3)
		for _, vm := range ids(all) {
			assert.Equal(t, IsDesignated(fmt.Sprint(key), ids(all), 3, vm), chosen[vm])
		}
		assert.Assert(t, !IsDesignated(fmt.Sprint(key), ids(all), 30, "stranger"))
	}
}
