package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/dig"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/operator"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/teardown"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
)

const (
	pruneInterval = 5 * clock.Second
	// drainQuiet is the time without packets after which a stopping daemon exits.
	drainQuiet clock.Millis = 600
	// minDrain is the shortest time for which a stopping daemon keeps forwarding:
	// the fabric withdraws the VM only after two failed readiness probes.
	minDrain clock.Millis = 1200
	// shutdownReserve is the part of Settings.StopMillis that is left for cleanup
	// after the drain.
	shutdownReserve clock.Millis = 500
)

// Daemon is the daemon of one entry VM.
type Daemon struct {
	settings   Settings
	clk        clock.Clock
	log        *slog.Logger
	engine     *forward.Engine
	dataPath   *dataPath
	replicator *replicator
	peers      *peers
	pauses     *pauseDetector
	overload   *overloadControl
	pool       *rpc.Pool
	server     *rpc.Server
	latencies  *latencyObservers
	started    clock.Millis

	linesDropped func() int64
	leaving      atomic.Bool
	stopTime     atomic.Int64 // clock.Millis; Settings.StopMillis as last applied
}

// latencyObservers receive latencies measured by the engine and by the replicator.
// They are set before the first packet and not changed after that.
type latencyObservers struct {
	opened, answered, activated func(took clock.Millis)
}

// Option configures a Daemon.
type Option func(*options)

type options struct {
	clk          clock.Clock
	policy       forward.Policy
	linesDropped func() int64
}

// WithClock replaces the system clock.
func WithClock(clk clock.Clock) Option { return func(o *options) { o.clk = clk } }

// WithPolicy replaces the default placement policy.
func WithPolicy(p forward.Policy) Option { return func(o *options) { o.policy = p } }

// WithLinesDropped sets the function that returns the number of dropped log lines,
// for the metrics.
func WithLinesDropped(read func() int64) Option { return func(o *options) { o.linesDropped = read } }

// New builds the daemon and opens its sockets. Nothing runs before Run is called.
// The cleanup function closes what New opened. On error New cleans up itself and
// returns no cleanup function.
func New(ctx context.Context, settings Settings, a Adapter, log *slog.Logger, opts ...Option) (d *Daemon, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "entry: build %s", settings.VM) }()
	o := options{clk: clock.System(), policy: forward.DefaultPolicy(), linesDropped: func() int64 { return 0 }}
	for _, opt := range opts {
		opt(&o)
	}
	// Open the packet socket first, so that its buffer holds packets that arrive
	// while the other parts are built.
	conn, err := listenPackets(ctx, settings.Packets)
	if err != nil {
		return nil, nil, err
	}
	cleanups := &teardown.List{}
	cleanups.Add(func() { _ = conn.Close() })
	c := dig.New()
	for _, constructor := range []any{
		func() context.Context { return ctx },
		func() *net.UDPConn { return conn },
		func() *Settings { return &settings },
		func() *Adapter { return &a },
		func() *options { return &o },
		func() *slog.Logger { return log.With(slog.String("vm", string(settings.VM))) },
		func() *teardown.List { return cleanups },
		func() *latencyObservers {
			ignore := func(clock.Millis) {}
			return &latencyObservers{opened: ignore, answered: ignore, activated: ignore}
		},
		providePauseDetector, provideEngine, provideReplicator, provideDataPath, providePool, provideServer, providePeers, newOverloadControl, newDaemon,
	} {
		if err = c.Provide(constructor); err != nil {
			cleanups.Run()
			return nil, nil, err
		}
	}
	if err = c.Invoke(func(built *Daemon) { d = built }); err != nil {
		cleanups.Run()
		return nil, nil, err
	}
	return d, cleanups.Run, nil
}

func provideEngine(settings *Settings, o *options, obs *latencyObservers, log *slog.Logger) *forward.Engine {
	callbacks := decisionLogger(log)
	callbacks.Opened = func(took clock.Millis) { obs.opened(took) }
	callbacks.Answered = func(took clock.Millis) { obs.answered(took) }
	return forward.New(settings.VM, settings.Domain, forward.WithPolicy(o.policy), forward.WithHooks(callbacks))
}

