package steering

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

// UpstreamState is what the configuration makes of an upstream.
type UpstreamState uint32

// States of an upstream.
const (
	// Active upstreams take new flows.
	Active UpstreamState = iota
	// Draining upstreams keep their flows and take no new ones. Upstreams that
	// left the file are draining too.
	Draining
	// Out upstreams are in a failure domain that was taken out. Their flows
	// are reset.
	Out
	// AddressReassigned upstreams lost their address to another one. Their flows are reset.
	AddressReassigned
)

// Upstream is the state of one upstream. The identity never changes; all else
// is safe for concurrent use.
type Upstream struct {
	ID     config.UpstreamID
	VNI    config.VNI
	Name   config.UpstreamName
	Domain config.DomainName
	Addr   netip.AddrPort

	state   atomic.Uint32
	verdict atomic.Uint32
	limit   atomic.Int64

	local    atomic.Int64 // flows counted by this VM
	remote   atomic.Int64 // flows counted by the others, as last reported
	baseline atomic.Int64 // local at the time of that report

	mu    sync.Mutex
	ramp  warmup.Ramp
	share warmup.Limiter
}

// State returns what the configuration makes of u.
func (u *Upstream) State() UpstreamState { return UpstreamState(u.state.Load()) }

// LocalFlows returns the number of flows that this VM counts on u.
func (u *Upstream) LocalFlows() int64 { return u.local.Load() }

// TotalFlows returns the number of flows on u as far as this VM knows.
func (u *Upstream) TotalFlows() int64 { return u.local.Load() + u.remote.Load() }

// EstimatedFlows returns the number of flows on u now, on the assumption that each
// of the VMs placed as many since the last report as this one.
func (u *Upstream) EstimatedFlows(vms int) int64 {
	local := u.local.Load()
	return local + u.remote.Load() + (local-u.baseline.Load())*int64(max(0, vms-1))
}

// Ramp returns the warm-up of u.
func (u *Upstream) Ramp() warmup.Ramp {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ramp
}

// startRamp begins a warm-up at start unless a later one is under way.
func (u *Upstream) startRamp(start clock.Millis, limits config.WarmUp) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if start > u.ramp.Start {
		u.ramp = warmup.Ramp{Start: start, Limits: limits}
		u.share = warmup.Limiter{}
	}
}

// keeps reports whether u may still receive packets of its flows.
func (u *Upstream) keeps() bool { return u.State() <= Draining }

// full reports whether this VM used up its part of the connections that were
// left at the last report, when placers VMs share them.
func (u *Upstream) full(placers int) bool {
	limit := u.limit.Load()
	if limit == 0 {
		return false
	}
	base := u.baseline.Load()
	left := limit - base - u.remote.Load()
	return (u.local.Load()-base+1)*int64(max(1, placers)) > left
}

// setRemote stores a report of the flows that other VMs count on u.
func (u *Upstream) setRemote(n int64) {
	u.baseline.Store(u.local.Load())
	u.remote.Store(max(0, n))
}
