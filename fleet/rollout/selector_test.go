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
	higherDigest, lowerDigest := body(2, "x"), body(2, "y")
	if config.DigestOf(higherDigest) < config.DigestOf(lowerDigest) {
		higherDigest, lowerDigest = lowerDigest, higherDigest
	}
	tests := []struct {
		name   string
		bodies [][]byte
		want   Outcome
		active config.Version
	}{
		{"first", [][]byte{body(1, "x")}, Accepted, 1},
		{"next", [][]byte{body(1, "x"), body(2, "x")}, Accepted, 2},
		{"same again", [][]byte{body(1, "x"), body(1, "x")}, Unchanged, 1},
		{"older", [][]byte{body(5, "x"), body(4, "x")}, Older, 5},
		{"same version, lower digest", [][]byte{higherDigest, lowerDigest}, Conflict, 2},
		{"same version, higher digest", [][]byte{lowerDigest, higherDigest}, ConflictAccepted, 2},
		{"invalid keeps the last", [][]byte{body(1, "x"), []byte(`{"version":9}`)}, Invalid, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSelector(0, 1000)
			s.PeersQueried()
			var got Outcome
			for _, b := range test.bodies {
				got, _ = s.Offer(10, b, false)
			}
			assert.Equal(t, got, test.want)
			assert.Equal(t, s.Active().File.Version, test.active)
		})
	}
}

func TestOldPlatformFileAfterStart(t *testing.T) {
	s := NewSelector(0, 1000)
	got, _ := s.Offer(5, body(3, "x"), false)
	assert.Equal(t, got, Deferred)
	assert.Assert(t, s.Active() == nil)
	got, _ = s.Offer(6, body(8, "x"), true)
	assert.Equal(t, got, Accepted)
	s.PeersQueried()
	assert.Assert(t, !s.Tick(10), "the platform's older file replaced the newer one")
	assert.Equal(t, int(s.Active().File.Version), 8)
}

func TestNoPeerAnswersAfterStart(t *testing.T) {
	s := NewSelector(0, 1000)
	_, _ = s.Offer(5, body(3, "x"), false)
	assert.Assert(t, !s.Tick(999))
	assert.Assert(t, s.Tick(1000))
	assert.Equal(t, int(s.Active().File.Version), 3)
}

// TestAllAgree checks that selectors converge on the same file if they are
// offered the same files in different orders.
func TestAllAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bodies [][]byte
		for i := range rapid.IntRange(1, 12).Draw(t, "n") {
			bodies = append(bodies, body(rapid.IntRange(1, 4).Draw(t, "version"), fmt.Sprintf("r%d", i)))
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var digest config.Digest
		for range 4 {
			s := NewSelector(0, 0)
			s.PeersQueried()
			rng.Shuffle(len(bodies), func(i, j int) { bodies[i], bodies[j] = bodies[j], bodies[i] })
			version := config.Version(0)
			for _, b := range bodies {
				_, _ = s.Offer(1, b, rng.IntN(2) == 0)
				assert.Assert(t, s.Active().File.Version >= version, "the active version decreased")
				version = s.Active().File.Version
			}
			if digest == "" {
				digest = s.Active().Digest
			}
			assert.Equal(t, s.Active().Digest, digest)
		}
	})
}