func providePauseDetector(o *options) *pauseDetector { return newPauseDetector(o.clk, time.Now) }

func provideReplicator(settings *Settings, a *Adapter, o *options, pauses *pauseDetector, engine *forward.Engine, obs *latencyObservers, log *slog.Logger) *replicator {
	publish := func(c *catalog.Catalog) {
		engine.SetCatalog(c)
		pauses.markVerified(0) // at the start a copy from another VM is sufficient
	}
	r := newReplicator(a, o.clk, pauses, log, settings.HeartbeatMillis, publish)
	r.onActive = func(pending clock.Millis) { obs.activated(pending) }
	return r
}

func provideDataPath(conn *net.UDPConn, a *Adapter, engine *forward.Engine, r *replicator, o *options, pauses *pauseDetector, log *slog.Logger) *dataPath {
	return newDataPath(conn, a, engine, o.clk, pauses, requestLog{log: log, localCopy: r.localCopy, clk: o.clk}, r.requestRead)
}

func providePool(settings *Settings, cleanups *teardown.List) *rpc.Pool {
	p, cleanup := rpc.NewPool(settings.listenAddress().Addr(), callTimeout)
	cleanups.Add(cleanup)
	return p
}

func provideServer(ctx context.Context, settings *Settings, cleanups *teardown.List) (*rpc.Server, error) {
	s := rpc.NewServer()
	cleanup, err := s.Serve(ctx, settings.listenAddress())
	if err == nil {
		cleanups.Add(cleanup)
	}
	return s, err
}

func providePeers(ctx context.Context, settings *Settings, engine *forward.Engine, r *replicator, pool *rpc.Pool, server *rpc.Server, o *options, log *slog.Logger, cleanups *teardown.List) (*peers, error) {
	p, cleanup, err := newPeers(ctx, settings, engine, r, pool, server, o.clk, log)
	if err == nil {
		cleanups.Add(cleanup)
	}
	return p, err
}

// dependencies are the parts that newDaemon gets from the container.
type dependencies struct {
	dig.In

	Settings   *Settings
	Adapter    *Adapter
	Options    *options
	Log        *slog.Logger
	Engine     *forward.Engine
	DataPath   *dataPath
	Replicator *replicator
	Peers      *peers
	Pauses     *pauseDetector
	Overload   *overloadControl
	Pool       *rpc.Pool
	Server     *rpc.Server
	Latencies  *latencyObservers
	Cleanups   *teardown.List
}

func newDaemon(ctx context.Context, p dependencies) (d *Daemon, err error) {
	d = &Daemon{
		settings: *p.Settings, clk: p.Options.clk, log: p.Log, engine: p.Engine, dataPath: p.DataPath, replicator: p.Replicator, peers: p.Peers, pauses: p.Pauses, overload: p.Overload,
		pool: p.Pool, server: p.Server, latencies: p.Latencies, started: p.Options.clk.Now(), linesDropped: p.Options.linesDropped,
	}
	d.stopTime.Store(int64(p.Settings.StopMillis))
	p.Replicator.onUpdate = p.Peers.sendUpdate
	p.DataPath.awaitHistory = p.Peers.history.wait
	p.Replicator.awaitHistory = p.Peers.history.await
	p.Pauses.onPause = d.onPause
	p.Server.Handle(methodStatus, d.serveStatus)
	cleanup, err := d.serveReady(ctx, p.Settings.Ready, p.Adapter.ReadyPath)
	if err != nil {
		return nil, err
	}
	p.Cleanups.Add(cleanup)
	return d, d.serveOperators(ctx, p.Settings.Metrics, p.Cleanups)
}

