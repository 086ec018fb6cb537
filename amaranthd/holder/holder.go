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
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
)

// Methods that a Holder serves.
const (
	methodClaim    rpc.Method = "claim.take"
	methodClose    rpc.Method = "claim.close"
	methodFinish   rpc.Method = "claim.finish"
	methodWithdraw rpc.Method = "claim.withdraw"
	methodAnswer   rpc.Method = "claim.answer"
	methodDeposit  rpc.Method = "claim.deposit"
	methodRecover  rpc.Method = "claim.recover"
	methodAcquire  rpc.Method = "slot.acquire"
	methodRelease  rpc.Method = "slot.release"
	methodRenew    rpc.Method = "slot.renew"
	methodTakeOver rpc.Method = "slot.takeOver"
)

// tickMillis is the period in which leases and queues are looked after.
const tickMillis = 10 * clock.Millis(1)

// Timeouts bounds calls and leases.
type Timeouts struct {
	// CallMillis bounds a call about a claim or a lease.
	CallMillis clock.Millis
	// LeaseMillis is the life of a slot lease that is not renewed.
	LeaseMillis clock.Millis
}

// Hooks connect a Holder with the rest of the daemon.
type Hooks struct {
	// UsableSlots returns how many of an upstream's slots may be used now, and
	// whether it seems healthy.
	UsableSlots func(now clock.Millis, u config.UpstreamID, full int) (n int, healthy bool)
	// Paused reports whether the process stood still and its view may be old.
	Paused func(now clock.Millis) bool
}

// Holder serves and uses claims and slots.
type Holder struct {
	self   config.VMID
	domain config.DomainName
	clk    clock.Clock
	log    *slog.Logger
	pool   *rpc.Pool
	timers Timeouts
	seams  Hooks
	table  *claim.Table

	// decideMu is held for reading while a claim is decided, so that Leave
	// exports every grant.
	decideMu sync.RWMutex
	// telling counts the statements to witnesses that are under way.
	telling sync.WaitGroup

	mu       sync.Mutex
	roster   *claim.WitnessSelector
	file     *config.File
	live     map[config.DomainName][]config.VMID
	address  map[config.VMID]netip.AddrPort
	managers map[managerKey]*manager
	deposits map[config.VMID]deposit
	answers  map[claim.AttemptID]*StoredResponse
	bytes    int
	leaving  bool

	handlers map[rpc.Method]rpc.Handler

	leaseMu sync.Mutex
	leases  map[config.VMID]map[leaseKey]bool
	hints   map[managerKey]int
}

// New returns the holder of a VM and registers its methods with server.
func New(self config.VMID, domain config.DomainName, clk clock.Clock, log *slog.Logger, pool *rpc.Pool, server *rpc.Server, timers Timeouts, seams Hooks) *Holder {
	now := clk.Now()
	h := &Holder{
		self: self, domain: domain, clk: clk, log: log, pool: pool, timers: timers, seams: seams,
		table: claim.NewTable(now), roster: claim.NewWitnessSelector(now),
		live:     make(map[config.DomainName][]config.VMID),
		address:  make(map[config.VMID]netip.AddrPort),
		managers: make(map[managerKey]*manager),
		deposits: make(map[config.VMID]deposit),
		answers:  make(map[claim.AttemptID]*StoredResponse),
		leases:   make(map[config.VMID]map[leaseKey]bool),
		hints:    make(map[managerKey]int),
	}
	h.handlers = map[rpc.Method]rpc.Handler{
		methodClaim: h.serveClaim, methodClose: h.serveClose, methodFinish: h.serveFinish,
		methodWithdraw: h.serveWithdraw, methodAnswer: h.serveAnswer,
		methodDeposit: h.serveDeposit, methodRecover: h.serveRecover,
		methodAcquire: h.serveAcquire, methodRelease: h.serveRelease, methodRenew: h.serveRenew,
		methodTakeOver: h.serveTakeOver,
	}
	for m, f := range h.handlers {
		server.Handle(m, f)
	}
	return h
}

// SetConfig puts a configuration in force.
func (h *Holder) SetConfig(_ clock.Millis, f *config.File) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.file = f
}

// SetVMList takes the platform's list, from which witnesses are chosen.
func (h *Holder) SetVMList(now clock.Millis, vms []membership.VM) {
	list := make([]homes.VM, len(vms))
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, line := range vms {
		list[i] = homes.VM{ID: line.ID, Domain: line.Domain}
		h.address[line.ID] = line.RPC
	}
	h.roster.SetVMs(now, list)
}

// SetMembers takes the VMs that are alive, from which managers of slots are
// chosen.
func (h *Holder) SetMembers(_ clock.Millis, peers []membership.Peer) {
	h.mu.Lock()
	live := make(map[config.DomainName][]config.VMID)
	for _, p := range peers {
		h.address[p.ID] = p.RPC
		usable := p.State == membership.Alive || p.State == membership.Suspect
		if usable && p.Reachable {
			live[p.Domain] = append(live[p.Domain], p.ID)
		}
	}
	h.live = live
	moved := h.moveManagers()
	h.mu.Unlock()
	for _, m := range moved {
		go h.handManager(m)
	}
}

// call calls a method of a VM, directly if it is this one.
func (h *Holder) call(ctx context.Context, timeout clock.Millis, to config.VMID, m rpc.Method, params, result any) (err error) {
	if to == h.self {
		return h.callSelf(ctx, timeout, m, params, result)
	}
	h.mu.Lock()
	address, ok := h.address[to]
	h.mu.Unlock()
	if !ok {
		return eris.Errorf("holder: the address of %s is not known", to)
	}
	return h.pool.CallTimeout(ctx, timeout, address, m, params, result)
}

func (h *Holder) callSelf(ctx context.Context, timeout clock.Millis, m rpc.Method, params, result any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	raw, err := json.Marshal(params)
	if err != nil {
		return eris.Wrap(err, "holder: encode")
	}
	reply, err := h.handlers[m](ctx, raw)
	if err != nil {
		return err
	}
	raw, err = json.Marshal(reply)
	if err != nil {
		return eris.Wrap(err, "holder: encode")
	}
	return eris.Wrap(json.Unmarshal(raw, result), "holder: decode")
}

// Run looks after leases and queues until ctx ends.
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
		if now-renewed >= h.timers.LeaseMillis/4 {
			renewed = now
			h.renewAll(ctx)
		}
		if now-expired >= clock.Second {
			expired = now
			h.expire(now)
		}
	}
}

// Leave gives the claims and the leases of this VM into other hands.
func (h *Holder) Leave(ctx context.Context) {
	h.telling.Wait() // The witnesses learn what ran here.
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.decideMu.Lock() // Waits for decisions under way.
	h.decideMu.Unlock()
	h.depositClaims(ctx)
}

// decode reads a call's parameters.
func decode[T any](params json.RawMessage) (v T, err error) {
	err = eris.Wrap(json.Unmarshal(params, &v), "holder: decode")
	return v, err
}

// nothing is the result of calls that return none.
type nothing struct{}
