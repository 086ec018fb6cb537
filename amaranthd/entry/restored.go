package entry

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// confirmRestored passes the age of the copy to the builder, since upstreams of a failure
// domain that returned to service count as cold longer if the copy is out of date.
func (r *replicator) confirmRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.builder.ConfirmRestored(r.clk.Now(), clock.Millis(r.confirmedAt.Load())) {
		r.scheduleBuild()
	}
}
