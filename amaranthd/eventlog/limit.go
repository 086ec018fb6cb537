package eventlog

import (
	"context"
	"log/slog"
	"sync"
)

// perSecond bounds the lines of one event in a second.
const perSecond = 100

// omittedName is the name of the line that tells how many were left out.
const omittedName = "linesOmitted"

// LimitHandler passes on a bounded number of lines of each event in a second,
// and tells how many it left out with the next line of that event. Each event
// has a bound of its own, so that routine ones never crowd out others.
type LimitHandler struct {
	next  slog.Handler
	state *limitState
}

type limitState struct {
	mu     sync.Mutex
	events map[string]*eventCount
}

type eventCount struct {
	second  int64
	passed  int
	omitted int
}

// NewLimitHandler returns a handler before next.
func NewLimitHandler(next slog.Handler) *LimitHandler {
	return &LimitHandler{next: next, state: &limitState{events: make(map[string]*eventCount)}}
}

// Enabled implements slog.Handler.
func (h *LimitHandler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h *LimitHandler) Handle(ctx context.Context, r slog.Record) error {
	pass, omitted := h.state.count(r.Message, r.Time.Unix())
	if omitted > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, omittedName, 0)
		note.AddAttrs(slog.Int("event", 1009), slog.String("of", r.Message), slog.Int("lines", omitted))
		if err := h.next.Handle(ctx, note); err != nil {
			return err
		}
	}
	if !pass {
		return nil
	}
	return h.next.Handle(ctx, r)
}

// count counts a line and tells whether it passes, and how many lines of the
// last second are to be reported as left out.
func (s *limitState) count(name string, second int64) (pass bool, omitted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.events[name]
	if c == nil {
		c = &eventCount{}
		s.events[name] = c
	}
	if c.second != second {
		omitted = c.omitted
		*c = eventCount{second: second}
	}
	if c.passed >= perSecond {
		c.omitted++
		return false, omitted
	}
	c.passed++
	return true, omitted
}

// WithAttrs implements slog.Handler.
func (h *LimitHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &LimitHandler{next: h.next.WithAttrs(attrs), state: h.state}
}

// WithGroup implements slog.Handler.
func (h *LimitHandler) WithGroup(name string) slog.Handler {
	return &LimitHandler{next: h.next.WithGroup(name), state: h.state}
}

// New returns a logger of bounded JSON lines to w.
func New(w *Writer, level slog.Level) *slog.Logger {
	return slog.New(NewLimitHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shortTime})))
}

// shortTime writes times to the millisecond.
func shortTime(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey {
		return slog.String(slog.TimeKey, a.Value.Time().UTC().Format("2006-01-02T15:04:05.000Z"))
	}
	return a
}
