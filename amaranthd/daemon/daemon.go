package daemon

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/caller"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/fabric"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/holder"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/operator"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/publisher"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/settings"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/teardown"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/tracing"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/upstream"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/vm"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

// Daemon is the daemon of one VM.
type Daemon struct {
	control   *Controller
	engine    *steering.Engine
	path      *fabric.DataPath
	socket    *vm.Socket
	server    *rpc.Server
	pool      *rpc.Pool
	publisher *publisher.Client
	holder    *holder.Holder
	prober    *upstream.Prober
	gateway   *caller.Gateway

	publisherDown atomic.Bool
}

// Option configures a Daemon.
type Option func(*options)

type options struct {
	clk clock.Clock
}

// WithClock replaces the system clock.
func WithClock(clk clock.Clock) Option { return func(o *options) { o.clk = clk } }

// New builds the daemon and opens its listening sockets. Call Run to start the
// workers and control loops. The cleanup closes what New opened.
func New(ctx context.Context, set settings.Settings, log *slog.Logger, opts ...Option) (d *Daemon, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "daemon: build %s", set.VM) }()
	o := options{clk: clock.System()}
	for _, opt := range opts {
		opt(&o)
	}
	clean := &teardown.List{}
	c := dig.New()
	provide := func(constructor any) {
		if err == nil {
			err = c.Provide(constructor)
		}
	}
	provide(func() context.Context { return ctx })
	provide(func() *settings.Settings { return &set })
	provide(func() clock.Clock { return o.clk })
	provide(func() *slog.Logger { return log.With(slog.String("vm", string(set.VM))) })
	provide(func() *teardown.List { return clean })
	provide(provideEngine)
	provide(provideSocket)
	provide(providePool)
	provide(provideServer)
	provide(providePublisher)
	provide(newController)
	provide(providePath)
	provide(provideTracer)
	provide(provideOperator)
	provide(provideHolder)
	provide(provideProber)
	provide(provideGateway)
	provide(newDaemon)
	if err == nil {
		err = c.Invoke(func(built *Daemon) { d = built })
	}
	if err != nil {
		clean.Run()
		return nil, nil, err
	}
	return d, clean.Run, nil
}

func provideEngine(set *settings.Settings, clk clock.Clock) *steering.Engine {
	opts := []steering.Option{steering.WithLimits(set.Steering), steering.WithSeed(set.Seed)}
	switch set.Baseline {
	case "tableOnly":
		opts = append(opts, steering.WithPlacement(steering.TableOnly), steering.WithoutHomes())
	case "random":
		opts = append(opts, steering.WithPlacement(steering.Random), steering.WithoutHomes())
	}
	return steering.New(clk.Now(), set.VM, opts...)
}

func provideSocket(ctx context.Context, set *settings.Settings, clean *teardown.List) (*vm.Socket, error) {
	s, cleanup, err := vm.NewSocket(ctx, set.VM, set.Peer, set.SocketBufferBytes)
	if err == nil {
		clean.Add(cleanup)
	}
	return s, err
}

func providePool(set *settings.Settings, clean *teardown.List) *rpc.Pool {
	p, cleanup := rpc.NewPool(set.RPC.Addr(), set.Timers.CallMillis)
	clean.Add(cleanup)
	return p
}

func provideServer(ctx context.Context, set *settings.Settings, clean *teardown.List) (*rpc.Server, error) {
	s := rpc.NewServer()
	cleanup, err := s.Serve(ctx, set.RPC)
	if err == nil {
		clean.Add(cleanup)
	}
	return s, err
}

func providePublisher(set *settings.Settings, clean *teardown.List) *publisher.Client {
	c, cleanup := publisher.New(set.Platform, set.Timers.WatchMillis, set.Timers.WatchRetryMillis)
	clean.Add(cleanup)
	return c
}

func providePath(ctx context.Context, set *settings.Settings, engine *steering.Engine, control *Controller, socket *vm.Socket, clk clock.Clock, tracer *tracing.Tracer, clean *teardown.List) (*fabric.DataPath, error) {
	hooks := fabric.Hooks{
		Now:        clk.Now,
		Paused:     control.mustDrop,
		SendDetour: socket.SendDetour,
		Learn:      engine.Enqueue,
		Flush:      control.flushUrgent,
	}
	if set.TraceFile != "" {
		hooks.Trace = tracer.RecordPacket
	}
	p, cleanup, err := fabric.New(ctx, engine, set.Tunnel, set.FabricReply, hooks,
		fabric.WithWorkers(set.Workers), fabric.WithSocketBuffers(set.SocketBufferBytes))
	if err == nil {
		clean.Add(cleanup)
		control.setDataPath(p)
	}
	return p, err
}

