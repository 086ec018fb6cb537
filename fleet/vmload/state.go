package vmload

// State is what a VM tells the others of its failure domain about its load.
type State uint8

// States of a VM.
const (
	// Normal is the state of a VM that is not at its limit for long.
	Normal State = iota
	// AtLimit is the state of a VM that reports not ready as soon as the number of others
	// permits. VMs announce it before, since they may reach their limits together.
	AtLimit
	// NotReady is the state of a VM that reports not ready.
	NotReady
	// StateCount is the number of states.
	StateCount
)
