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

// IndexHeader carries the index of a value.
const IndexHeader = "X-Platform-Index"

const maxValueBytes = 1 << 20

// Key names a value.
type Key string

// Keys of the values that the service holds.
const (
	ConfigKey Key = "config"
	VMsKey    Key = "vms"
)

// value is one published value with those that went before it.
type value struct {
	index   uint64
	body    []byte
	history [][]byte
}

// Server is the configuration service.
type Server struct {
	mu      sync.Mutex
	values  map[Key]*value
	wake    chan struct{}
	down    bool
	stale   int
	calls   int
	address string
}

// Start serves on address until the returned function is called.
func Start(ctx context.Context, address string) (s *Server, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "platform: start") }()
	s = &Server{values: make(map[Key]*value), wake: make(chan struct{})}
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

// URL returns the address that daemons are given.
func (s *Server) URL() string { return "http://" + s.address }

// Publish stores a value and wakes its watchers.
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
	close(s.wake)
	s.wake = make(chan struct{})
}

// PublishJSON stores the JSON form of v.
func (s *Server) PublishJSON(k Key, v any) (err error) {
	defer func() { err = eris.Wrapf(err, "platform: publish %s", k) }()
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	s.Publish(k, body)
	return nil
}

// SetDown makes every call fail, or ends that.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.wake)
	s.wake = make(chan struct{})
}

// SetStale makes the service answer with values that are n publications old.
func (s *Server) SetStale(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = n
	close(s.wake)
	s.wake = make(chan struct{})
}

// Calls returns the number of calls so far.
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
		body, at, down, wake := s.look(k)
		if down {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		if at > 0 && at != index || wait == 0 {
			write(w, body, at)
			return
		}
		select {
		case <-wake:
		case <-deadline.C:
			write(w, body, at)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func write(w http.ResponseWriter, body []byte, index uint64) {
	if index == 0 {
		http.Error(w, "no value", http.StatusNotFound)
		return
	}
	w.Header().Set(IndexHeader, strconv.FormatUint(index, 10))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// look returns the value that the service shows now.
func (s *Server) look(k Key) (body []byte, index uint64, down bool, wake chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.values[k]
	if v == nil {
		return nil, 0, s.down, s.wake
	}
	n := max(0, len(v.history)-1-s.stale)
	return v.history[n], uint64(n + 1), s.down, s.wake
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
