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
		{"no history", 1, 41, 41, 2},
		{"whole history", 1, 41, 0, 1},
		{"some changes", 1, 1000, 960, 10},
		{"many changes", 1, 100_000, 90_000, 22},
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
