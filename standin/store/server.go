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
	// pageItems is the maximum number of items of a page. It is small so that tests
	// read several pages.
	pageItems = 5
	// hangDuration is longer than the timeout of any reader.
	hangDuration = 10 * time.Second
)

// Item is an item of the store, or its tombstone if Removed is set.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Fault is a fault injected into the calls of a reader. The zero Fault injects none.
type Fault struct {
	// Status, if set, is the HTTP status with which every call is refused.
	Status int
	// Hang leaves calls without a response for 10 s, and Reset closes the connection.
	Hang, Reset bool
	// StallWatches holds back the responses to watches even if items change.
	StallWatches bool
	// Delay is added before each response.
	Delay time.Duration
}

// Server is a fake store. It is safe for concurrent use.
type Server struct {
	mu           sync.Mutex
	items        map[string]Item
	history      []Item
	compactedRev uint64 // history up to this revision is compacted
	rev          uint64
	changed      chan struct{}
	faults       map[string]Fault // by reader's IP address, "" for all
	calls        map[string]int
	address      string

	era     int
	eraText string   // sent as the era if set; see SetEraHeader
	changes []change // all changes of this copy
	away    bool
	// outage is held while the store is away. Writers wait for its end.
	outage sync.RWMutex
}

// Start serves the store on address until stop is called.
func Start(ctx context.Context, address string) (s *Server, stop func(), err error) {
	defer func() { err = eris.Wrap(err, "store: start") }()
	s = &Server{
		items: make(map[string]Item), rev: 1, compactedRev: 1, changed: make(chan struct{}),
		faults: make(map[string]Fault), calls: make(map[string]int),
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+rangePath, s.withFault(s.serveRange))
	mux.HandleFunc("GET "+watchPath, s.withFault(s.serveWatch))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: hangDuration}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(ln) }()
	return s, func() { _ = srv.Close(); <-ended }, nil
}

// Address returns the store's address as host:port.
func (s *Server) Address() string { return s.address }

// Put writes an item. A value of type []byte is stored unchanged, any other value as
// JSON. It panics if the value cannot be encoded.
func (s *Server) Put(key string, value any) {
	data, ok := value.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic("store: " + err.Error())
		}
	}
	s.outage.RLock()
	defer s.outage.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	item := Item{Key: key, Value: data, Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.record(item)
}

// Remove removes an item, if it exists.
func (s *Server) Remove(key string) {
	s.outage.RLock()
	defer s.outage.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	s.record(Item{Key: key, Revision: s.rev, Removed: true})
}

// record makes a change. The caller holds mu.
func (s *Server) record(item Item) {
	s.noteChange(item.Key)
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// CompactHistory drops the history, so that watches after an earlier revision fail with
// status 410.
func (s *Server) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRev = nil, s.rev
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault sets the fault for the calls of the reader with an IP address, or for all
// readers without a fault of their own if reader is "". The zero Fault clears it.
func (s *Server) SetFault(reader string, t Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[reader] = t
}

// Calls returns the number of calls of the reader with an IP address, or of all readers
// if reader is "".
func (s *Server) Calls(reader string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[reader]
}

func (s *Server) faultFor(r *http.Request) Fault {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.faults[host]; t != (Fault{}) {
		return t
	}
	return s.faults[""]
}

func (s *Server) count(r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[host]++
	s.calls[""]++
}

// withFault wraps a handler with the fault that is set for the reader.
func (s *Server) withFault(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(r)
		t := s.faultFor(r)
		switch {
		case s.isAway():
			panic(http.ErrAbortHandler)
		case t.Hang:
			sleep(r.Context(), hangDuration)
			panic(http.ErrAbortHandler)
		case t.Reset:
			panic(http.ErrAbortHandler)
		}
		s.setEra(w)
		if t.Status != 0 {
			w.WriteHeader(t.Status)
			return
		}
		sleep(r.Context(), t.Delay)
		next(w, r)
	}
}

func sleep(ctx context.Context, d time.Duration) {
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
	s.writeEra(w)
	s.mu.Unlock()
	writeJSON(w, reply)
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
	begun := s.Era()
	for {
		stalled := s.faultFor(r).StallWatches
		s.mu.Lock()
		if s.away || s.era != begun { // the connection ended with the process that held it
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		s.writeEra(w)
		changed, compacted, rev := s.changed, after < s.compactedRev || after > s.rev, s.rev
		events := s.eventsAfter(q.Get("prefix"), after)
		s.mu.Unlock()
		if compacted && !stalled {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 && !stalled {
			writeJSON(w, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			if stalled {
				sleep(r.Context(), hangDuration)
			}
			writeJSON(w, map[string]any{"events": []Item{}, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes of items with the prefix after a revision.
func (s *Server) eventsAfter(prefix string, after uint64) (events []Item) {
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}

func writeJSON(w http.ResponseWriter, reply any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
