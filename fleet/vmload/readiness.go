package vmload

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

const (
	// A VM at hotFrom or more for notReadyAfter reports not ready until it has been below
	// coolBelow for readyAfter.
	hotFrom                    = 0.95
	coolBelow                  = 0.7
	notReadyAfter clock.Millis = 2000
	readyAfter    clock.Millis = 5000
	// announceAfter is the time at hotFrom or more after which a VM announces its state.
	// The rest of notReadyAfter is four gossip rounds.
	announceAfter clock.Millis = 1000
)

// Readiness decides whether a VM reports not ready for its load. Its zero value is that
// of a VM that starts. It is not safe for concurrent use.
type Readiness struct {
	state     State
	hot, cool spell
}

// Update returns the state of the VM at now.
func (r *Readiness) Update(now clock.Millis, utilization float64, peers Peers) State {
	hot := r.hot.update(now, utilization >= hotFrom)
	cool := r.cool.update(now, utilization < coolBelow)
	switch {
	case r.state == NotReady && cool >= readyAfter:
		r.state = Normal
	case r.state == NotReady && peers.permitsStay():
	case r.state == NotReady:
		r.state, r.hot = Normal, spell{} // it must be hot for the whole time again
	case hot >= notReadyAfter && peers.permitsEntry():
		r.state = NotReady
	case hot >= announceAfter:
		r.state = AtLimit
	default:
		r.state = Normal
	}
	return r.state
}
