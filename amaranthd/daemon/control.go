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

// Control runs the decisions that are not about single packets.
type Control struct {
	set    *settings.Settings
	clk    clock.Clock
	log    *slog.Logger
	engine *steering.Engine
	path   *fabric.Path
	socket *vm.Socket
	pool   *rpc.Pool

	mu       sync.Mutex
	list     *membership.List
	board    *tally.Aggregator
	gate     *rollout.Selector
	listed   []membership.VM
	leaving  bool
	fetching bool
	heardAt  clock.Millis
	// changedAt is the time of the first change of the membership that was
	// not acted on yet, or zero.
	changedAt clock.Millis
	// wokeAt is the end of the last pause, wokeSeq the last probe sent before
	// it, and told whether a later probe was answered.
	wokeAt  clock.Millis
	wokeSeq uint64
	told    bool
	bodies  []*rollout.ParsedFile

	// lastTick and resyncUntil guard the data path after a pause.
	started     clock.Millis
	lastTick    atomic.Int64
	resyncUntil atomic.Int64

	// joined tells that another VM told of all VMs, or that none answers.
	joined atomic.Bool

	// snapshot is the last known state of all VMs.
	snapshot atomic.Pointer[[]membership.Peer]
	inForce  atomic.Pointer[rollout.ParsedFile]

	// OnConfig and OnMembers are called after a change, with mu held.
	OnConfig  []func(now clock.Millis, f *config.File)
	OnMembers []func(now clock.Millis, peers []membership.Peer)
	OnListed  []func(now clock.Millis, vms []membership.VM)
	// coldReported takes a report that an upstream refused as not yet warm.
	coldReported func(config.UpstreamID)
	// daemon is set once the daemon is built.
	daemon atomic.Pointer[Daemon]

	// flushMu guards release and the injector.
	flushMu  sync.Mutex
	injector *fabric.Injector
}

// newControl connects the decisions of one VM.
func newControl(set *settings.Settings, clk clock.Clock, log *slog.Logger, engine *steering.Engine, socket *vm.Socket, pool *rpc.Pool) *Control {
	now := clk.Now()
	c := &Control{
		set: set, clk: clk, log: log, engine: engine, socket: socket, pool: pool,
		list:  membership.New(now, set.Line(), set.Members, set.Seed),
		board: tally.NewAggregator(tally.Peer{ID: set.VM, Domain: set.Domain}, set.Tally),
		gate:  rollout.NewSelector(now, set.Timers.PatienceMillis),
	}
	c.started = now
	c.lastTick.Store(int64(now))
	empty := c.list.Snapshot()
	c.snapshot.Store(&empty)
	return c
}

// start takes the seeds, once all parts are connected.
func (c *Control) start() {
	if len(c.set.Seeds) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setListed(c.clk.Now(), c.set.Seeds)
}

// attach gives the control its data path.
func (c *Control) attach(p *fabric.Path) {
	c.path = p
	c.injector = p.NewInjector()
}

// ready reports whether the fabric may send packets to this VM.
func (c *Control) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Active() != nil && !c.leaving && !c.paused(c.clk.Now())
}

// run ticks until ctx ends.
func (c *Control) run(ctx context.Context) error {
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

// tick runs the timers of membership, sums and configuration.
func (c *Control) tick(ctx context.Context, now clock.Millis) {
	if !c.joined.Load() && now-c.started >= 2*c.set.Timers.PatienceMillis {
		c.joined.Store(true)
	}
	c.mu.Lock()
	probes := c.list.Tick(now)
	if c.gate.Tick(now) {
		probes = append(probes, c.inForceChanged(ctx, now)...)
	}
	if c.changeDue(now) {
		c.membersChanged(ctx, now)
	}
	reports := c.board.Tick(now, c.engine.LocalFlows, c.engine.SetRemoteFlows)
	c.mu.Unlock()
	c.sendProbes(probes)
	c.sendReports(reports)
}

func (c *Control) sendReports(list []tally.Envelope) {
	for _, s := range list {
		_ = c.socket.Send(s.To, wire.Tally, s.Report)
	}
}

func (c *Control) sendProbes(list []membership.Envelope) {
	for _, s := range list {
		_ = c.socket.SendTo(s.To.Peer, wire.Membership, s.Msg)
	}
}
