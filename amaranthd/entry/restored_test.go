package entry

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// TestOutageExtendsRestoredCold guards against a replicator that does not tell the
// builder how old its copy is: a failure domain returns to service, and the source does
// not answer from then on.
func TestOutageExtendsRestoredCold(t *testing.T) {
	const heartbeat, slowStart = 1000, 10_000
	now := clock.Millis(100_000)
	clk := clock.Clock{Now: func() clock.Millis { return now }}
	var c *catalog.Catalog
	a := &Adapter{Decode: func(item replica.Item) (ch catalog.Change, err error) {
		switch item.Key {
		case "config":
			ch.Config = &catalog.Config{Version: 1, Services: []catalog.Service{{Name: "web", SlowStartMillis: slowStart}}}
		case "upstream":
			ch.Upstream = &catalog.Upstream{ID: "u", Service: "web", Domain: "a"}
		default:
			ch.DomainOut = "a"
		}
		return ch, nil
	}}
	r := newReplicator(a, clk, newPauseDetector(clk, time.Now), slog.New(slog.DiscardHandler), heartbeat, func(next *catalog.Catalog) { c = next })
	r.apply(replica.Update{Full: true, Complete: 3, Items: []replica.Item{
		{Key: "config", Value: []byte("1"), Revision: 1, Created: 1},
		{Key: "upstream", Value: []byte("u"), Revision: 2, Created: 2},
		{Key: "out/a", Value: []byte("a"), Revision: 3, Created: 3},
	}}, fromRead)
	r.confirm(now)
	r.apply(replica.Update{After: 3, Complete: 4, Items: []replica.Item{{Key: "out/a", Revision: 4, Removed: true}}}, fromWatch)
	back := now
	r.confirm(back)
	r.confirmRestored()
	coldUntil := func() clock.Millis {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.buildScheduled {
			r.build()
		}
		return c.Serving("web")[0].ColdUntil
	}
	assert.Equal(t, coldUntil(), back+2*heartbeat)
	now += heartbeat + 100
	r.confirmRestored()
	assert.Equal(t, coldUntil(), back+slowStart)
	now += 3000
	r.confirm(now)
	r.confirmRestored()
	assert.Equal(t, coldUntil(), now+2*heartbeat)
}
