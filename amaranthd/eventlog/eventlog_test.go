package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until release is closed, as a standard
// output does that nobody reads.
type blockedWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestWriterNeverBlocks(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	w, cleanup := NewWriter(out)
	begun := time.Now()
	for i := range 10 * queueCapacity {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(begun) < time.Second)
	assert.Assert(t, w.Dropped() >= 9*queueCapacity-1)
	close(out.release)
	cleanup(t.Context())
}

func TestWriterReportsDroppedLines(t *testing.T) {
	var buf bytes.Buffer
	release := make(chan struct{})
	first := true
	w, cleanup := NewWriter(writerFunc(func(b []byte) (int, error) {
		if first {
			first = false
			<-release
		}
		return buf.Write(b)
	}))
	for range 2 * queueCapacity {
		_, _ = w.Write([]byte("{}\n"))
	}
	dropped := w.Dropped()
	close(release)
	for deadline := time.Now().Add(5 * time.Second); len(w.lines) > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	_, _ = w.Write([]byte("{}\n"))
	cleanup(t.Context())
	assert.Assert(t, strings.Contains(buf.String(), fmt.Sprintf(`"event":1007,"lines":%d`, dropped)))
}

type writerFunc func(b []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

func TestLimit(t *testing.T) {
	var buf bytes.Buffer
	h := NewLimitHandler(slog.NewJSONHandler(&buf, nil))
	second := time.Unix(1000, 0)
	log := func(at time.Time, name string) {
		assert.NilError(t, h.Handle(context.Background(), slog.NewRecord(at, slog.LevelInfo, name, 0)))
	}
	for range maxLinesPerSecond + 40 {
		log(second, "routine")
	}
	log(second, "rare")
	log(second.Add(time.Second), "routine")
	counts := make(map[string]int)
	for line := range strings.Lines(buf.String()) {
		var entry struct {
			Msg   string
			Lines int
			Of    string
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &entry))
		counts[entry.Msg]++
		if entry.Msg == omittedMessage {
			assert.Equal(t, entry.Lines, 40)
			assert.Equal(t, entry.Of, "routine")
		}
	}
	assert.DeepEqual(t, counts, map[string]int{"routine": maxLinesPerSecond + 1, "rare": 1, omittedMessage: 1})
}

func BenchmarkLine(b *testing.B) {
	w, cleanup := NewWriter(io.Discard)
	log := New(w, slog.LevelInfo)
	for b.Loop() {
		log.Info("requestForwarded", slog.Int("event", 6010), slog.String("request", "892e9e47e806e02b"))
	}
	cleanup(b.Context())
}
