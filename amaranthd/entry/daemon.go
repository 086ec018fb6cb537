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
	tickEvery   clock.Millis = 50
	forgetEvery              = 5 * clock.Second
	// stopQuiet is how long no packet must come before a stopping daemon ends.
	stopQuiet clock.Millis = 600
	// stopLeast is how long a stopping daemon forwards at least: the fabric
	// must have missed two answers.
	stopLeast clock.Millis = 1200
	// stopReserve is what a stopping daemon leaves of the time that it has.
	stopReserve clock.Millis = 500
)

// Daemon is the daemon of one entry VM.
type Daemon struct {
	set     Settings
	clk     clock.Clock
	log     *slog.Logger
	engine  *forward.Engine
	path    *path
	keeper  *keeper
	peers   *peers
	pauses  *pauses
	pool    *rpc.Pool
	server  *rpc.Server
	observe *observers
	started clock.Millis

	linesDropped func() int64
	leaving      atomic.Bool
}

// observers take durations. They are set once before packets come.
type observers struct {
	opened, answered func(took clock.Millis)
}

// Option configures a Daemon.
type Option func(*options)

type options struct {
	clk          clock.Clock
	policy       forward.Policy
	linesDropped func() int64
}

// WithClock replaces the system's clock.
func WithClock(clk clock.Clock) Option { return func(o *options) { o.clk = clk } }

// WithPolicy replaces the policy of placement.
func WithPolicy(p forward.Policy) Option { return func(o *options) { o.policy = p } }

// WithLinesDropped tells where the number of log lines left out is read.
func WithLinesDropped(read func() int64) Option { return func(o *options) { o.linesDropped = read } }

// New builds the daemon and opens its addresses. Nothing runs before Run; the
// cleanup closes what was opened.
func New(ctx context.Context, set Settings, a Adapter, log *slog.Logger, opts ...Option) (d *Daemon, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "entry: build %s", set.VM) }()
	o := options{clk: clock.System(), policy: forward.DefaultPolicy(), linesDropped: func() int64 { return 0 }}
	for _, opt := range opts {
		opt(&o)
	}
	// Packets wait in the socket while the rest is built.
	conn, err := openPackets(ctx, set.Packets)
	if err != nil {
		return nil, nil, err
	}
	clean := &teardown.List{}
	clean.Add(func() { _ = conn.Close() })
	c := dig.New()
	for _, constructor := range []any{
		func() context.Context { return ctx },
		func() *net.UDPConn { return conn },
		func() *Settings { return &set },
		func() *Adapter { return &a },
		func() *options { return &o },
		func() *slog.Logger { return log.With(slog.String("vm", string(set.VM))) },
		func() *teardown.List { return clean },
		func() *observers { return &observers{opened: func(clock.Millis) {}, answered: func(clock.Millis) {}} },
		providePauses, provideEngine, provideKeeper, providePath, providePool, provideServer, providePeers, newDaemon,
	} {
		if err = c.Provide(constructor); err != nil {
			clean.Run()
			return nil, nil, err
		}
	}
	if err = c.Invoke(func(built *Daemon) { d = built }); err != nil {
		clean.Run()
		return nil, nil, err
	}
	return d, clean.Run, nil
}

func provideEngine(set *Settings, o *options, obs *observers, log *slog.Logger) *forward.Engine {
	seams := logDecisions(log)
	seams.Opened = func(took clock.Millis) { obs.opened(took) }
	seams.Answered = func(took clock.Millis) { obs.answered(took) }
	return forward.New(set.VM, set.Domain, forward.WithPolicy(o.policy), forward.WithHooks(seams))
}

func providePauses(o *options) *pauses { return newPauses(o.clk, time.Now) }

func provideKeeper(set *Settings, a *Adapter, o *options, ps *pauses, engine *forward.Engine, log *slog.Logger) *keeper {
	publish := func(c *catalog.Catalog) {
		engine.SetCatalog(c)
		ps.check(0) // the first copy may come from another VM
		event.Log(context.Background(), log, event.CatalogTaken, slog.Uint64("version", uint64(c.Config.Version)),
			slog.Uint64("revision", uint64(c.Revision)), slog.Int("routes", len(c.Config.Routes)),
			slog.Int("upstreams", c.UpstreamCount()), slog.Any("domainsOut", c.DomainsOut()))
	}
	return newKeeper(a, o.clk, ps, log, set.HeartbeatMillis, publish)
}

func providePath(conn *net.UDPConn, a *Adapter, engine *forward.Engine, k *keeper, o *options, ps *pauses, log *slog.Logger) *path {
	return newPath(conn, a, engine, o.clk, ps, requestLog{log: log, held: k.held, clk: o.clk}, k.reread)
}

func providePool(set *Settings, clean *teardown.List) *rpc.Pool {
	p, cleanup := rpc.NewPool(set.listen().Addr(), callWait)
	clean.Add(cleanup)
	return p
}

