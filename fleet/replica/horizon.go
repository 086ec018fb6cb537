package replica

// horizonFactor is the factor by which FindHorizon widens its steps back.
const horizonFactor = 8

// FindHorizon returns the lowest number, from oldest to newest, after which the publisher
// still has all changes. newest is its newest number. The function has reports whether the
// publisher has the changes after a number. Those for which it returns true fall, so that its
// last such call has seen all changes. The number of calls grows with the logarithm of that of
// the changes: 1 if the publisher has those after oldest, 2 if it has none, 10 if it has 40. It
// returns the first error of has.
func FindHorizon(oldest, newest uint64, has func(after uint64) (bool, error)) (horizon uint64, err error) {
	if oldest >= newest {
		return newest, nil
	}
	ok, err := has(oldest)
	if err != nil || ok {
		return oldest, err
	}
	known, unknown, err := bracketHorizon(oldest, newest, has)
	for err == nil && known-unknown > 1 {
		middle := unknown + (known-unknown)/2
		if ok, err = has(middle); ok {
			known = middle
		} else {
			unknown = middle
		}
	}
	return known, err
}

// bracketHorizon returns a number after which the publisher has the changes, and a lower one
// after which it does not, as for lost.
func bracketHorizon(lost, newest uint64, has func(after uint64) (bool, error)) (known, unknown uint64, err error) {
	known = newest
	for step := uint64(1); newest-lost > step; step *= horizonFactor {
		after := newest - step
		ok, err := has(after)
		if err != nil || !ok {
			return known, after, err
		}
		known = after
	}
	return known, lost, nil
}
