package replica

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// Call is a request to the publisher.
type Call uint8

// Calls to the publisher.
const (
	// NoCall makes no call and waits for messages of other VMs.
	NoCall Call = iota
	// ReadAll reads all items.
	ReadAll
	// Watch waits for changes.
	Watch
	// Poll asks for changes without waiting for any.
	Poll
)

const (
	// firstReadDelay is the time that a starting VM waits to get a copy from
	// another VM. If none has one, the VMs read from the publisher in the order
	// of their ranks, firstReadStep apart and no later than firstReadMaxDelay,
	// because the VM that reads first passes the copy on.
	firstReadDelay    clock.Millis = 300
	firstReadStep     clock.Millis = 100
	firstReadMaxDelay clock.Millis = 1300
	// startupPeriod is the time after its start in which a VM checks a stale
	// copy whatever its rank, since it may have got the copy from a VM that is
	// cut off.
	startupPeriod = 3 * clock.Second
	// staleAge is the age of the copy at which the VM of rank 1 polls, in case
	// the reader has stopped. Each further rank waits staleAgeStep longer.
	staleAge     clock.Millis = 1200
	staleAgeStep clock.Millis = 250
	// checkers is the number of ranks after the reader that do so. The other
	// VMs learn the result from them and poll only at staleAgeOthers.
	checkers                    = 4
	staleAgeOthers clock.Millis = 2400
	// staleAgePublisherAway replaces staleAgeOthers while the checkers report
	// that the publisher does not answer. They notice first when it answers
	// again.
	staleAgePublisherAway = 5 * clock.Second
	// retryDelayMin is the delay after a failed call of the reader and the
	// checkers. It doubles with each failure up to retryDelayMax. The other VMs
	// always wait for retryDelayOthers.
	retryDelayMin    clock.Millis = 100
	retryDelayMax    clock.Millis = 800
	retryDelayOthers clock.Millis = 2400
)

// ReadState determines when a VM calls the publisher. In a large fleet one VM
// reads for all. The others call only when their copy is no longer confirmed,
// and only a few at a time, since the publisher may be the part that is
// failing.
type ReadState struct {
	// Rank is the rank of the VM in its group, 0 for the reader.
	Rank int
	// Requested is set if a read is wanted at once.
	Requested bool
	// Empty is set if the VM has no copy yet. Uptime is the time since its
	// start.
	Empty  bool
	Uptime clock.Millis
	// Age is the time since the copy was last confirmed to be complete.
	Age clock.Millis
	// Behind is the time since which the VM has known that another one has a newer
	// copy, 0 if it knows of none. That VM may be unable to pass the copy on.
	Behind clock.Millis
	// PublisherAway is set if other VMs report that the publisher does not
	// answer.
	PublisherAway bool
	// Due is set if the reader has to read all items again, and Failed if a
	// call has failed since they were last read.
	Due, Failed bool
}

// Next returns the call to make now.
func (r *ReadState) Next() Call {
	switch {
	case r.Requested:
		return ReadAll
	case r.Empty:
		if r.Uptime >= min(firstReadMaxDelay, firstReadDelay+firstReadStep*clock.Millis(max(0, r.Rank-1))) {
			return ReadAll
		}
		return NoCall
	case r.Rank == 0 && r.Due:
		return ReadAll
	case r.Rank == 0:
		return Watch
	case max(r.Age, r.Behind) < r.maxAge():
		return NoCall
	case r.Failed:
		return ReadAll
	}
	return Poll
}

// maxAge returns the age at which the VM checks the copy itself.
func (r *ReadState) maxAge() clock.Millis {
	switch {
	case r.Uptime < startupPeriod:
		return staleAge
	case r.Rank <= checkers:
		return staleAge + staleAgeStep*clock.Millis(max(0, r.Rank-1))
	case r.PublisherAway:
		return staleAgePublisherAway
	}
	return staleAgeOthers
}

// RetryDelay returns the delay after the given number of consecutive failed
// calls, which must be at least 1. A VM without a copy cannot forward packets,
// so it retries as fast as the checkers do.
func RetryDelay(rank, failures int, empty bool) clock.Millis {
	if rank > checkers && !empty {
		return retryDelayOthers
	}
	return min(retryDelayMax, retryDelayMin<<min(failures-1, 8))
}