func provideServer(ctx context.Context, set *Settings, clean *teardown.List) (*rpc.Server, error) {
	s := rpc.NewServer()
	cleanup, err := s.Serve(ctx, set.listen())
	if err == nil {
		clean.Add(cleanup)
	}
	return s, err
}

func providePeers(ctx context.Context, set *Settings, engine *forward.Engine, k *keeper, pool *rpc.Pool, server *rpc.Server, o *options, log *slog.Logger, clean *teardown.List) (*peers, error) {
	p, cleanup, err := newPeers(ctx, set, engine, k, pool, server, o.clk, log)
	if err == nil {
		clean.Add(cleanup)
	}
	return p, err
}

// parts are what a Daemon is made of.
type parts struct {
	dig.In

	Set     *Settings
	Adapter *Adapter
	Options *options
	Log     *slog.Logger
	Engine  *forward.Engine
	Path    *path
	Keeper  *keeper
	Peers   *peers
	Pauses  *pauses
	Pool    *rpc.Pool
	Server  *rpc.Server
	Observe *observers
	Clean   *teardown.List
}

func newDaemon(ctx context.Context, p parts) (d *Daemon, err error) {
	d = &Daemon{
		set: *p.Set, clk: p.Options.clk, log: p.Log, engine: p.Engine, path: p.Path, keeper: p.Keeper, peers: p.Peers, pauses: p.Pauses,
		pool: p.Pool, server: p.Server, observe: p.Observe, started: p.Options.clk.Now(), linesDropped: p.Options.linesDropped,
	}
	p.Keeper.news = p.Peers.news
	p.Pauses.noticed = d.paused
	p.Server.Handle(methodStatus, d.serveStatus)
	cleanup, err := d.serveReady(ctx, p.Set.Ready, p.Adapter.ReadyPath)
	if err != nil {
		return nil, err
	}
	p.Clean.Add(cleanup)
	return d, d.serveOperators(ctx, p.Set.Metrics, p.Clean)
}

// serveOperators serves metrics and the status, if an address is set.
func (d *Daemon) serveOperators(ctx context.Context, address netip.AddrPort, clean *teardown.List) error {
	if !address.IsValid() {
		return nil
	}
	s, cleanup, err := operator.Start(ctx, address, func() any { return d.status() }, d.ready)
	if err != nil {
		return err
	}
	clean.Add(cleanup)
	d.registerMetrics(s)
	return nil
}

// serveReady answers the fabric's question whether this VM takes packets.
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

// ready reports whether this VM takes packets.
func (d *Daemon) ready() bool {
	return !d.leaving.Load() && d.engine.Ready() && !d.peers.stranded.Load()
}

// Run runs the daemon until ctx ends, and then until it has stopped taking
// packets. The cleanup returned by New must follow.
func (d *Daemon) Run(ctx context.Context) error {
	event.Log(ctx, d.log, event.DaemonStarted, slog.String("domain", string(d.set.Domain)),
		slog.String("packets", d.set.Packets.String()), slog.Int("seeds", len(d.set.Seeds)))
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ends := make(chan error, 5)
	for _, part := range []func(context.Context) error{d.path.run, d.keeper.run, d.peers.read, d.peers.run, d.peers.exchange.run} {
		go func() { ends <- part(inner) }()
	}
	err := d.tick(ctx, ends)
	if err == nil {
		d.stop(ctx)
	}
	event.Log(ctx, d.log, event.DaemonStopped, slog.Any("error", err))
	return err
}

// tick does what is due from time to time, until ctx or a part ends.
func (d *Daemon) tick(ctx context.Context, ends <-chan error) error {
	ticker := time.NewTicker(tickEvery.Duration())
	defer ticker.Stop()
	forgot := d.clk.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-ends:
			return err
		case <-ticker.C:
		}
		d.pauses.look()
		now := d.clk.Now()
		d.engine.Tick(now)
		d.peers.spread()
		if now-forgot > forgetEvery {
			forgot = now
			d.keeper.forget()
		}
	}
}

// paused asks for a check of what was known before the process stood still.
func (d *Daemon) paused(gap clock.Millis) {
	event.Log(context.Background(), d.log, event.PauseDetected, slog.Int64("gapMillis", int64(gap)))
	d.keeper.reread()
}

// stop goes on forwarding until the fabric sends no more packets.
func (d *Daemon) stop(ctx context.Context) {
	event.Log(ctx, d.log, event.DaemonLeaving)
	d.leaving.Store(true)
	d.peers.leave()
	begun := d.clk.Now()
	for {
		time.Sleep(tickEvery.Duration())
		now := d.clk.Now()
		quiet := now - clock.Millis(d.path.lastPacket.Load())
		if now-begun >= d.set.StopMillis-stopReserve || now-begun >= stopLeast && quiet >= stopQuiet {
			return
		}
	}
}

// ApplySettings takes what may change while the daemon runs: the seeds.
func (d *Daemon) ApplySettings(ctx context.Context, set Settings) {
	d.peers.setSeeds(set.Seeds)
	event.Log(ctx, d.log, event.SettingsTaken, slog.Int("seeds", len(set.Seeds)))
}
