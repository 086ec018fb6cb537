package caller

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/holder"
	"github.com/amaranthswitch/amaranthswitch/amaranthd/upstream"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/retry"
)

// Hooks connect a Gateway with the rest of the daemon.
type Hooks struct {
	// Paused reports whether this VM's view of other VMs may be out of date,
	// since the process has just started or was suspended.
	Paused func(now clock.Millis) bool
	// ReportCold reports an upstream that refused a request because it is not
	// yet warm.
	ReportCold func(id config.UpstreamID)
	// ReportDone counts a finished request and its duration.
	ReportDone func(service config.ServiceName, owner config.Owner, outcome string, took clock.Millis)
	// StartSpan starts a tracing span and returns the function that ends it.
	StartSpan func(ctx context.Context, name string) (context.Context, func())
	// Inject writes the trace context of ctx into a header.
	Inject func(ctx context.Context, h http.Header)
	// Extract returns ctx with the trace context of a header.
	Extract func(ctx context.Context, h http.Header) context.Context
}

// Gateway is an HTTP server that forwards the requests of callers to upstreams.
type Gateway struct {
	clk    clock.Clock
	log    *slog.Logger
	holder *holder.Holder
	client *upstream.Client
	hooks  Hooks

	services atomic.Pointer[map[string]*service]
	stopping atomic.Bool
	server   *http.Server
	listener net.Listener
}

// service is a service of kind request with its retry state.
type service struct {
	conf                 config.Service
	addresses            map[config.UpstreamID]string
	nonIdempotentMethods []string
	budget               *retry.Budget
	latency              *retry.Latency
}

// New returns a gateway that listens on address. It accepts connections once Run is
// called. The function cleanup closes the gateway.
func New(ctx context.Context, address netip.AddrPort, clk clock.Clock, log *slog.Logger, h *holder.Holder, client *upstream.Client, hooks Hooks) (g *Gateway, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "caller: listen on %s", address) }()
	g = &Gateway{clk: clk, log: log, holder: h, client: client, hooks: hooks}
	g.services.Store(&map[string]*service{})
	var lc net.ListenConfig
	if g.listener, err = lc.Listen(ctx, "tcp", address.String()); err != nil {
		return nil, nil, err
	}
	g.server = &http.Server{Handler: g, ReadHeaderTimeout: 10 * time.Second, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	return g, func() { _ = g.server.Close(); _ = g.listener.Close() }, nil
}

// Run serves requests until the gateway is closed.
func (g *Gateway) Run() error {
	err := g.server.Serve(g.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "caller: serve")
}

// StopAccepting makes the gateway refuse new requests.
func (g *Gateway) StopAccepting() { g.stopping.Store(true) }

// Drain closes the listener and waits until the requests in progress are done or
// ctx ends.
func (g *Gateway) Drain(ctx context.Context) { _ = g.server.Shutdown(ctx) }

// SetConfig replaces the active configuration. Services that remain keep their
// retry budgets and latency histograms.
func (g *Gateway) SetConfig(f *config.File) {
	old := *g.services.Load()
	next := make(map[string]*service)
	for _, s := range f.Services {
		if s.Request == nil {
			continue
		}
		sv := &service{
			conf: s, addresses: make(map[config.UpstreamID]string),
			nonIdempotentMethods: append([]string{http.MethodPost, http.MethodPatch}, s.Request.NonIdempotent...),
			budget:               retry.NewBudget(s.Request.RetryShare), latency: retry.NewLatency(),
		}
		if was := old[string(s.Name)]; was != nil {
			sv.budget, sv.latency = was.budget, was.latency
			sv.budget.SetRatio(s.Request.RetryShare)
		}
		for i := range s.Upstreams {
			sv.addresses[s.ID(&s.Upstreams[i])] = s.Upstreams[i].HTTPAddress
		}
		next[string(s.Name)], next[s.Address.String()] = sv, sv
	}
	g.services.Store(&next)
}

// findService returns the service that the Host header names by name or address,
// or else the service that the service header names. It returns nil if there is
// none.
func (g *Gateway) findService(r *http.Request) *service {
	services := *g.services.Load()
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if s := services[host]; s != nil {
		return s
	}
	return services[r.Header.Get(ServiceHeader)]
}

