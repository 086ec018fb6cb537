package steering

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// UpstreamState is the administrative state of an upstream.
type UpstreamState uint32

// States of an upstream.
const (
	// Active upstreams take new flows.
	Active UpstreamState = iota
	// Draining upstreams keep their flows and take no new ones. This includes
	// upstreams that were removed from the configuration.
	Draining
	// Out upstreams are in a failure domain that was taken out of service.
	// Their flows are reset.
	Out
	// AddressReassigned upstreams were removed and their address or VNI belongs
	// to another upstream or service. Their flows are reset.
	AddressReassigned
)

// Upstream is the state of one upstream. Its exported fields never change; all
// methods are safe for concurrent use.
type Upstream struct {
	ID     config.UpstreamID
	VNI    config.VNI
	Name   config.UpstreamName
	Domain config.DomainName
	Addr   netip.AddrPort

	state           atomic.Uint32
	verdict         atomic.Uint32
	connectionLimit atomic.Int64

	local         atomic.Int64 // flows counted by this VM
	remote        atomic.Int64 // flows counted by the other VMs in the last report
	localAtReport atomic.Int64 // local at the time of that report

	mu      sync.Mutex
	ramp    warmup.Ramp
	limiter warmup.Limiter
}

// State returns the administrative state of u.
func (u *Upstream) State() UpstreamState { return UpstreamState(u.state.Load()) }

// LocalFlows returns the number of flows that this VM counts on u.
func (u *Upstream) LocalFlows() int64 { return u.local.Load() }

// TotalFlows returns the number of flows on u that this VM counts, plus that of
// the other VMs in the last report.
func (u *Upstream) TotalFlows() int64 { return u.local.Load() + u.remote.Load() }

// EstimatedFlows returns an estimate of the current number of flows on u. It
// assumes that since the last report the count of each of the vms VMs changed as
// much as that of this one.
func (u *Upstream) EstimatedFlows(vms int) int64 {
	local := u.local.Load()
	return local + u.remote.Load() + (local-u.localAtReport.Load())*int64(max(0, vms-1))
}

// Ramp returns the warm-up of u.
func (u *Upstream) Ramp() warmup.Ramp {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ramp
}

// startRamp starts a warm-up at start unless one with the same or a later start
// is known.
func (u *Upstream) startRamp(start clock.Millis, limits config.WarmUp) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if start > u.ramp.Start {
		u.ramp = warmup.Ramp{Start: start, Limits: limits}
		u.limiter = warmup.Limiter{}
	}
}

// servesFlows reports whether u may receive packets of its open flows.
func (u *Upstream) servesFlows() bool { return u.State() <= Draining }

// atConnectionLimit reports whether this VM has used its share of the connections
// that were free at the last report, if placers VMs share them equally.
func (u *Upstream) atConnectionLimit(placers int) bool {
	limit := u.connectionLimit.Load()
	if limit == 0 {
		return false
	}
	base := u.localAtReport.Load()
	left := limit - base - u.remote.Load()
	return (u.local.Load()-base+1)*int64(max(1, placers)) > left
}

// setRemote stores the number of flows that the other VMs count on u.
func (u *Upstream) setRemote(n int64) {
	u.localAtReport.Store(u.local.Load())
	u.remote.Store(max(0, n))
}
