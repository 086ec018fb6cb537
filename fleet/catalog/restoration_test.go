package catalog

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// TestReturnLearnedWithoutAValue guards against a VM that learns the return of a failure
// domain from the history of the publisher, whose tombstones have no value, and ignores it.
func TestReturnLearnedWithoutAValue(t *testing.T) {
	for _, order := range []string{"tombstone first", "entry first"} {
		items := []replica.Item{removedItem(5, "out/a", ""), item(1, "config", "1"), item(2, "u", "web a"), item(3, "v", "web b")}
		if order == "entry first" {
			items = append(items[1:], items[0])
		}
		r, b := replica.New(), NewBuilder(decodeWords, func(replica.Item, error) {}, 1000)
		b.Merge(5000, r, replica.Update{Full: true, Complete: 5, Items: items}, nil, false)
		list := b.Build(5).Serving("web")
		assert.Equal(t, list[0].ColdUntil, clock.Millis(6000), order)
		assert.Equal(t, list[1].ColdUntil, clock.Millis(0), order)
	}
}

// TestUnknownTombstonesAreIgnored checks that tombstones of which neither the key nor the
// value tells anything do no harm.
func TestUnknownTombstonesAreIgnored(t *testing.T) {
	c := build(t, 1000, item(1, "config", "1"), item(2, "u", "web a"), removedItem(3, "v", ""), removedItem(4, "config2", ""))
	assert.Equal(t, len(c.Serving("web")), 1)
	assert.Equal(t, c.Serving("web")[0].ColdUntil, clock.Millis(0))
}

// TestAssumedReturns guards against upstreams that count as warm on a VM that could not learn
// which failure domains returned to service before its start.
func TestAssumedReturns(t *testing.T) {
	const returnCold, slowStart = 2000, 10_000
	tests := []struct {
		name          string
		outage, known clock.Millis // the publisher is silent until then, and the returns are known from then on
		coldUntil     clock.Millis
	}{
		{"never known", 0, 0, returnCold},
		{"known later", 0, 400, 400},
		{"the publisher is silent", 3000, 0, 3000 + returnCold},
		{"silent until the slow start is over", 30_000, 0, slowStart},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBuilder(decodeWords, func(replica.Item, error) {}, returnCold)
			b.Apply(0, []replica.Item{item(1, "config", "1"), item(2, "u", "web a"), item(3, "v", "web b cold=500")}, false)
			b.config.Services = []Service{{Name: "web", SlowStartMillis: slowStart}}
			b.AssumeReturns(0)
			warmAt := clock.Millis(-1)
			for now := clock.Millis(0); now < 15_000; now += 50 {
				if confirmed := now; now >= test.outage {
					b.ConfirmRestored(now, confirmed)
				} else {
					b.ConfirmRestored(now, 0)
				}
				if test.known > 0 && now == test.known {
					assert.Assert(t, b.KnowReturns())
				}
				u := b.Build(5).Serving("web")[0]
				if now >= u.ColdUntil && warmAt < 0 {
					warmAt = now
				}
				assert.Equal(t, b.ReturnsAssumed(now), warmAt < 0 || test.outage > slowStart, "at %d", now)
			}
			assert.Equal(t, warmAt, test.coldUntil)
		})
	}
}

// TestGapBehindAPause guards against cold upstreams that count as warm on a VM that was paused
// while the publisher did not answer: when it runs again its copy is confirmed at once.
func TestGapBehindAPause(t *testing.T) {
	const returnCold, slowStart = 2000, 10_000
	for _, test := range []struct{ pause, coldUntil clock.Millis }{{900, 3000}, {1100, 2600 + returnCold}, {2500, 4000 + returnCold}} {
		b := NewBuilder(decodeWords, func(replica.Item, error) {}, returnCold)
		b.Apply(1000, []replica.Item{item(1, "config", "1"), item(2, "u", "web a"), removedItem(3, "out/a", "")}, false)
		b.config.Services = []Service{{Name: "web", SlowStartMillis: slowStart}}
		b.ConfirmRestored(1500, 1500)
		woken := 1500 + test.pause
		b.ConfirmRestored(woken, woken)
		assert.Equal(t, b.Build(3).Serving("web")[0].ColdUntil, test.coldUntil, "pause of %d ms", test.pause)
		for now := woken; now < woken+5000; now += 50 {
			b.ConfirmRestored(now, now)
		}
		assert.Equal(t, b.Build(3).Serving("web")[0].ColdUntil, test.coldUntil, "later")
	}
}
