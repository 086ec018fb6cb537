package store

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	rangePath = "/amaranthswitch/kv-range"
	watchPath = "/amaranthswitch/kv-watch"
	// pageItems is the number of items of a page. It is small, so that tests
	// read several pages.
	pageItems = 5
	// silence is longer than any reader waits.
	silence = 10 * time.Second
)

// Item is what the store keeps, or the news of its removal.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Fault is what happens to the calls of a reader.
type Fault struct {
	// Status, if set, is answered to each call.
	Status int
	// Hang answers nothing, Reset breaks the connection.
	Hang, Reset bool
	// StallWatches leaves watches waiting, whatever changes.
	StallWatches bool
	// Delay is the time that each answer takes.
	Delay time.Duration
}

// Server is the store.
type Server struct {
	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	since    uint64 // history after this revision is known
	rev      uint64
	wake     chan struct{}
	troubles map[string]Fault // by reader's IP address, "" for all
	calls    map[string]int
	address  string
}

// Start serves on address until the returned function is called.
func Start(ctx context.Context, address string) (s *Server, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "store: start") }()
	s = &Server{
		items: make(map[string]Item), rev: 1, since: 1, wake: make(chan struct{}),
		troubles: make(map[string]Fault), calls: make(map[string]int),
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+rangePath, s.troubled(s.serveRange))
	mux.HandleFunc("GET "+watchPath, s.troubled(s.serveWatch))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: silence}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(ln) }()
	return s, func() { _ = srv.Close(); <-ended }, nil
}

// Address returns the store's address.
func (s *Server) Address() string { return s.address }

// Put writes an item as JSON, or as it is if it is bytes.
func (s *Server) Put(key string, value any) {
	data, ok := value.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic("store: " + err.Error())
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	item := Item{Key: key, Value: data, Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.record(item)
}

// Remove removes an item.
func (s *Server) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(Item{Key: key, Revision: s.rev, Removed: true})
}

func (s *Server) record(item Item) {
	s.history = append(s.history, item)
	close(s.wake)
	s.wake = make(chan struct{})
}

// CompactHistory drops the history, so that watches must begin anew.
func (s *Server) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.since = nil, s.rev
	close(s.wake)
	s.wake = make(chan struct{})
}

// SetFault sets what happens to the calls of a reader, by its IP address, or of
// all readers for "". The zero SetFault ends it.
func (s *Server) SetFault(reader string, t Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubles[reader] = t
}

// Calls returns the number of calls of a reader, or of all readers for "".
func (s *Server) Calls(reader string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[reader]
}

func (s *Server) trouble(r *http.Request) Fault {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.troubles[host]; t != (Fault{}) {
		return t
	}
	return s.troubles[""]
}

func (s *Server) count(r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[host]++
	s.calls[""]++
}

// troubled wraps a handler with what the reader is to suffer.
func (s *Server) troubled(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(r)
		t := s.trouble(r)
		switch {
		case t.Hang:
			wait(r.Context(), silence)
			panic(http.ErrAbortHandler)
		case t.Reset:
			panic(http.ErrAbortHandler)
		case t.Status != 0:
			w.WriteHeader(t.Status)
			return
		}
		wait(r.Context(), t.Delay)
		next(w, r)
	}
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	items := []Item{}
	for _, key := range keys[:min(pageItems, len(keys))] {
		items = append(items, s.items[key])
	}
	reply := map[string]any{"items": items, "hasMore": more, "currentRev": s.rev}
	s.mu.Unlock()
	write(w, reply)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	millis, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil || millis < 0 || millis > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(millis) * time.Millisecond)
	for {
		mute := s.trouble(r).StallWatches
		s.mu.Lock()
		wake, forgotten, rev := s.wake, after < s.since, s.rev
		events := s.changes(q.Get("prefix"), after)
		s.mu.Unlock()
		if forgotten && !mute {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !mute {
			write(w, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-wake:
		case <-deadline:
			if mute {
				wait(r.Context(), silence)
			}
			write(w, map[string]any{"events": []Item{}, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changes returns the history of a prefix after a revision.
func (s *Server) changes(prefix string, after uint64) (events []Item) {
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}

func write(w http.ResponseWriter, reply any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
