package replica

import (
	"errors"
	"math"
	"math/bits"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestFindHorizon checks that the horizon is found exactly, with few calls, and that the
// calls that succeed go back step by step, so that the last of them saw all changes.
func TestFindHorizon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newest := rapid.Uint64Range(1, MaxNumber).Draw(t, "newest")
		back := rapid.OneOf(rapid.Uint64Range(0, 100), rapid.Uint64Range(0, math.MaxUint32))
		oldest := newest - min(newest, back.Draw(t, "items"))
		kept := newest - min(newest, back.Draw(t, "history"))
		calls, last := 0, newest
		horizon, err := FindHorizon(oldest, newest, func(after uint64) (bool, error) {
			calls++
			assert.Assert(t, after >= oldest && after < last, "after %d, of %d, follows %d", after, oldest, last)
			if after < kept {
				return false, nil
			}
			last = after
			return true, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, horizon, max(oldest, kept))
		assert.Equal(t, last, horizon)
		assert.Assert(t, calls <= 6+2*bits.Len64(newest-horizon), "%d calls for %d changes", calls, newest-horizon)
	})
}

// TestFindHorizonCalls checks how many calls the usual cases take.
func TestFindHorizonCalls(t *testing.T) {
	tests := []struct {
		name                 string
		oldest, newest, kept uint64
		calls                int
	}{
		{"nothing changed", 41, 41, 41, 0},
		{"no history", 1, 41, 41, 1},
		{"whole history", 1, 41, 0, 3},
		{"some changes", 1, 1000, 960, 9},
		{"many changes", 1, 100_000, 90_000, 21},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			calls := 0
			_, err := FindHorizon(test.oldest, test.newest, func(after uint64) (bool, error) { calls++; return after >= test.kept, nil })
			assert.NilError(t, err)
			assert.Equal(t, calls, test.calls)
		})
	}
}

// TestMissingNumbers checks between which numbers a removal may have happened that a full
// update does not show.
func TestMissingNumbers(t *testing.T) {
	tests := []struct {
		name           string
		complete       Revision
		items          []Revision
		oldest, newest uint64
	}{
		{"none missing", 4, []Revision{2, 3, 4}, 2, 1},
		{"the newest", 5, []Revision{2, 3, 4}, 2, 5},
		{"one in between", 5, []Revision{2, 3, 5}, 2, 4},
		{"several", 9, []Revision{9, 2, 5, 8}, 2, 7},
		{"an item newer than the first page", 5, []Revision{2, 3, 5, 6}, 2, 4},
		{"no items", 5, nil, 0, 5},
		{"of an era", RevisionOf(3, 5), []Revision{RevisionOf(3, 2), RevisionOf(3, 5)}, 2, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := Update{Full: true, Complete: test.complete}
			for _, rev := range test.items {
				u.Items = append(u.Items, Item{Revision: rev})
			}
			oldest, newest := MissingNumbers(&u)
			assert.Equal(t, oldest, test.oldest)
			assert.Equal(t, newest, test.newest)
		})
	}
}

func TestFindHorizonFails(t *testing.T) {
	failed := errors.New("failed")
	for failing := range 8 {
		calls := 0
		_, err := FindHorizon(1, 1000, func(after uint64) (bool, error) {
			if calls++; calls > failing {
				return false, failed
			}
			return after >= 960, nil
		})
		assert.ErrorIs(t, err, failed)
	}
}
