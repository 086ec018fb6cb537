package daemon

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/fabric"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/settings"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/vm"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/rollout"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/tally"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

// Controller runs the control plane of one VM: membership, the exchange of
// flow counts, configuration rollout, and the messages that the steering
// engine queues for other VMs.
type Controller struct {
	set    *settings.Settings
	clk    clock.Clock
	log    *slog.Logger
	engine *steering.Engine
	path   *fabric.DataPath
	socket *vm.Socket
	pool   *rpc.Pool

	mu                sync.Mutex
	members           *membership.List
	flowCounts        *tally.Aggregator
	selector          *rollout.Selector
	vmList            []membership.VM
	leaving           bool
	fetching          bool
	lastPeerMessageAt clock.Millis
	// membersChangedAt is the time of the first membership change that has not
	// been applied yet, or zero.
	membersChangedAt clock.Millis
	// resumedAt is when the end of the last process pause was detected,
	// lastProbeBeforePause the sequence number of the last probe sent before
	// that, and peerAnswered whether a later probe was acknowledged.
	resumedAt            clock.Millis
	lastProbeBeforePause uint64
	peerAnswered         bool
	retained             []*rollout.ParsedFile

	// lastTick and resyncUntil, times in milliseconds, keep the data path from
	// forwarding after a process pause.
	startedAt   clock.Millis
	lastTick    atomic.Int64
	resyncUntil atomic.Int64

	// stallMu guards stalledAt, the time at which checkStall last told the engine.
	stallMu   sync.Mutex
	stalledAt clock.Millis

	// joined reports whether another VM has sent its member list, no other VM is
	// listed, or none has answered within twice PatienceMillis.
	joined atomic.Bool

	// peers is the last known state of all VMs.
	peers        atomic.Pointer[[]membership.Peer]
	activeConfig atomic.Pointer[rollout.ParsedFile]

	// OnConfig, OnMembers and OnVMList are called with mu held, after a new
	// configuration, a membership change and a new VM list from the platform.
	OnConfig  []func(now clock.Millis, f *config.File)
	OnMembers []func(now clock.Millis, peers []membership.Peer)
	OnVMList  []func(now clock.Millis, vms []membership.VM)
	// onColdRefusal is called when another VM reports that an upstream refused a
	// request because it is still warming up.
	onColdRefusal func(config.UpstreamID)
	// daemon is set once the daemon is built.
	daemon atomic.Pointer[Daemon]

	// flushMu guards the injector and the release of held packets.
	flushMu  sync.Mutex
	injector *fabric.Injector
}

// newController returns a Controller that has no data path yet.
func newController(set *settings.Settings, clk clock.Clock, log *slog.Logger, engine *steering.Engine, socket *vm.Socket, pool *rpc.Pool) *Controller {
	now := clk.Now()
	c := &Controller{
		set: set, clk: clk, log: log, engine: engine, socket: socket, pool: pool,
		members:    membership.New(now, set.VMRecord(), set.Members, set.Seed),
		flowCounts: tally.NewAggregator(tally.Peer{ID: set.VM, Domain: set.Domain}, set.Tally),
		selector:   rollout.NewSelector(now, set.Timers.PatienceMillis),
	}
	c.startedAt = now
	c.lastTick.Store(int64(now))
	empty := c.members.Snapshot()
	c.peers.Store(&empty)
	return c
}

// start adds the seed VMs from the settings to the member list. Call it once
// all hooks are registered.
func (c *Controller) start() {
	if len(c.set.Seeds) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setVMList(c.clk.Now(), c.set.Seeds)
}

// setDataPath sets the data path and creates the injector for held packets.
func (c *Controller) setDataPath(p *fabric.DataPath) {
	c.path = p
	c.injector = p.NewInjector()
}

// ready reports whether the fabric may send packets to this VM: it has a
// configuration, is not leaving and is not paused.
func (c *Controller) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.selector.Active() != nil && !c.leaving && !c.paused(c.clk.Now())
}

// run calls tick at each period of the control loop until ctx ends.
func (c *Controller) run(ctx context.Context) error {
	t := time.NewTicker(c.set.Timers.TickMillis.Duration())
	defer t.Stop()
	engineAt := c.clk.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := c.clk.Now()
		c.checkPause(ctx, now)
		c.tick(ctx, now)
		if now-engineAt >= 100 {
			engineAt = now
			for _, r := range c.engine.Tick(now) {
				c.path.SendReset(r.Segment)
			}
		}
		c.flush()
	}
}

// tick runs the timers of membership, flow counts and configuration rollout.
func (c *Controller) tick(ctx context.Context, now clock.Millis) {
	if !c.joined.Load() && now-c.startedAt >= 2*c.set.Timers.PatienceMillis {
		c.joined.Store(true)
	}
	c.mu.Lock()
	probes := c.members.Tick(now)
	if c.selector.Tick(now) {
		probes = append(probes, c.activateConfig(ctx, now)...)
	}
	if c.membersChangeDue(now) {
		c.applyMembers(ctx, now)
	}
	reports := c.flowCounts.Tick(now, c.engine.LocalFlows, c.engine.SetRemoteFlows)
	c.mu.Unlock()
	c.sendProbes(probes)
	c.sendReports(reports)
}

func (c *Controller) sendReports(list []tally.Envelope) {
	for _, s := range list {
		_ = c.socket.Send(s.To, wire.Tally, s.Report)
	}
}

func (c *Controller) sendProbes(list []membership.Envelope) {
	for _, s := range list {
		_ = c.socket.SendTo(s.To.Peer, wire.Membership, s.Msg)
	}
}
