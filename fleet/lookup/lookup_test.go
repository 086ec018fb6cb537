package lookup

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

func members(n int) (list []config.UpstreamID) {
	for i := range n {
		list = append(list, config.UpstreamID(i*7919+1))
	}
	return list
}

func TestBuildIsEven(t *testing.T) {
	for _, n := range []int{1, 2, 14, 33, 200} {
		table := Build(SizeFor(n), members(n))
		count := make(map[uint16]int)
		for _, s := range table.slots {
			count[s]++
		}
		mean := float64(table.Len()) / float64(n)
		for _, c := range count {
			assert.Assert(t, float64(c) <= mean+1 && float64(c) >= mean-1, "%d of %d slots", c, table.Len())
		}
		assert.Equal(t, len(count), n)
	}
}

func TestBuildIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 1<<40), 1, 40, rapid.ID).Draw(t, "ids")
		a := make([]config.UpstreamID, len(ids))
		for i, id := range ids {
			a[i] = config.UpstreamID(id)
		}
		b := rapid.Permutation(a).Draw(t, "b")
		assert.Assert(t, Build(4093, a).Equal(Build(4093, b)))
	})
}

func TestBuildMovesFew(t *testing.T) {
	before, after := Build(4093, members(14)), Build(4093, members(13))
	moved := 0
	for i := range before.slots {
		was := before.members[before.slots[i]]
		if was != members(14)[13] && was != after.members[after.slots[i]] {
			moved++
		}
	}
	assert.Assert(t, float64(moved)/4093 < 0.1, "%d slots of remaining members moved", moved)
}

func TestHistory(t *testing.T) {
	h := NewHistory(Build(4093, members(3)))
	assert.Equal(t, h.WithTable(1, Build(4093, members(3))), h)
	next := h.WithTable(1, Build(4093, members(2)))
	lost := members(3)[2]
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		id := flow.ID{Hi: rng.Uint64(), Lo: rng.Uint64()}
		list := next.Candidates(id, nil)
		assert.Equal(t, list[0], next.Current().Pick(id))
		if h.Current().Pick(id) == lost {
			assert.DeepEqual(t, list[1:], []config.UpstreamID{lost})
		}
	}
	empty := next.WithTable(2, Build(4093, nil))
	assert.Equal(t, empty.Current().Pick(flow.ID{Lo: 5}), config.UpstreamID(0))
	assert.Assert(t, len(empty.Candidates(flow.ID{Lo: 5}, nil)) > 0)
}

func BenchmarkBuild(b *testing.B) {
	list := members(14)
	for b.Loop() {
		Build(4093, list)
	}
}
