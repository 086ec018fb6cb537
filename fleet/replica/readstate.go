package replica

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// Call is what a VM asks the publisher.
type Call uint8

// Calls to the publisher.
const (
	// NoCall waits for what other VMs tell.
	NoCall Call = iota
	// ReadAll reads everything.
	ReadAll
	// Watch waits for changes.
	Watch
	// Poll asks for changes without waiting.
	Poll
)

const (
	// startWait is the time in which a VM that starts gets the copy of another
	// one, if any has one. After it, VMs of a fleet that starts read in the order
	// of their ranks, startStep apart, since what the first one reads reaches the
	// others.
	startWait clock.Millis = 300
	startStep clock.Millis = 100
	startMost clock.Millis = 1300
	// youngFor is the time after its start in which a VM checks a copy that is old
	// whatever its rank: it may have come from a VM that is cut off.
	youngFor = 3 * clock.Second
	// oldAfter is the age of the copy at which the VM next to the reader checks
	// whether the reader still reads, and ageStep the wait of each further VM.
	oldAfter clock.Millis = 1200
	ageStep  clock.Millis = 250
	// checkers is the number of VMs next to the reader that do so. The others hear
	// of it from them, and ask by themselves only at oldLast.
	checkers              = 4
	oldLast  clock.Millis = 2400
	// oldAway is the same while the checkers say that nobody is answered. They hear
	// first when the publisher is back.
	oldAway = 5 * clock.Second
	// retryFirst is the wait after a failed call of the reader and the checkers,
	// which doubles up to retryMost. The others wait for retryLast.
	retryFirst clock.Millis = 100
	retryMost  clock.Millis = 800
	retryLast  clock.Millis = 2400
)

// ReadState is what decides when a VM asks the publisher. In a large fleet one VM
// reads for all; the others ask only when nobody confirms their copy any more, and
// few of them at a time, since the publisher may be what fails.
type ReadState struct {
	// Rank is the VM's place in its group, 0 for the reader.
	Rank int
	// Requested tells that a read is wanted at once.
	Requested bool
	// Empty tells that the VM holds no copy yet, and Started how long ago it began.
	Empty  bool
	Uptime clock.Millis
	// Age is how long ago the copy was confirmed to be complete.
	Age clock.Millis
	// PublisherAway tells that other VMs say that the publisher does not answer them.
	PublisherAway bool
	// Due tells that the reader is to read everything again, and Failed that a call
	// failed since everything was read.
	Due, Failed bool
}

// Next returns the call to make now.
func (r *ReadState) Next() Call {
	switch {
	case r.Requested:
		return ReadAll
	case r.Empty:
		if r.Uptime >= min(startMost, startWait+startStep*clock.Millis(max(0, r.Rank-1))) {
			return ReadAll
		}
		return NoCall
	case r.Rank == 0 && r.Due:
		return ReadAll
	case r.Rank == 0:
		return Watch
	case r.Age < r.oldAge():
		return NoCall
	case r.Failed:
		return ReadAll
	}
	return Poll
}

// oldAge returns the age at which a copy is too old to wait for others.
func (r *ReadState) oldAge() clock.Millis {
	switch {
	case r.Uptime < youngFor:
		return oldAfter
	case r.Rank <= checkers:
		return oldAfter + ageStep*clock.Millis(max(0, r.Rank-1))
	case r.PublisherAway:
		return oldAway
	}
	return oldLast
}

// RetryDelay returns the wait after a number of failed calls, one at least. A VM without
// a copy serves nobody until a call succeeds.
func RetryDelay(rank, failures int, empty bool) clock.Millis {
	if rank > checkers && !empty {
		return retryLast
	}
	return min(retryMost, retryFirst<<min(failures-1, 8))
}