// provideOperator starts the operators' HTTP server. It starts before the daemon
// is built; until then the status is nil.
func provideOperator(ctx context.Context, set *settings.Settings, control *Controller, clean *teardown.List) (*operator.Server, error) {
	status := func() any {
		if d := control.daemon.Load(); d != nil {
			return d.Status()
		}
		return nil
	}
	s, cleanup, err := operator.Start(ctx, set.Operator, status, control.ready)
	if err == nil {
		clean.Add(cleanup)
	}
	return s, err
}

// components are the dependencies of newDaemon, filled in by dig.
type components struct {
	dig.In

	Controller *Controller
	Engine     *steering.Engine
	Path       *fabric.DataPath
	Socket     *vm.Socket
	Server     *rpc.Server
	Pool       *rpc.Pool
	Publisher  *publisher.Client
	Holder     *holder.Holder
	Prober     *upstream.Prober
	Gateway    *caller.Gateway
	Operator   *operator.Server
}

func newDaemon(p components) *Daemon {
	d := &Daemon{
		control: p.Controller, engine: p.Engine, path: p.Path, socket: p.Socket, server: p.Server, pool: p.Pool,
		publisher: p.Publisher, holder: p.Holder, prober: p.Prober, gateway: p.Gateway,
	}
	p.Server.Handle(vm.GetConfig, p.Controller.serveConfig)
	p.Server.Handle(vm.HandOver, p.Controller.serveHandOver)
	p.Server.Handle(vm.GetStatus, d.serveStatus)
	p.Controller.daemon.Store(d)
	d.registerMetrics(p.Operator)
	return d
}

// Engine returns the daemon's steering engine.
func (d *Daemon) Engine() *steering.Engine { return d.engine }

// Run serves until ctx ends and then shuts down gracefully: it hands flows over
// and keeps forwarding for LeaveMillis before it returns. It returns at once
// with the first error of a component.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "daemon: run") }()
	c := d.control
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	injector := d.path.NewInjector()
	d.socket.SetHandlers(vm.SocketHandlers{
		Detour: func(h wire.DetourHeader, data []byte) {
			injector.Inject(c.clk.Now(), data, h.From, h.Hops, h.CachedUpstream)
			c.flushUrgent()
		},
		Datagram: func(kind wire.Kind, data []byte) { c.receive(work, kind, data) },
		Invalid:  func() { d.path.Counters.Malformed.Add(1) },
	})
	d.pool.OnTimeout = func(to netip.AddrPort) {
		event.Log(work, c.log, event.ChannelSilent, slog.String("address", to.String()))
	}
	ended := make(chan error, d.runnerCount())
	workers, n := d.path.Run(work)
	go forwardErrors(workers, n, ended)
	go forwardErrors(d.socket.Run(work), 1, ended)
	go func() { ended <- c.run(work) }()
	go func() { ended <- d.watch(work, publisher.ConfigKey, c.isWatcher, c.configPublished) }()
	go func() { ended <- d.watch(work, publisher.VMsKey, always, c.vmListPublished) }()
	go func() { ended <- d.holder.Run(work) }()
	go func() { ended <- d.prober.Run(work) }()
	go func() { ended <- d.gateway.Run() }()
	go d.recoverClaims(work)
	c.start()
	event.Log(ctx, c.log, event.DaemonStarted, slog.String("tunnel", c.set.Tunnel.String()))
	select {
	case err = <-ended:
	case <-ctx.Done():
		d.leave(work)
	}
	event.Log(work, c.log, event.DaemonStopped)
	return err
}

// runnerCount returns the number of goroutines that report when they end.
func (d *Daemon) runnerCount() int { return d.control.set.Workers + 7 }

// leave refuses new requests, hands flows, claims and leases over, and returns
// once the requests in flight are answered or DrainMillis has passed.
func (d *Daemon) leave(ctx context.Context) {
	d.gateway.StopAccepting()
	d.control.leave(ctx)
	drain, cancel := context.WithTimeout(ctx, d.control.set.Timers.DrainMillis.Duration())
	defer cancel()
	d.gateway.Drain(drain)
	d.holder.Leave(ctx)
}

func always() bool { return true }

// forwardErrors copies n results from one channel to another.
func forwardErrors(from <-chan error, n int, to chan<- error) {
	for range n {
		to <- <-from
	}
}

// watch follows a value of the configuration service and logs when the service
// becomes unavailable and available again.
func (d *Daemon) watch(ctx context.Context, key publisher.Key, allowed func() bool, got func(context.Context, []byte)) error {
	c := d.control
	d.publisher.Watch(ctx, key, allowed,
		func(body []byte) {
			if d.publisherDown.Swap(false) {
				event.Log(ctx, c.log, event.PlatformBack)
			}
			got(ctx, body)
		},
		func(err error) {
			if !d.publisherDown.Swap(true) {
				event.Log(ctx, c.log, event.PlatformDown, slog.String("key", string(key)), event.Error(err))
			}
		})
	return nil
}

// ConfigVersion returns the version of the active configuration.
func (d *Daemon) ConfigVersion() config.Version { return d.engine.Version() }