// owner returns the owner of a request: the value of the service's owner header,
// or else the owner of the longest configured prefix that contains the caller's
// address, or "unknown".
func (s *service) owner(r *http.Request) config.Owner {
	if h := s.conf.Request.OwnerHeader; h != "" && r.Header.Get(h) != "" {
		return config.Owner(r.Header.Get(h))
	}
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return "unknown"
	}
	best := -1
	owner := config.Owner("unknown")
	for _, o := range s.conf.Request.Owners {
		if o.Prefix.Contains(from.Addr().Unmap()) && o.Prefix.Bits() > best {
			best, owner = o.Prefix.Bits(), o.Owner
		}
	}
	return owner
}

// deadline returns the time within which the caller needs a response, from the
// deadline header or the service's configuration.
func (s *service) deadline(r *http.Request) (within clock.Millis, err error) {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return s.conf.Request.DeadlineMillis, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 {
		return 0, eris.Errorf("header %s: %q is not a positive number of milliseconds", DeadlineHeader, text)
	}
	return clock.Millis(n), nil
}

// exchange is the state of one request in the gateway.
type exchange struct {
	g        *Gateway
	s        *service
	w        http.ResponseWriter
	r        *http.Request
	owner    config.Owner
	deadline clock.Millis
	claim    *holder.Claim
	body     *body
	// outcome is the outcome that ReportDone gets.
	outcome string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begin := g.clk.Now()
	s := g.findService(r)
	if s == nil {
		refuse(w, holder.NotRun, ReasonUnknownService, "host "+r.Host+" is no service of kind request")
		return
	}
	within, err := s.deadline(r)
	if err != nil {
		refuse(w, holder.NotRun, ReasonBadDeadline, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(g.hooks.Extract(r.Context(), r.Header), within.Duration())
	defer cancel()
	ctx, endSpan := g.hooks.StartSpan(ctx, "gateway")
	defer endSpan()
	x := &exchange{g: g, s: s, w: w, r: r.WithContext(ctx), owner: s.owner(r), deadline: begin + within}
	defer func() { g.hooks.ReportDone(s.conf.Name, x.owner, x.outcome, g.clk.Now()-begin) }()
	x.serve()
}

// remaining returns the time until the deadline.
func (x *exchange) remaining() clock.Millis { return x.deadline - x.g.clk.Now() }

// nonIdempotent reports whether the request must not run twice.
func (x *exchange) nonIdempotent() bool { return slices.Contains(x.s.nonIdempotentMethods, x.r.Method) }

func (x *exchange) refuse(outcome holder.Outcome, reason Reason, detail string) {
	x.outcome = string(outcome)
	refuse(x.w, outcome, reason, detail)
}

// refuseNotRun refuses a request that did not run in this exchange. If the request
// has a key, the outcome is NotRun only if the key could be closed, otherwise
// Unknown.
func (x *exchange) refuseNotRun(reason Reason, detail string) {
	outcome := holder.NotRun
	if x.claim != nil {
		if !x.claim.Close(context.WithoutCancel(x.r.Context())) {
			outcome = holder.Unknown
		} else {
			x.claim.StoreResponse(holder.StoredResponse{Outcome: holder.NotRun})
		}
	}
	x.refuse(outcome, reason, detail)
}

func (x *exchange) serve() {
	var err error
	if x.body, err = readBody(x.r); err != nil {
		x.refuse(holder.NotRun, ReasonBadBody, err.Error())
		return
	}
	if x.nonIdempotent() && x.r.Header.Get(KeyHeader) != "" && !x.claimKey() {
		return
	}
	if x.g.stopping.Load() {
		x.w.Header().Set("Connection", "close")
		x.refuseNotRun(ReasonStopping, "this VM is about to stop")
		return
	}
	if x.g.hooks.Paused(x.g.clk.Now()) {
		x.refuseNotRun(ReasonResuming, "this VM stood still and is catching up")
		return
	}
	x.run()
}

// hedgePolicy says whether and after which delay a request is hedged.
type hedgePolicy struct {
	delay   time.Duration
	enabled bool
}

func (x *exchange) hedging() (h hedgePolicy) {
	q := x.s.conf.Request.HedgeAfterQuantile
	if q == 0 || x.nonIdempotent() || x.r.Method != http.MethodGet && x.r.Method != http.MethodHead {
		return h
	}
	after, known := x.s.latency.Quantile(q)
	return hedgePolicy{delay: after.Duration(), enabled: known}
}
