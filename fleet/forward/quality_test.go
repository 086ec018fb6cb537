package forward

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/quality"
)

// TestPlacementByQuality guards against flows to an upstream that is slow or fails fast,
// samples that outlive a restart, and decisions that change between equal upstreams.
func TestPlacementByQuality(t *testing.T) {
	slow := quality.Sample{Answers: 4000, LogSum: 6000}
	for name, tt := range map[string]struct {
		answer        quality.Answer // each one of the first upstream
		peers         quality.Sample // what other VMs report of it
		restart, same bool           // whether it restarts, and whether decisions are as without quality
	}{
		"equal":         {peers: quality.Sample{Answers: 4000, LogSum: 100}, same: true},
		"slow":          {answer: quality.Answer{LogSlowness: 1.4}},
		"slow to peers": {peers: slow},
		"fails fast":    {answer: quality.Answer{Rejected: true}},
		"restarted":     {answer: quality.Answer{LogSlowness: 1.4}, peers: slow, restart: true, same: true},
	} {
		t.Run(name, func(t *testing.T) {
			place := func(ignore bool) (tokens []catalog.Token, first catalog.Token) {
				e := New("vm", "a", WithPolicy(Policy{IgnoreQuality: ignore}))
				ups := []catalog.Upstream{upstream(1, "web", "a"), upstream(2, "web", "a"), upstream(3, "web", "a")}
				e.SetCatalog(published(1, 0, ups...))
				first = e.view.Load().targets[0].entry.Token
				for i := range 120 {
					now, a := 1000+10*clock.Millis(i), quality.Answer{}
					if i%3 == 0 {
						a = tt.answer
					}
					e.view.Load().targets[i%3].load.quality.record(now, a)
					e.Tick(now)
				}
				if ups[0].StartedAt = 2000; tt.restart {
					e.SetCatalog(published(1, 0, ups...))
				}
				e.SetPeerSamples(map[catalog.Token]quality.Sample{first: tt.peers})
				e.Tick(2300)
				for i := range 60 {
					tokens = append(tokens, e.Handle(2300, opening(1000+i, webAddress)).Token)
				}
				return tokens, first
			}
			with, first := place(false)
			without, _ := place(true)
			assert.Assert(t, !tt.same || slices.Equal(with, without))
			assert.Equal(t, slices.Contains(with, first), tt.same)
		})
	}
}
