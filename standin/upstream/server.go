package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// Headers that back ends and callers exchange.
const (
	// NotRunHeader marks a refusal of a request that was not run.
	NotRunHeader = "X-Not-Run"
	// ColdHeader marks a refusal because the back end is not warm yet.
	ColdHeader = "X-Cold"
	// KeyHeader carries the key that makes repeats of a request one.
	KeyHeader = "Idempotency-Key"
	// OwnerHeader names the owner of a request.
	OwnerHeader = "X-Owner"
)

// Run is one execution of a request.
type Run struct {
	Key      string
	Owner    string
	Method   string
	Path     string
	Server   config.UpstreamName
	Start    time.Time
	Finished bool
	Canceled bool
}

// Response is the body of a back end's answer. Digest is that of the request's
// body, so that a caller can tell its own answer.
type Response struct {
	Server config.UpstreamName `json:"server"`
	Key    string              `json:"key,omitempty"`
	Path   string              `json:"path"`
	Digest string              `json:"digest"`
	Run    int                 `json:"run"`
}

// Health is the body of a health answer.
type Health struct {
	Healthy     bool  `json:"healthy"`
	StartMillis int64 `json:"startMillis"`
	Busy        int   `json:"busy"`
}

// Server is the request side of one back end.
type Server struct {
	Name config.UpstreamName

	slots   int
	service time.Duration

	mu       sync.Mutex
	started  time.Time
	healthy  bool
	busy     int
	peak     int
	shed     int
	runs     []Run
	hang     bool
	cut      bool
	delay    time.Duration
	coldTill time.Time
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithSlots sets how many requests the server works on at a time.
func WithSlots(n int) ServerOption { return func(s *Server) { s.slots = n } }

// WithServiceTime sets how long the server works on a request.
func WithServiceTime(d time.Duration) ServerOption { return func(s *Server) { s.service = d } }

// StartServer serves HTTP on address until the returned function is called.
func StartServer(ctx context.Context, name config.UpstreamName, address string, opts ...ServerOption) (s *Server, stop func(), err error) {
	defer func() { err = eris.Wrapf(err, "upstream: start server %s", name) }()
	s = &Server{Name: name, started: time.Now(), healthy: true, service: 20 * time.Millisecond}
	for _, opt := range opts {
		opt(s)
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("/", s.serve)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(ln)
	}()
	return s, func() { _ = srv.Close(); <-done }, nil
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	h := Health{Healthy: s.healthy, StartMillis: s.started.UnixMilli(), Busy: s.busy}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if !h.Healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(h)
}

// serve runs a request, or refuses it if all slots are taken.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run, wait, ok := s.begin(w, r)
	if !ok {
		return
	}
	canceled := !work(r.Context(), wait)
	hang, cut := s.end(run, canceled)
	if canceled {
		return
	}
	if hang {
		<-r.Context().Done()
		return
	}
	s.answer(w, r, body, run, cut)
}

// begin takes a slot and records the run.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (run int, wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy >= s.slots {
		s.shed++
		w.Header().Set(NotRunHeader, "true")
		if time.Now().Before(s.coldTill) {
			w.Header().Set(ColdHeader, "true")
		}
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return 0, 0, false
	}
	s.busy++
	s.peak = max(s.peak, s.busy)
	s.runs = append(s.runs, Run{
		Key: r.Header.Get(KeyHeader), Owner: r.Header.Get(OwnerHeader), Method: r.Method,
		Path: r.URL.Path, Server: s.Name, Start: time.Now(),
	})
	return len(s.runs) - 1, s.service + s.delay, true
}

func (s *Server) end(run int, canceled bool) (hang, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.runs[run].Finished = !canceled
	s.runs[run].Canceled = canceled
	return s.hang, s.cut
}

func work(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, body []byte, run int, cut bool) {
	sum := sha256.Sum256(body)
	data, err := json.Marshal(Response{
		Server: s.Name, Key: r.Header.Get(KeyHeader), Path: r.URL.Path, Digest: hex.EncodeToString(sum[:8]), Run: run,
	})
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if cut {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// Faults are what a test makes a server do wrong.
type Faults struct {
	// Hang makes it run requests and never answer.
	Hang bool
	// Truncate makes it break connections in the middle of an answer.
	Truncate bool
	// Unhealthy makes its health endpoint report ill health.
	Unhealthy bool
	// Delay is added to the service time.
	Delay time.Duration
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hang, s.cut, s.healthy, s.delay = f.Hang, f.Truncate, !f.Unhealthy, f.Delay
}

// SetUnhealthy makes the health endpoint report ill health, or ends that.
func (s *Server) SetUnhealthy(unhealthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healthy = !unhealthy
}

// Restart makes the server look as if it had just started.
func (s *Server) Restart(cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = time.Now()
	s.coldTill = s.started.Add(cold)
}

// Runs returns all executions so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// SlotUse returns the largest number of requests worked on at a time, and how
// many were refused for want of a slot.
func (s *Server) SlotUse() (peak, shed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak, s.shed
}
