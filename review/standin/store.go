package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems = 500
)

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store.
type store struct {
	mu      sync.Mutex
	items   map[string]storeItem
	history []storeItem
	rev     uint64
	changed chan struct{}
	silent  bool // no call gets an answer
	down    chan struct{}
	server  *http.Server
}

func startStore(address string) (*store, error) {
	s := &store{items: make(map[string]storeItem), rev: 1, changed: make(chan struct{}), down: make(chan struct{})}
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /amaranthswitch/kv-range", s.serveRange)
	mux.HandleFunc("GET /amaranthswitch/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// setSilent makes the store leave all calls without an answer, those that wait
// included, or ends that.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	close(s.down)
	s.down = make(chan struct{})
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// put writes an item and reports whether the store confirmed it.
func (s *store) put(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.rev++
	item := storeItem{Key: key, Value: data, Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.record(item)
	return true
}

// remove removes an item, also while the store is silent, as expiry does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.rev, Removed: true})
}

func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *store) record(item storeItem) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// hang leaves a call without an answer until its caller gives up.
func (s *store) hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		s.hang(r)
	}
	time.Sleep(4 * time.Millisecond)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items := []storeItem{}
	for _, key := range keys[:min(pageItems, len(keys))] {
		items = append(items, s.items[key])
	}
	reply := map[string]any{"items": items, "hasMore": len(keys) > pageItems, "currentRev": s.rev}
	s.mu.Unlock()
	writeJSON(w, reply)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	prefix, deadline := r.URL.Query().Get("prefix"), time.After(time.Duration(wait)*time.Millisecond)
	time.Sleep(4 * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		changed, down, silent, rev := s.changed, s.down, s.silent, s.rev
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		s.mu.Unlock()
		if silent {
			s.hang(r)
		}
		if len(events) > 0 || ended {
			writeJSON(w, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-down:
		case <-deadline:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, reply any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
