package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

func body(version int, region string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"domains":[{"name":"a","region":%q,"state":"in"}],"services":[]}`, version, region)
}

func TestOffer(t *testing.T) {
	winner, loser := body(2, "x"), body(2, "y")
	if config.DigestOf(winner) < config.DigestOf(loser) {
		winner, loser = loser, winner
	}
	tests := []struct {
		name   string
		bodies [][]byte
		want   Outcome
		inPlay config.Version
	}{
		{"first", [][]byte{body(1, "x")}, Accepted, 1},
		{"next", [][]byte{body(1, "x"), body(2, "x")}, Accepted, 2},
		{"same again", [][]byte{body(1, "x"), body(1, "x")}, Unchanged, 1},
		{"older", [][]byte{body(5, "x"), body(4, "x")}, Older, 5},
		{"same version, lower digest", [][]byte{winner, loser}, Conflict, 2},
		{"same version, higher digest", [][]byte{loser, winner}, ConflictAccepted, 2},
		{"invalid keeps the last", [][]byte{body(1, "x"), []byte(`{"version":9}`)}, Invalid, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewSelector(0, 1000)
			g.PeersQueried()
			var got Outcome
			for _, b := range test.bodies {
				got, _ = g.Offer(10, b, false)
			}
			assert.Equal(t, got, test.want)
			assert.Equal(t, g.Active().File.Version, test.inPlay)
		})
	}
}

func TestStalePlatformAfterStart(t *testing.T) {
	g := NewSelector(0, 1000)
	got, _ := g.Offer(5, body(3, "x"), false)
	assert.Equal(t, got, Deferred)
	assert.Assert(t, g.Active() == nil)
	got, _ = g.Offer(6, body(8, "x"), true)
	assert.Equal(t, got, Accepted)
	g.PeersQueried()
	assert.Assert(t, !g.Tick(10), "the old file of the platform came back")
	assert.Equal(t, int(g.Active().File.Version), 8)
}

func TestAloneAfterStart(t *testing.T) {
	g := NewSelector(0, 1000)
	_, _ = g.Offer(5, body(3, "x"), false)
	assert.Assert(t, !g.Tick(999))
	assert.Assert(t, g.Tick(1000))
	assert.Equal(t, int(g.Active().File.Version), 3)
}

// TestAllAgree offers the same files to several gates in different orders.
func TestAllAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bodies [][]byte
		for i := range rapid.IntRange(1, 12).Draw(t, "n") {
			bodies = append(bodies, body(rapid.IntRange(1, 4).Draw(t, "version"), fmt.Sprintf("r%d", i)))
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var digest config.Digest
		for range 4 {
			g := NewSelector(0, 0)
			g.PeersQueried()
			rng.Shuffle(len(bodies), func(i, j int) { bodies[i], bodies[j] = bodies[j], bodies[i] })
			version := config.Version(0)
			for _, b := range bodies {
				_, _ = g.Offer(1, b, rng.IntN(2) == 0)
				assert.Assert(t, g.Active().File.Version >= version, "went to a lower version")
				version = g.Active().File.Version
			}
			if digest == "" {
				digest = g.Active().Digest
			}
			assert.Equal(t, g.Active().Digest, digest)
		}
	})
}
