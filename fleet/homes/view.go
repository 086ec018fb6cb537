package homes

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

// MaxPastHomes is the number of earlier homes a bucket remembers.
const MaxPastHomes = 4

// View is a ring with what is known of earlier rings. It is immutable.
type View struct {
	ring    *Ranking
	past    [][MaxPastHomes]config.VMID
	changed []clock.Millis
}

// NewView returns the first view of a process that starts at now. Every bucket
// counts as changed, since others may have served it before.
func NewView(now clock.Millis, vms []VM) *View {
	v := &View{
		ring:    NewRanking(vms),
		past:    make([][MaxPastHomes]config.VMID, Buckets),
		changed: make([]clock.Millis, Buckets),
	}
	for b := range v.changed {
		v.changed[b] = now
	}
	return v
}

// WithVMs returns the view after the set of VMs became vms at now.
func (v *View) WithVMs(now clock.Millis, vms []VM) *View {
	next := &View{
		ring:    NewRanking(vms),
		past:    append([][MaxPastHomes]config.VMID(nil), v.past...),
		changed: append([]clock.Millis(nil), v.changed...),
	}
	for b := range next.changed {
		was, is := v.ring.VMAt(b, 0), next.ring.VMAt(b, 0)
		if was == is {
			continue
		}
		next.changed[b] = now
		if was != "" {
			next.past[b] = push(v.past[b], was)
		}
	}
	return next
}

// push puts vm before the others and drops its earlier mention, or the last
// one.
func push(past [MaxPastHomes]config.VMID, vm config.VMID) (next [MaxPastHomes]config.VMID) {
	next[0] = vm
	n := 1
	for _, p := range past {
		if p != vm && n < MaxPastHomes {
			next[n] = p
			n++
		}
	}
	return next
}

// Ranking returns the current ring.
func (v *View) Ranking() *Ranking { return v.ring }

// Home returns the VM that places the flow, or the empty identifier.
func (v *View) Home(id flow.ID) config.VMID { return v.ring.VMAt(BucketOf(id), 0) }

// Copy returns the n-th VM that keeps copies for the flow's home, 0 to
// MaxCopies-1, or the empty identifier.
func (v *View) Copy(id flow.ID, n int) config.VMID { return v.ring.CopyVMAt(BucketOf(id), n) }

// WithAllChanged returns the view of a process that stood still until now. Every bucket
// counts as changed, since others may have served it meanwhile.
func (v *View) WithAllChanged(now clock.Millis) *View {
	next := &View{ring: v.ring, past: v.past, changed: make([]clock.Millis, Buckets)}
	for b := range next.changed {
		next.changed[b] = now
	}
	return next
}

// Rank returns the VM of rank n for the flow, 0 to Ranks-1.
func (v *View) Rank(id flow.ID, n int) config.VMID { return v.ring.VMAt(BucketOf(id), n) }

// PastHomes returns the earlier homes of the flow's bucket, newest first; unknown
// ones are empty.
func (v *View) PastHomes(id flow.ID) [MaxPastHomes]config.VMID { return v.past[BucketOf(id)] }

// ChangedAt returns when the flow's bucket last changed its home.
func (v *View) ChangedAt(id flow.ID) clock.Millis { return v.changed[BucketOf(id)] }
