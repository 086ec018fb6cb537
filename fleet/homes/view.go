package homes

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

// MaxPastHomes is the number of previous homes recorded for each bucket.
const MaxPastHomes = 4

// View is a Ranking with the previous homes of each bucket and the time of its
// last change. It is immutable.
type View struct {
	ranking   *Ranking
	pastHomes [][MaxPastHomes]config.VMID
	changedAt []clock.Millis
}

// NewView returns the first view of a process that starts at now. It marks
// every bucket as changed at now, since other VMs may have served it before.
func NewView(now clock.Millis, vms []VM) *View {
	v := &View{
		ranking:   NewRanking(vms),
		pastHomes: make([][MaxPastHomes]config.VMID, Buckets),
		changedAt: make([]clock.Millis, Buckets),
	}
	for b := range v.changedAt {
		v.changedAt[b] = now
	}
	return v
}

// WithVMs returns the view after the set of VMs changed to vms at now.
func (v *View) WithVMs(now clock.Millis, vms []VM) *View {
	next := &View{
		ranking:   NewRanking(vms),
		pastHomes: append([][MaxPastHomes]config.VMID(nil), v.pastHomes...),
		changedAt: append([]clock.Millis(nil), v.changedAt...),
	}
	for b := range next.changedAt {
		was, is := v.ranking.VMAt(b, 0), next.ranking.VMAt(b, 0)
		if was == is {
			continue
		}
		next.changedAt[b] = now
		if was != "" {
			next.pastHomes[b] = prependHome(v.pastHomes[b], was)
		}
	}
	return next
}

// prependHome inserts vm at the front of past and removes its earlier
// occurrence or, without one, the oldest home.
func prependHome(past [MaxPastHomes]config.VMID, vm config.VMID) (next [MaxPastHomes]config.VMID) {
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

// Ranking returns the current ranking.
func (v *View) Ranking() *Ranking { return v.ranking }

// Home returns the home of the flow, or the empty identifier if there are no
// VMs.
func (v *View) Home(id flow.ID) config.VMID { return v.ranking.VMAt(BucketOf(id), 0) }

// Copy returns the n-th VM, 0 to MaxCopies-1, that keeps copies for the flow's
// home, or the empty identifier if there are too few VMs.
func (v *View) Copy(id flow.ID, n int) config.VMID { return v.ranking.CopyVMAt(BucketOf(id), n) }

// WithAllChanged returns the view with every bucket marked as changed at now. It
// is for a process that resumes after a pause, in which other VMs may have
// served any bucket.
func (v *View) WithAllChanged(now clock.Millis) *View {
	next := &View{ranking: v.ranking, pastHomes: v.pastHomes, changedAt: make([]clock.Millis, Buckets)}
	for b := range next.changedAt {
		next.changedAt[b] = now
	}
	return next
}

// Rank returns the VM of rank n, 0 to Ranks-1, for the flow, or the empty
// identifier if there are too few VMs.
func (v *View) Rank(id flow.ID, n int) config.VMID { return v.ranking.VMAt(BucketOf(id), n) }

// PastHomes returns the previous homes of the flow's bucket, newest first. Unused
// elements are empty.
func (v *View) PastHomes(id flow.ID) [MaxPastHomes]config.VMID { return v.pastHomes[BucketOf(id)] }

// ChangedAt returns the time at which the home of the flow's bucket last changed
// or, if later, at which the process started or resumed.
func (v *View) ChangedAt(id flow.ID) clock.Millis { return v.changedAt[BucketOf(id)] }
