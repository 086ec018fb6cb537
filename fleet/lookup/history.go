package lookup

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

const (
	maxPastTables = 8
	maxPastAge    = 24 * 3600 * clock.Second
)

type pastTable struct {
	table *Table
	until clock.Millis
}

// History is a service's current table and the ones it replaced, newest
// first. It is immutable.
type History struct {
	current *Table
	past    []pastTable
}

// NewHistory returns a history that holds t alone.
func NewHistory(t *Table) *History { return &History{current: t} }

// Current returns the table that places new flows.
func (h *History) Current() *Table { return h.current }

// WithTable returns the history in which t replaces the current table at now.
func (h *History) WithTable(now clock.Millis, t *Table) *History {
	if h.current.Equal(t) {
		return h
	}
	next := &History{current: t, past: []pastTable{{table: h.current, until: now}}}
	for _, p := range h.past {
		if len(next.past) == maxPastTables || now-p.until > maxPastAge {
			break
		}
		next.past = append(next.past, p)
	}
	return next
}

// Candidates appends to buf each upstream that the flow's slot has had, the
// current one first, without repeats.
func (h *History) Candidates(id flow.ID, buf []config.UpstreamID) []config.UpstreamID {
	if u := h.current.Pick(id); u != 0 {
		buf = append(buf, u)
	}
	for _, p := range h.past {
		if u := p.table.Pick(id); u != 0 && !contains(buf, u) {
			buf = append(buf, u)
		}
	}
	return buf
}

func contains(list []config.UpstreamID, u config.UpstreamID) bool {
	for _, have := range list {
		if have == u {
			return true
		}
	}
	return false
}

// ChangedAt returns when the current table replaced another, or zero.
func (h *History) ChangedAt() clock.Millis {
	if len(h.past) == 0 {
		return 0
	}
	return h.past[0].until
}
