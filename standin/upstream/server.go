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

// HTTP headers of requests and of refusals.
const (
	// NotRunHeader marks a refusal of a request that was not run, so that a retry is safe.
	NotRunHeader = "X-Not-Run"
	// ColdHeader marks a refusal by an upstream that is still warming up.
	ColdHeader = "X-Cold"
	// KeyHeader carries the idempotency key of a request.
	KeyHeader = "Idempotency-Key"
	// OwnerHeader names the owner of a request.
	OwnerHeader = "X-Owner"
)

// Run records one execution of a request.
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

// Response is the body of a response. Digest is the hex form of the first 8 bytes of
// the SHA-256 digest of the request body, by which a caller checks that the response
// belongs to its request.
type Response struct {
	Server config.UpstreamName `json:"server"`
	Key    string              `json:"key,omitempty"`
	Path   string              `json:"path"`
	Digest string              `json:"digest"`
	Run    int                 `json:"run"`
}

// Health is the body of a health check response. Busy is the number of requests in
// progress.
type Health struct {
	Healthy     bool  `json:"healthy"`
	StartMillis int64 `json:"startMillis"`
	Busy        int   `json:"busy"`
}

// Server is the HTTP server of one upstream.
type Server struct {
	Name config.UpstreamName

	slots       int
	serviceTime time.Duration

	mu         sync.Mutex
	started    time.Time
	healthy    bool
	active     int
	peakActive int
	shed       int
	runs       []Run
	hang       bool
	truncate   bool
	delay      time.Duration
	coldUntil  time.Time
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithSlots sets the number of requests that the server runs concurrently.
func WithSlots(n int) ServerOption { return func(s *Server) { s.slots = n } }

// WithServiceTime sets the service time of a request. The default is 20 ms.
func WithServiceTime(d time.Duration) ServerOption { return func(s *Server) { s.serviceTime = d } }

// StartServer serves HTTP on address until the returned function is called. Without
// WithSlots the server refuses all requests.
func StartServer(ctx context.Context, name config.UpstreamName, address string, opts ...ServerOption) (s *Server, stop func(), err error) {
	defer func() { err = eris.Wrapf(err, "upstream: start server %s", name) }()
	s = &Server{Name: name, started: time.Now(), healthy: true, serviceTime: 20 * time.Millisecond}
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
	h := Health{Healthy: s.healthy, StartMillis: s.started.UnixMilli(), Busy: s.active}
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
	run, serviceTime, ok := s.acquireSlot(w, r)
	if !ok {
		return
	}
	canceled := !sleep(r.Context(), serviceTime)
	hang, truncate := s.releaseSlot(run, canceled)
	if canceled {
		return
	}
	if hang {
		<-r.Context().Done()
		return
	}
	s.respond(w, r, body, run, truncate)
}

// acquireSlot acquires a slot and records the run. It returns the index of the run and
// its service time. If no slot is free, it refuses the request and returns false.
func (s *Server) acquireSlot(w http.ResponseWriter, r *http.Request) (run int, serviceTime time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= s.slots {
		s.shed++
		w.Header().Set(NotRunHeader, "true")
		if time.Now().Before(s.coldUntil) {
			w.Header().Set(ColdHeader, "true")
		}
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return 0, 0, false
	}
	s.active++
	s.peakActive = max(s.peakActive, s.active)
	s.runs = append(s.runs, Run{
		Key: r.Header.Get(KeyHeader), Owner: r.Header.Get(OwnerHeader), Method: r.Method,
		Path: r.URL.Path, Server: s.Name, Start: time.Now(),
	})
	return len(s.runs) - 1, s.serviceTime + s.delay, true
}

// releaseSlot releases the slot of a run and returns the faults of its response.
func (s *Server) releaseSlot(run int, canceled bool) (hang, truncate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.runs[run].Finished = !canceled
	s.runs[run].Canceled = canceled
	return s.hang, s.truncate
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, body []byte, run int, truncate bool) {
	sum := sha256.Sum256(body)
	data, err := json.Marshal(Response{
		Server: s.Name, Key: r.Header.Get(KeyHeader), Path: r.URL.Path, Digest: hex.EncodeToString(sum[:8]), Run: run,
	})
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if truncate {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// Faults are the faults that a test injects into a server.
type Faults struct {
	// Hang makes the server run requests without responding to them.
	Hang bool
	// Truncate makes the server close connections in the middle of a response.
	Truncate bool
	// Unhealthy makes health checks fail.
	Unhealthy bool
	// Delay is added to the service time.
	Delay time.Duration
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hang, s.truncate, s.healthy, s.delay = f.Hang, f.Truncate, !f.Unhealthy, f.Delay
}

// SetUnhealthy sets whether health checks fail, and keeps the other faults.
func (s *Server) SetUnhealthy(unhealthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healthy = !unhealthy
}

// Restart resets the start time that health checks report, as after a restart. For the
// time cold, refusals carry ColdHeader.
func (s *Server) Restart(cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = time.Now()
	s.coldUntil = s.started.Add(cold)
}

// Runs returns all executions so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// SlotUse returns the maximum number of concurrent requests, and the number of requests
// that were refused because no slot was free.
func (s *Server) SlotUse() (peak, shed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakActive, s.shed
}
