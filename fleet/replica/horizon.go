package replica

import (
	"cmp"
	"slices"
)

// horizonFactor is the factor by which FindHorizon widens its steps back.
const horizonFactor = 8

// FindHorizon returns the lowest number, from oldest to newest, after which the publisher
// still has all changes, newest if it has none. The function has reports whether the publisher
// has the changes after a number. Those for which it returns true fall, so that its last such
// call has seen all changes. The number of calls grows with the logarithm of that of the
// changes: 1 if the publisher has none, 9 if it has 40. FindHorizon returns the first error of
// has.
func FindHorizon(oldest, newest uint64, has func(after uint64) (bool, error)) (horizon uint64, err error) {
	known := newest
	for step := uint64(1); known > oldest; step *= horizonFactor {
		after := newest - min(step, newest-oldest)
		ok, err := has(after)
		if err != nil {
			return known, err
		}
		if !ok {
			return bisectHorizon(after, known, has)
		}
		known = after
	}
	return known, nil
}

// bisectHorizon does so if the publisher has the changes after known, but not those after
// unknown.
func bisectHorizon(unknown, known uint64, has func(after uint64) (bool, error)) (horizon uint64, err error) {
	for known-unknown > 1 {
		middle := unknown + (known-unknown)/2
		ok, err := has(middle)
		if err != nil {
			return known, err
		}
		if ok {
			known = middle
		} else {
			unknown = middle
		}
	}
	return known, nil
}

// MissingNumbers returns the range of the publisher's numbers, above oldest and up to newest,
// among which those are that a full update does not show: of items that were written again or
// removed since. oldest is the lowest number of an item, and all numbers above newest are those
// of items. newest is not above oldest if the update shows all changes since oldest.
func MissingNumbers(u *Update) (oldest, newest uint64) {
	complete := u.Complete.Number()
	numbers := make([]uint64, 0, len(u.Items))
	for i := range u.Items {
		if n := u.Items[i].Revision.Number(); n <= complete {
			numbers = append(numbers, n)
		}
	}
	slices.SortFunc(numbers, func(a, b uint64) int { return cmp.Compare(b, a) })
	newest = complete
	for _, n := range numbers {
		if n != newest {
			break
		}
		newest--
	}
	if len(numbers) == 0 {
		return 0, newest
	}
	return numbers[len(numbers)-1], newest
}
