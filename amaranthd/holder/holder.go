package holder

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/claim"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/document"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
)

// Methods that a Holder serves.
const (
	methodClaim    rpc.Method = "claim.take"
	methodClose    rpc.Method = "claim.close"
	methodFinish   rpc.Method = "claim.finish"
	methodWithdraw rpc.Method = "claim.withdraw"
	methodResponse rpc.Method = "claim.answer"
	methodBackup   rpc.Method = "claim.deposit"
	methodRecover  rpc.Method = "claim.recover"
	methodAcquire  rpc.Method = "slot.acquire"
	methodRelease  rpc.Method = "slot.release"
	methodRenew    rpc.Method = "slot.renew"
	methodTakeOver rpc.Method = "slot.takeOver"
)

// tickMillis is the interval at which slot managers are ticked.
const tickMillis = 10 * clock.Millis(1)

// Timeouts are the timeouts of calls and leases.
type Timeouts struct {
	// CallMillis is the timeout of a call about a claim or a lease.
	CallMillis clock.Millis
	// LeaseMillis is the time after which a slot lease that is not renewed
	// expires.
	LeaseMillis clock.Millis
}

// Hooks connect a Holder with the rest of the daemon.
type Hooks struct {
	// UsableSlots returns how many of the full slots of an upstream may be
	// used now, and whether the upstream is considered healthy.
	UsableSlots func(now clock.Millis, u config.UpstreamID, full int) (n int, healthy bool)
	// Paused reports whether this VM's view of other VMs may be out of date,
	// since the process has just started or was suspended.
	Paused func(now clock.Millis) bool
}

// Holder serves claims and slot leases to other VMs, and uses those that they
// serve. It is safe for concurrent use.
type Holder struct {
	self     config.VMID
	domain   config.DomainName
	clk      clock.Clock
	log      *slog.Logger
	pool     *rpc.Pool
	timeouts Timeouts
	hooks    Hooks
	table    *claim.Table

	// decideMu is held for reading while a claim is decided, so that Leave
	// backs up every grant.
	decideMu sync.RWMutex
	// notifications counts the notifications of witnesses in progress.
	notifications sync.WaitGroup

	mu          sync.Mutex
	selector    *claim.WitnessSelector
	file        *config.File
	liveVMs     map[config.DomainName][]config.VMID
	addresses   map[config.VMID]netip.AddrPort
	managers    map[managerKey]*manager
	backups     map[config.VMID]claimBackup
	responses   map[claim.AttemptID]*StoredResponse
	storedBytes int
	leaving     bool

	handlers map[rpc.Method]rpc.Handler

	leaseMu      sync.Mutex
	leases       map[config.VMID]map[leaseKey]bool
	queueLengths map[managerKey]int
}

// New returns the holder of the VM self and registers its methods with server.
func New(self config.VMID, domain config.DomainName, clk clock.Clock, log *slog.Logger, pool *rpc.Pool, server *rpc.Server, timeouts Timeouts, hooks Hooks) *Holder {
	now := clk.Now()
	h := &Holder{
		self: self, domain: domain, clk: clk, log: log, pool: pool, timeouts: timeouts, hooks: hooks,
		table: claim.NewTable(now), selector: claim.NewWitnessSelector(now),
		liveVMs:      make(map[config.DomainName][]config.VMID),
		addresses:    make(map[config.VMID]netip.AddrPort),
		managers:     make(map[managerKey]*manager),
		backups:      make(map[config.VMID]claimBackup),
		responses:    make(map[claim.AttemptID]*StoredResponse),
		leases:       make(map[config.VMID]map[leaseKey]bool),
		queueLengths: make(map[managerKey]int),
	}
	h.handlers = map[rpc.Method]rpc.Handler{
		methodClaim: h.serveClaim, methodClose: h.serveClose, methodFinish: h.serveFinish,
		methodWithdraw: h.serveWithdraw, methodResponse: h.serveResponse,
		methodBackup: h.serveBackup, methodRecover: h.serveRecover,
		methodAcquire: h.serveAcquire, methodRelease: h.serveRelease, methodRenew: h.serveRenew,
		methodTakeOver: h.serveTakeOver,
	}
	for m, f := range h.handlers {
		server.Handle(m, f)
	}
	return h
}

