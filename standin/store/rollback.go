package store

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// eraHeader is the header with the era of the store.
const eraHeader = "Store-Era"

// change is a change of an item, with what is needed to undo it.
type change struct {
	at      time.Time
	key     string
	before  Item // the zero Item if there was none
	rev     uint64
	existed bool
}

// noteChange records the state of an item before a change. The caller holds mu and has
// given out the revision of the change.
func (s *Server) noteChange(key string) {
	before, existed := s.items[key]
	s.changes = append(s.changes, change{at: time.Now(), key: key, before: before, rev: s.rev, existed: existed})
}

// Rollback makes the store unavailable for the time away. It then comes back from a copy
// that was made the time age before it went away. The era is one higher, and revisions
// after that of the copy are given out again. Rollback returns when the store is back.
func (s *Server) Rollback(age, away time.Duration) {
	s.outage.Lock()
	defer s.outage.Unlock()
	made := time.Now().Add(-age)
	s.setAway(true)
	time.Sleep(away)
	s.mu.Lock()
	for i := len(s.changes) - 1; i >= 0 && s.changes[i].at.After(made); i-- {
		c := s.changes[i]
		delete(s.items, c.key)
		if c.existed {
			s.items[c.key] = c.before
		}
		s.rev = c.rev - 1
		s.changes = s.changes[:i]
	}
	s.history = slices.DeleteFunc(s.history, func(item Item) bool { return item.Revision > s.rev })
	s.compactedRev = min(s.compactedRev, s.rev)
	s.era++
	s.mu.Unlock()
	s.setAway(false)
}

// SetEraHeader replaces the text of the era header, which is left out if it is "none".
// The empty text ends that.
func (s *Server) SetEraHeader(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraText = text
}

// Era returns the era of the store.
func (s *Server) Era() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *Server) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// setAway sets whether the store is away, and wakes up watches, which it ends.
func (s *Server) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

// setEra sets the era header of a response that shows no items.
func (s *Server) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEra(w)
}

// writeEra sets the era header of a response. The caller holds mu.
func (s *Server) writeEra(w http.ResponseWriter) {
	text := s.eraText
	if text == "" {
		text = strconv.Itoa(s.era)
	}
	if text == "none" {
		w.Header().Del(eraHeader)
		return
	}
	w.Header().Set(eraHeader, text)
}
