package lookup

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
)

// A History drops replaced tables beyond this number and age.
const (
	maxPastTables    = 8
	maxPastAgeMillis = 24 * 3600 * clock.Second
)

// pastTable is a table that a newer one replaced at replacedAt.
type pastTable struct {
	table      *Table
	replacedAt clock.Millis
}

// History holds the current table of a service and the replaced ones, newest
// first. It is immutable.
type History struct {
	current *Table
	past    []pastTable
}

// NewHistory returns a history with t as its only table.
func NewHistory(t *Table) *History { return &History{current: t} }

// Current returns the table that places new flows.
func (h *History) Current() *Table { return h.current }

// WithTable returns the history in which t replaces the current table at now,
// or h itself if the two tables are equal.
func (h *History) WithTable(now clock.Millis, t *Table) *History {
	if h.current.Equal(t) {
		return h
	}
	next := &History{current: t, past: []pastTable{{table: h.current, replacedAt: now}}}
	for _, p := range h.past {
		if len(next.past) == maxPastTables || now-p.replacedAt > maxPastAgeMillis {
			break
		}
		next.past = append(next.past, p)
	}
	return next
}

// Candidates appends to buf the upstreams that the tables assign to the flow,
// the current one first, without duplicates.
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

// ChangedAt returns the time at which the current table replaced another, or zero
// if it is the first.
func (h *History) ChangedAt() clock.Millis {
	if len(h.past) == 0 {
		return 0
	}
	return h.past[0].replacedAt
}