// serveOperators starts the HTTP server for metrics, status and queries. It does nothing if
// address is not valid.
func (d *Daemon) serveOperators(ctx context.Context, address netip.AddrPort, cleanups *teardown.List) error {
	if !address.IsValid() {
		return nil
	}
	s, cleanup, err := operator.Start(ctx, address, func() any { return d.status() }, d.ready)
	if err != nil {
		return err
	}
	cleanups.Add(cleanup)
	d.registerMetrics(s)
	s.HandleQuery(wherePath, d.where)
	return nil
}

// serveReady starts the HTTP server for the readiness probe of the fabric.
func (d *Daemon) serveReady(ctx context.Context, address netip.AddrPort, path string) (cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "entry: serve %s", address) }()
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp4", address.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(ln) }()
	return func() { _ = srv.Close(); <-ended }, nil
}

// ready reports whether the fabric may send packets to this VM.
func (d *Daemon) ready() bool {
	return !d.leaving.Load() && d.engine.Ready() && !d.peers.reportNotReady.Load() && !d.overload.reportNotReady.Load()
}

// Run runs the daemon until ctx is done, and then drains it. It returns an error
// if one of its parts fails. Call the cleanup function of New afterwards.
func (d *Daemon) Run(ctx context.Context) error {
	event.Log(ctx, d.log, event.DaemonStarted, slog.String("domain", string(d.settings.Domain)),
		slog.String("packets", d.settings.Packets.String()), slog.Int("seeds", len(d.settings.Seeds)))
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	errs := make(chan error, 5)
	for _, part := range []func(context.Context) error{d.dataPath.run, d.replicator.run, d.peers.read, d.peers.run, d.peers.transfer.run} {
		go func() { errs <- part(inner) }()
	}
	err := d.runPeriodicTasks(ctx, errs)
	if err == nil {
		d.drain(ctx)
	}
	event.Log(ctx, d.log, event.DaemonStopped, slog.Any("error", err))
	return err
}

// runPeriodicTasks runs the timers of the daemon until ctx is done, which returns
// nil, or until a part ends, which returns its error.
func (d *Daemon) runPeriodicTasks(ctx context.Context, errs <-chan error) error {
	ticker := time.NewTicker(forward.TickInterval.Duration())
	defer ticker.Stop()
	lastPruned := d.clk.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-errs:
			return err
		case <-ticker.C:
		}
		d.pauses.poll()
		now := d.clk.Now()
		d.engine.Tick(now)
		d.overload.poll(ctx, now)
		d.peers.sendSuspicions()
		if now-lastPruned > pruneInterval {
			lastPruned = now
			d.replicator.prune()
		}
	}
}

// onPause logs a pause of the process and requests a read, since the copy of the
// published items may be outdated.
func (d *Daemon) onPause(gap clock.Millis) {
	event.Log(context.Background(), d.log, event.PauseDetected, slog.Int64("gapMillis", int64(gap)))
	d.replicator.requestRead()
}

// drain reports the VM as not ready and keeps forwarding until no packet has
// arrived for drainQuiet, but at least for minDrain and at most until StopMillis
// less shutdownReserve.
func (d *Daemon) drain(ctx context.Context) {
	event.Log(ctx, d.log, event.DaemonLeaving)
	d.leaving.Store(true)
	d.overload.stop()
	d.peers.leave()
	start := d.clk.Now()
	for {
		time.Sleep(forward.TickInterval.Duration())
		now := d.clk.Now()
		quiet := now - clock.Millis(d.dataPath.lastPacketAt.Load())
		if now-start >= clock.Millis(d.stopTime.Load())-shutdownReserve || now-start >= minDrain && quiet >= drainQuiet {
			return
		}
	}
}

// ApplySettings applies the settings that can change while the daemon runs, which
// are the seeds and StopMillis. It ignores all other fields.
func (d *Daemon) ApplySettings(ctx context.Context, settings Settings) {
	d.peers.setSeeds(settings.Seeds)
	d.stopTime.Store(int64(settings.StopMillis))
	event.Log(ctx, d.log, event.SettingsTaken, slog.Int("seeds", len(settings.Seeds)))
}
