package eventlog

import (
	"context"
	"log/slog"
	"sync"
)

// maxLinesPerSecond is the maximum number of lines per second for each event.
const maxLinesPerSecond = 100

// omittedMessage is the message of the line that reports how many lines were
// omitted.
const omittedMessage = "linesOmitted"

// LimitHandler is a slog.Handler that limits the lines per second of each event,
// and reports the number of omitted lines before the next line of that event. Each
// event has its own limit, so that frequent events do not suppress others. It is
// safe for concurrent use if the next handler is.
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

// NewLimitHandler returns a LimitHandler that passes records on to next.
func NewLimitHandler(next slog.Handler) *LimitHandler {
	return &LimitHandler{next: next, state: &limitState{events: make(map[string]*eventCount)}}
}

// Enabled implements slog.Handler.
func (h *LimitHandler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h *LimitHandler) Handle(ctx context.Context, r slog.Record) error {
	pass, omitted := h.state.count(r.Message, r.Time.Unix())
	if omitted > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, omittedMessage, 0)
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

// count counts a line and returns whether it passes, and the number of omitted
// lines to report if a new second has begun.
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
	if c.passed >= maxLinesPerSecond {
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

// New returns a logger that writes rate-limited JSON lines to w.
func New(w *Writer, level slog.Level) *slog.Logger {
	return slog.New(NewLimitHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: formatTime})))
}

// formatTime formats the time of a record in UTC with milliseconds.
func formatTime(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey {
		return slog.String(slog.TimeKey, a.Value.Time().UTC().Format("2006-01-02T15:04:05.000Z"))
	}
	return a
}