// SetConfig replaces the active configuration.
func (h *Holder) SetConfig(_ clock.Millis, f *config.File) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.file = f
}

// SetVMList sets the platform's list of VMs, from which witnesses are chosen.
func (h *Holder) SetVMList(now clock.Millis, vms []membership.VM) {
	list := make([]homes.VM, len(vms))
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, vm := range vms {
		list[i] = homes.VM{ID: vm.ID, Domain: vm.Domain}
		h.addresses[vm.ID] = vm.RPC
	}
	h.selector.SetVMs(now, list)
}

// SetMembers sets the members of the fleet. Slot managers are chosen from those
// that are alive or suspect and reachable. Managers that move to another VM are
// handed over in the background.
func (h *Holder) SetMembers(_ clock.Millis, peers []membership.Peer) {
	h.mu.Lock()
	liveVMs := make(map[config.DomainName][]config.VMID)
	for _, p := range peers {
		h.addresses[p.ID] = p.RPC
		usable := p.State == membership.Alive || p.State == membership.Suspect
		if usable && p.Reachable {
			liveVMs[p.Domain] = append(liveVMs[p.Domain], p.ID)
		}
	}
	h.liveVMs = liveVMs
	moved := h.removeReassigned()
	h.mu.Unlock()
	for _, m := range moved {
		go h.handOverManager(m)
	}
}

// call calls a method of a VM. Calls to the local VM bypass the network.
func (h *Holder) call(ctx context.Context, timeout clock.Millis, to config.VMID, m rpc.Method, params, result any) (err error) {
	if to == h.self {
		return h.callSelf(ctx, timeout, m, params, result)
	}
	h.mu.Lock()
	address, ok := h.addresses[to]
	h.mu.Unlock()
	if !ok {
		return eris.Errorf("holder: address of VM %s is unknown", to)
	}
	return h.pool.CallTimeout(ctx, timeout, address, m, params, result)
}

func (h *Holder) callSelf(ctx context.Context, timeout clock.Millis, m rpc.Method, params, result any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	raw, err := json.Marshal(params)
	if err != nil {
		return eris.Wrap(err, "holder: encode parameters of a local call")
	}
	reply, err := h.handlers[m](ctx, raw)
	if err != nil {
		return err
	}
	raw, err = json.Marshal(reply)
	if err != nil {
		return eris.Wrap(err, "holder: encode result of a local call")
	}
	return eris.Wrap(document.Decode(raw, result), "holder: decode result of a local call")
}

// Run ticks slot managers, renews leases and expires stored data until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	t := time.NewTicker(tickMillis.Duration())
	defer t.Stop()
	renewed, expired := clock.Millis(0), clock.Millis(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := h.clk.Now()
		h.tickManagers(now)
		if now-renewed >= h.timeouts.LeaseMillis/4 {
			renewed = now
			h.renewLeases(ctx)
		}
		if now-expired >= clock.Second {
			expired = now
			h.expire(now)
		}
	}
}

// Leave stops granting claims and backs them up at another VM of the failure
// domain. It first waits until the witnesses of earlier requests are notified.
func (h *Holder) Leave(ctx context.Context) {
	h.notifications.Wait()
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.decideMu.Lock() // Waits for decisions in progress.
	h.decideMu.Unlock()
	h.backUpClaims(ctx)
}

// decode decodes the parameters of a call.
func decode[T any](params json.RawMessage) (v T, err error) {
	err = eris.Wrap(document.Decode(params, &v), "holder: decode")
	return v, err
}

// empty is the result of calls that return nothing.
type empty struct{}
