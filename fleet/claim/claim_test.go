package claim

import (
	"fmt"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

func keyAt(t clock.Millis) (k Key) {
	k = Key(uuid.New())
	for i := range 6 {
		k[i] = byte(t >> (40 - 8*i))
	}
	k[6] = 0x70 | k[6]&0x0f
	return k
}

func TestParseKey(t *testing.T) {
	k := keyAt(1_700_000_000_123)
	got, err := ParseKey(k.String())
	assert.NilError(t, err)
	assert.Equal(t, got, k)
	assert.Equal(t, got.Time(), clock.Millis(1_700_000_000_123))
	for _, bad := range []string{"", "x", uuid.NewString(), "{" + k.String() + "}"} {
		_, err := ParseKey(bad)
		assert.ErrorContains(t, err, "claim: key")
	}
}

func fleet(n int) (vms []homes.VM, domains []config.DomainName) {
	for i := range n {
		d := config.DomainName(fmt.Sprint(i % 3))
		vms = append(vms, homes.VM{ID: config.VMID(fmt.Sprintf("vm%d", i)), Domain: d})
	}
	return vms, []config.DomainName{"0", "1", "2"}
}

func TestWitnesses(t *testing.T) {
	vms, domains := fleet(9)
	r := NewWitnessSelector(0)
	r.SetVMs(0, vms)
	for range 200 {
		k := keyAt(5)
		list := r.Witnesses(k, 1, domains)
		assert.Equal(t, len(list), WitnessCount)
		seen := make(map[config.DomainName]bool)
		for _, id := range list {
			seen[domainOf(vms, id)] = true
			since, ok := r.WitnessSince(id, k, 1, domains)
			assert.Assert(t, ok && since == 0)
		}
		assert.Equal(t, len(seen), 3)
		near := r.Witnesses(k, 1, domains[:1])
		for _, id := range near {
			assert.Equal(t, domainOf(vms, id), domains[0])
		}
	}
}

func TestNewWitnessAbstains(t *testing.T) {
	vms, domains := fleet(9)
	r := NewWitnessSelector(0)
	r.SetVMs(0, vms[:8])
	r.SetVMs(1000, vms)
	table := NewTable(0)
	old, fresh := keyAt(900), keyAt(1001+ClockSkewMarginMillis)
	for _, k := range []Key{old, fresh} {
		since, ok := r.WitnessSince("vm8", k, 1, domains)
		if !ok {
			continue
		}
		assert.Equal(t, since, clock.Millis(1000))
	}
	assert.Equal(t, table.Claim(2000, 1000, Record{Key: old, Attempt: "a"}).Verdict, Abstained)
	assert.Equal(t, table.Claim(2000, 1000, Record{Key: fresh, Attempt: "a"}).Verdict, Granted)
}

// TestAtMostOneRuns lets attempts claim, run, close, withdraw and repeat in any
// order at witnesses of which some are unreachable or restart without memory.
func TestAtMostOneRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Millis(1_000_000)
		var witnesses [WitnessCount]*Table
		for i := range witnesses {
			witnesses[i] = NewTable(0)
		}
		k := keyAt(now)
		ran, toldNotRun := 0, false
		for n := range rapid.IntRange(1, 12).Draw(t, "attempts") {
			now += 100
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				witnesses[rapid.IntRange(0, 2).Draw(t, "which")] = NewTable(now)
			}
			rec := Record{Key: k, Attempt: AttemptID(fmt.Sprint(n)), Digest: "d"}
			var granted []*Table
			for _, w := range witnesses {
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 && w.Claim(now, 0, rec).Verdict == Granted {
					granted = append(granted, w)
				}
			}
			switch won := len(granted) >= Majority(WitnessCount); {
			case won && rapid.Bool().Draw(t, "runs"):
				ran++
				for _, w := range granted {
					if rapid.Bool().Draw(t, "told") {
						w.Finish(now, k, rec.Attempt)
					}
				}
			case won || rapid.Bool().Draw(t, "closes"):
				closed := 0
				for _, w := range witnesses {
					if rapid.IntRange(0, 3).Draw(t, "lost") > 0 && w.Close(now, 0, rec).Verdict == Granted {
						closed++
					}
				}
				toldNotRun = toldNotRun || closed >= Majority(WitnessCount)
			default:
				for _, w := range granted {
					w.Withdraw(k, rec.Attempt)
				}
			}
			assert.Assert(t, ran <= 1, "the request ran %d times", ran)
			assert.Assert(t, !toldNotRun || ran == 0, "it ran and was said not to have run")
		}
	})
}

func TestOtherBody(t *testing.T) {
	table := NewTable(0)
	k := keyAt(100_000)
	assert.Equal(t, table.Claim(1, 0, Record{Key: k, Attempt: "a", Digest: "x"}).Verdict, Granted)
	assert.Equal(t, table.Claim(1, 0, Record{Key: k, Attempt: "a", Digest: "x"}).Verdict, Granted)
	assert.Equal(t, table.Claim(1, 0, Record{Key: k, Attempt: "b", Digest: "x"}).Verdict, Held)
	assert.Equal(t, table.Claim(1, 0, Record{Key: k, Attempt: "b", Digest: "y"}).Verdict, Mismatch)
}
