package daemon

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/fabric"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/settings"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/vm"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/rollout"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/tally"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

const (
	// itemsPerDatagram keeps a batch of statements below a usual MTU.
	itemsPerDatagram = 32
	// queueDrainMillis is the least time after a pause in which packets are
	// dropped, so that what queued up meanwhile is not taken for new.
	queueDrainMillis = 300
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
	board    *tally.Board
	gate     *rollout.Gate
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
	bodies  []*rollout.Candidate

	// lastTick and resyncUntil guard the data path after a pause.
	started     clock.Millis
	lastTick    atomic.Int64
	resyncUntil atomic.Int64

	// joined tells that another VM told of all VMs, or that none answers.
	joined atomic.Bool

	// snapshot is the last known state of all VMs.
	snapshot atomic.Pointer[[]membership.Peer]
	inForce  atomic.Pointer[rollout.Candidate]

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
		board: tally.NewBoard(tally.Peer{ID: set.VM, Domain: set.Domain}, set.Tally),
		gate:  rollout.NewGate(now, set.Timers.PatienceMillis),
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

// paused reports whether the data path may not forward, because the process
// stood still and its state may be old, or just started and does not know the
// other homes.
func (c *Control) paused(now clock.Millis) bool {
	return !c.joined.Load() || now-clock.Millis(c.lastTick.Load()) > c.set.Timers.PauseMillis || int64(now) < c.resyncUntil.Load()
}

// ready reports whether the fabric may send packets to this VM.
func (c *Control) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.InForce() != nil && !c.leaving && !c.paused(c.clk.Now())
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

// checkPause notices that the process stood still and begins to ask others
// what changed meanwhile.
func (c *Control) checkPause(ctx context.Context, now clock.Millis) {
	gap := now - clock.Millis(c.lastTick.Load())
	if gap > c.set.Timers.PauseMillis {
		// At once, so that an answer from before the pause, which may be handled
		// meanwhile, does not end the guard.
		c.mu.Lock()
		c.heardAt, c.wokeAt, c.told = 0, now, false
		c.wokeSeq = c.list.LastProbe()
		c.resyncUntil.Store(int64(now + c.set.Timers.ResyncMillis))
		sends := c.list.Announce(now)
		c.mu.Unlock()
		c.engine.Woke(now)
		event.Log(ctx, c.log, event.PauseDetected, slog.Int64("gapMillis", int64(gap)))
		c.sendProbes(sends)
	}
	c.lastTick.Store(int64(now))
}

// resynced ends the guard of the data path once another VM has told what is
// in force and it has been taken.
func (c *Control) resynced(ctx context.Context, now clock.Millis) {
	if int64(now) < c.resyncUntil.Load() && !c.fetching && c.told {
		c.told = false
		c.resyncUntil.Store(int64(c.wokeAt + queueDrainMillis))
		event.Log(ctx, c.log, event.PauseOver)
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
	reports := c.board.Tick(now, c.engine.Count, c.engine.SetRemote)
	c.mu.Unlock()
	c.sendProbes(probes)
	c.sendReports(reports)
}

func (c *Control) sendReports(list []tally.Send) {
	for _, s := range list {
		_ = c.socket.Send(s.To, wire.Tally, s.Report)
	}
}

func (c *Control) sendProbes(list []membership.Send) {
	for _, s := range list {
		_ = c.socket.SendTo(s.To.Peer, wire.Membership, s.Msg)
	}
}

// setListed takes the platform's list.
func (c *Control) setListed(now clock.Millis, vms []membership.VM) {
	c.listed = vms
	c.list.Listed(now, vms)
	c.engine.SetGateways(now, gateways(vms))
	for _, f := range c.OnListed {
		f(now, vms)
	}
	for _, line := range vms {
		if line.ID == c.set.VM && line.Leaving && !c.leaving {
			c.list.SetHome(false)
		}
	}
}

// gateways lists the VMs that take flows of services of kind request.
func gateways(vms []membership.VM) (list []config.Upstream) {
	for _, line := range vms {
		if !line.GatewayTunnel.IsValid() {
			continue
		}
		u := config.Upstream{Name: config.UpstreamName(line.ID), Domain: line.Domain, Address: line.GatewayTunnel.String(), State: config.UpstreamActive}
		if line.Leaving {
			u.State = config.UpstreamDrain
		}
		list = append(list, u)
	}
	return list
}

// changeDue reports whether it is time to act on changes of the membership.
// Changes that follow each other closely are taken together, since each moves
// homes. The caller holds mu.
func (c *Control) changeDue(now clock.Millis) bool {
	if c.list.Changed() && c.changedAt == 0 {
		c.changedAt = now
	}
	return c.changedAt != 0 && now-c.changedAt >= c.set.Timers.GatherMillis
}

// membersChanged tells all parts which VMs there are.
func (c *Control) membersChanged(ctx context.Context, now clock.Millis) {
	c.changedAt = 0
	peers := c.list.Snapshot()
	before := *c.snapshot.Load()
	c.snapshot.Store(&peers)
	dir := make(vm.Directory)
	var m steering.Membership
	var active []tally.Peer
	known := make(map[config.VMID]bool)
	for _, p := range peers {
		dir[p.ID] = p.VM
		if p.State == membership.Dead || p.State == membership.Unknown {
			continue
		}
		known[p.ID] = true
		m.Live = append(m.Live, p.ID)
		m.Listed = append(m.Listed, p.ID)
		if !p.Reachable {
			m.Unusable = append(m.Unusable, p.ID)
		}
		if p.Home {
			m.Homes = append(m.Homes, homes.VM{ID: p.ID, Domain: p.Domain})
		}
		if p.Reachable && p.State != membership.Leaving {
			active = append(active, tally.Peer{ID: p.ID, Domain: p.Domain})
		}
	}
	for _, line := range c.listed {
		if !known[line.ID] {
			m.Listed = append(m.Listed, line.ID)
		}
	}
	c.socket.SetDirectory(dir)
	c.engine.SetMembers(now, m)
	c.board.SetPeers(active)
	for _, f := range c.OnMembers {
		f(now, peers)
	}
	c.logMembers(ctx, before, peers)
}

func (c *Control) logMembers(ctx context.Context, before, after []membership.Peer) {
	was := make(map[config.VMID]membership.State, len(before))
	for _, p := range before {
		was[p.ID] = p.State
	}
	for _, p := range after {
		if was[p.ID] != p.State {
			event.Log(ctx, c.log, event.VMChanged, slog.String("vm", string(p.ID)),
				slog.String("from", was[p.ID].String()), slog.String("to", p.State.String()))
		}
	}
}

// receive takes a datagram of another VM.
func (c *Control) receive(ctx context.Context, kind wire.Kind, data []byte) {
	now := c.clk.Now()
	var err error
	switch kind {
	case wire.Membership:
		var msg membership.Message
		if err = wire.Decode(data, &msg); err == nil {
			c.receiveProbe(ctx, now, msg)
		}
	case wire.Flows:
		var b wire.FlowBatch
		if err = wire.Decode(data, &b); err == nil {
			c.receiveFlows(now, b)
		}
	case wire.Tally:
		var r tally.Report
		if err = wire.Decode(data, &r); err == nil {
			c.mu.Lock()
			out := c.board.Receive(now, r, c.engine.SetRemote)
			c.mu.Unlock()
			c.sendReports(out)
		}
	case wire.Health:
		var b HealthBatch
		if err = wire.Decode(data, &b); err == nil {
			c.receiveHealth(now, b)
		}
	}
	if err != nil {
		event.Log(ctx, c.log, event.MessageInvalid, slog.String("error", err.Error()))
	}
}

func (c *Control) receiveFlows(now clock.Millis, b wire.FlowBatch) {
	if _, listed := c.socket.Directory()[b.From]; !listed {
		return
	}
	paused := c.paused(now)
	for _, item := range b.Items {
		if paused && item.Kind == steering.Answer {
			continue // It may have waited in the socket while the process stood still.
		}
		c.engine.Receive(now, b.From, item.Message())
	}
	c.flushUrgent()
}

func (c *Control) receiveProbe(ctx context.Context, now clock.Millis, msg membership.Message) {
	c.mu.Lock()
	out, ok := c.list.Receive(now, msg)
	if ok {
		c.heardAt = now
		c.told = c.told || msg.Kind == membership.Ack && msg.Seq > c.wokeSeq
		c.peerTold(ctx, now, msg)
	}
	c.mu.Unlock()
	c.sendProbes(out)
}

// flushUrgent sends what the engine queued if it should not wait.
func (c *Control) flushUrgent() {
	if c.engine.Urgent() {
		c.flush()
	}
}

// flush sends the engine's messages, one batch for each VM, and handles the
// packets that no longer wait.
func (c *Control) flush() {
	messages, releases := c.engine.Take()
	if len(messages) == 0 && len(releases) == 0 {
		return
	}
	byVM := make(map[config.VMID][]wire.FlowItem)
	for _, m := range messages {
		byVM[m.To] = append(byVM[m.To], wire.Item(m))
	}
	for to, items := range byVM {
		for len(items) > 0 {
			n := min(itemsPerDatagram, len(items))
			_ = c.socket.Send(to, wire.Flows, wire.FlowBatch{From: c.set.VM, Items: items[:n]})
			items = items[n:]
		}
	}
	if len(releases) == 0 {
		return
	}
	c.flushMu.Lock()
	defer c.flushMu.Unlock()
	now := c.clk.Now()
	for _, r := range releases {
		if c.paused(now) {
			r.Discard, r.Reason = true, steering.Paused
		}
		c.injector.Release(now, r)
	}
}

// address returns where a VM serves calls.
func (c *Control) address(id config.VMID) (netip.AddrPort, bool) {
	line, ok := c.socket.Directory()[id]
	return line.RPC, ok
}
