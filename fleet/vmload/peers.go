package vmload

// reportingDivisor is the inverse of the share of a failure domain's VMs that may
// report not ready.
const reportingDivisor = 4

// Peers summarizes the living VMs of a failure domain, as one of them sees it. VMs are
// ordered in the same way everywhere, so that those that reach their limits together
// agree who of them reports not ready.
type Peers struct {
	// Living is the number of living VMs, this one included.
	Living int
	// NotReady is the number of other VMs in state NotReady, and NotReadyBefore that of
	// those of them that come before this VM.
	NotReady, NotReadyBefore int
	// AtLimitBefore is the number of VMs in state AtLimit that come before this VM.
	AtLimitBefore int
}

// Add adds another living VM in the given state, which comes before this VM or after it.
func (p *Peers) Add(s State, before bool) {
	p.Living++
	switch {
	case s == NotReady && before:
		p.NotReady, p.NotReadyBefore = p.NotReady+1, p.NotReadyBefore+1
	case s == NotReady:
		p.NotReady++
	case s == AtLimit && before:
		p.AtLimitBefore++
	}
}

// permits reports whether this VM may report not ready beside n others. A VM that knows
// of no other may not.
func (p Peers) permits(n int) bool { return p.Living > 1 && reportingDivisor*n < p.Living }

// permitsEntry reports whether this VM may begin to report not ready.
func (p Peers) permitsEntry() bool { return p.permits(p.NotReady + p.AtLimitBefore) }

// permitsStay reports whether this VM may go on reporting not ready. VMs that come after
// it give way first, so that not all of them return at once.
func (p Peers) permitsStay() bool { return p.permits(p.NotReadyBefore) }
