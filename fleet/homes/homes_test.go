package homes

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

func vms(n int) (list []config.VMID) {
	for i := range n {
		list = append(list, config.VMID(fmt.Sprintf("vm-%d", i)))
	}
	return list
}

func TestRing(t *testing.T) {
	tests := []struct{ vms, ranks int }{{0, 0}, {1, 1}, {2, 2}, {9, 3}, {470, 3}}
	for _, test := range tests {
		r := Build(vms(test.vms))
		count := make(map[config.VMID]int)
		for b := range Buckets {
			seen := make(map[config.VMID]bool)
			for n := range Ranks {
				if vm := r.At(b, n); vm != "" {
					seen[vm] = true
				}
			}
			assert.Equal(t, len(seen), test.ranks)
			count[r.At(b, 0)]++
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
	v := NewView(0, all).Advance(10, all[:8])
	before := Build(all)
	for b := range Buckets {
		id := flow.ID{Hi: uint64(b) << 32}
		assert.Equal(t, BucketOf(id), b)
		if before.At(b, 0) != "vm-8" {
			assert.Equal(t, v.Home(id), before.At(b, 0))
			assert.Equal(t, v.ChangedAt(id), v.changed[b])
			continue
		}
		assert.Equal(t, v.Home(id), before.At(b, 1))
		assert.Equal(t, v.Past(id)[0], config.VMID("vm-8"))
		assert.Equal(t, int(v.ChangedAt(id)), 10)
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, n := range []int{9, 81, 470} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := vms(n)
			for b.Loop() {
				Build(list)
			}
		})
	}
}

func TestIsDesignated(t *testing.T) {
	all := vms(20)
	for key := range 50 {
		chosen := make(map[config.VMID]bool)
		for _, vm := range Designated(fmt.Sprint(key), all, 3) {
			chosen[vm] = true
		}
		assert.Equal(t, len(chosen), 3)
		for _, vm := range all {
			assert.Equal(t, IsDesignated(fmt.Sprint(key), all, 3, vm), chosen[vm])
		}
		assert.Assert(t, !IsDesignated(fmt.Sprint(key), all, 30, "stranger"))
	}
}
