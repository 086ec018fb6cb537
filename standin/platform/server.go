package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// IndexHeader carries the index of the returned value.
const IndexHeader = "X-Platform-Index"

const maxValueBytes = 1 << 20

// Key identifies a published value.
type Key string

// Keys of the published values.
const (
	ConfigKey Key = "config"
	VMsKey    Key = "vms"
)

// value is a published value with all versions of it, the latest last.
type value struct {
	index   uint64
	body    []byte
	history [][]byte
}

// Server is a simulated configuration service.
type Server struct {
	mu      sync.Mutex
	values  map[Key]*value
	changed chan struct{}
	down    bool
	staleBy int // versions
	calls   int
	address string
}

// Start serves on address until the returned function is called.
func Start(ctx context.Context, address string) (s *Server, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "platform: start") }()
	s = &Server{values: make(map[Key]*value), changed: make(chan struct{})}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	for _, k := range []Key{ConfigKey, VMsKey} {
		mux.HandleFunc("GET /v1/"+string(k), func(w http.ResponseWriter, r *http.Request) { s.get(w, r, k) })
		mux.HandleFunc("PUT /v1/"+string(k), func(w http.ResponseWriter, r *http.Request) { s.put(w, r, k) })
	}
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(ln)
	}()
	return s, func() { _ = srv.Close(); <-done }, nil
}

// URL returns the base URL of the service.
func (s *Server) URL() string { return "http://" + s.address }

// Publish stores a new version of a value and wakes the blocking queries.
func (s *Server) Publish(k Key, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.values[k]
	if v == nil {
		v = &value{}
		s.values[k] = v
	}
	v.index++
	v.body = body
	v.history = append(v.history, body)
	close(s.changed)
	s.changed = make(chan struct{})
}

// PublishJSON publishes the JSON encoding of v. It returns an error if v can't be
// encoded.
func (s *Server) PublishJSON(k Key, v any) (err error) {
	defer func() { err = eris.Wrapf(err, "platform: publish %s", k) }()
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	s.Publish(k, body)
	return nil
}

// SetDown sets whether GET calls fail with status 503.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetStale makes the service return the values of n versions ago, or the oldest ones.
func (s *Server) SetStale(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleBy = n
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of GET calls so far.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, k Key) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		body, current, down, changed := s.visible(k)
		if down {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		if current > 0 && current != index || wait == 0 {
			writeValue(w, body, current)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeValue(w, body, current)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeValue(w http.ResponseWriter, body []byte, index uint64) {
	if index == 0 {
		http.Error(w, "no value", http.StatusNotFound)
		return
	}
	w.Header().Set(IndexHeader, strconv.FormatUint(index, 10))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// visible returns the version of a value that the service serves now and its index,
// which is zero if there is none. The channel is closed at the next change.
func (s *Server) visible(k Key) (body []byte, index uint64, down bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.values[k]
	if v == nil {
		return nil, 0, s.down, s.changed
	}
	n := max(0, len(v.history)-1-s.staleBy)
	return v.history[n], uint64(n + 1), s.down, s.changed
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, k Key) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.Publish(k, body)
	w.WriteHeader(http.StatusNoContent)
}
