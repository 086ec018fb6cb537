package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode tells how the store answers.
type storeMode int

const (
	storeUp storeMode = iota
	// storeSilent accepts connections and requests and answers nothing.
	storeSilent
	// storeAway resets connections.
	storeAway
)

// storedItem is an item or an event of a watch.
type storedItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`

	at     time.Time // of the change
	beatAt time.Time // last ping, zero for items without one
}

// store is a stand-in of the platform's store, see PROTOCOL.md, "The platform's metadata
// store", and for the era the newest letter.
type store struct {
	rec     *record
	address string
	ping    time.Duration
	srv     *http.Server

	mu      sync.Mutex
	mode    storeMode
	era     int // sent as Store-Era if above 0
	rev     uint64
	items   map[string]storedItem
	history []storedItem // all changes of this copy
	changed chan struct{}
	cut     chan struct{} // closed when waiting calls are to end
}

const storePageItems = 500

func startStore(rec *record, address string, ping time.Duration, era int) (*store, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, address: address, ping: ping, era: era, rev: 1, items: map[string]storedItem{}, changed: make(chan struct{}), cut: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /amaranthswitch/kv-range", s.serve(s.serveRange))
	mux.HandleFunc("GET /amaranthswitch/kv-watch", s.serve(s.serveWatch))
	s.srv = &http.Server{Handler: mux}
	go func() { _ = s.srv.Serve(ln) }()
	go s.expire()
	return s, nil
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	close(s.cut)
	s.cut = make(chan struct{})
}

// put writes an item for the sysadmin or another writer. It returns false if the store
// does not accept it.
func (s *store) put(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != storeUp {
		return false
	}
	s.write(key, value, time.Time{})
	return true
}

// beat writes the entry of an endpoint. The entry changes when more than its sequence
// changes.
func (s *store) beat(key string, e entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != storeUp {
		return false
	}
	if old, ok := s.items[key]; ok {
		var known entry
		if json.Unmarshal(old.Value, &known) == nil {
			known.Sequence = e.Sequence
			if known == e {
				old.beatAt = time.Now()
				s.items[key] = old
				return true
			}
		}
	}
	value, _ := json.Marshal(e)
	s.write(key, value, time.Now())
	return true
}

func (s *store) write(key string, value []byte, beatAt time.Time) {
	s.rev++
	it := storedItem{Key: key, Value: value, Revision: s.rev, Created: s.rev, at: time.Now(), beatAt: beatAt}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
		if bytes.Equal(old.Value, value) {
			s.rev--
			return
		}
	}
	s.items[key] = it
	s.publish(it)
}

func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != storeUp {
		return false
	}
	s.drop(key)
	return true
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.publish(storedItem{Key: key, Revision: s.rev, Removed: true, at: time.Now()})
}

func (s *store) publish(it storedItem) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes entries after three ping intervals of silence.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		if s.mode == storeUp {
			for key, it := range s.items {
				if !it.beatAt.IsZero() && time.Since(it.beatAt) > 3*s.ping {
					s.drop(key)
				}
			}
		}
		s.mu.Unlock()
	}
}

// rollBack returns the store to a copy as it was at the given time. Pings count anew.
func (s *store) rollBack(to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	kept := s.history[:0:0]
	items := map[string]storedItem{}
	rev := uint64(1)
	for _, it := range s.history {
		if it.at.After(to) {
			break
		}
		kept, rev = append(kept, it), it.Revision
		if it.Removed {
			delete(items, it.Key)
			continue
		}
		if !it.beatAt.IsZero() {
			it.beatAt = time.Now()
		}
		items[it.Key] = it
	}
	s.history, s.items, s.rev = kept, items, rev
}

// serve wraps a handler with the mode of the store and its header.
func (s *store) serve(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		mode, cut := s.mode, s.cut
		s.mu.Unlock()
		switch mode {
		case storeSilent:
			select {
			case <-r.Context().Done():
			case <-cut:
			}
			panic(http.ErrAbortHandler)
		case storeAway:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
		case <-time.After(4 * time.Millisecond):
		}
		next(w, r)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storedItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	rev, era := s.rev, s.era
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > storePageItems
	items = items[:min(len(items), storePageItems)]
	reply(w, era, map[string]any{"items": items, "hasMore": more, "currentRev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, cut, rev, era := s.changed, s.cut, s.rev, s.era
		events := []storedItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if after > rev {
			setEra(w, era)
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, era, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, era, map[string]any{"events": events, "currentRev": rev})
			return
		case <-cut:
			s.mu.Lock()
			mode := s.mode
			s.mu.Unlock()
			if mode == storeSilent {
				<-r.Context().Done()
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func setEra(w http.ResponseWriter, era int) {
	if era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(era))
	}
}

func reply(w http.ResponseWriter, era int, body any) {
	setEra(w, era)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_ = s.srv.Shutdown(ctx)
	_ = s.srv.Close()
}
