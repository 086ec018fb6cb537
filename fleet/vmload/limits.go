package vmload

// Limits are the limits of one VM. A limit of 0 is absent.
type Limits struct {
	// LinkMbps is the capacity of the link in each direction, in megabits (10^6 bits)
	// per second.
	LinkMbps float64 `json:"linkMbps,omitzero"`
	// Cores is the processor time in seconds that the VM may use per second.
	Cores float64 `json:"cores,omitzero"`
}

// Present reports whether there is any limit.
func (l Limits) Present() bool { return l.LinkMbps > 0 || l.Cores > 0 }
