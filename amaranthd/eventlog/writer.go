package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queueLines is the number of lines that wait for a slow reader.
const queueLines = 1024

// Writer hands lines to a goroutine that writes them. Lines that find the
// queue full are counted and left out. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer in front of w. The cleanup waits until the queued
// lines are written or ctx of the cleanup ends.
func NewWriter(w io.Writer) (lw *Writer, cleanup func(ctx context.Context)) {
	lw = &Writer{lines: make(chan []byte, queueLines)}
	ended := make(chan struct{})
	stop := make(chan struct{})
	go func() {
		defer close(ended)
		lw.run(w, stop)
	}()
	return lw, func(ctx context.Context) {
		close(stop)
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
}

// Write queues a line. It never fails and never blocks.
func (lw *Writer) Write(line []byte) (int, error) {
	select {
	case lw.lines <- append([]byte(nil), line...):
	default:
		lw.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines left out so far.
func (lw *Writer) Dropped() int64 { return lw.dropped.Load() }

func (lw *Writer) run(w io.Writer, stop <-chan struct{}) {
	reported := int64(0)
	for {
		select {
		case line := <-lw.lines:
			_, _ = w.Write(line)
		case <-stop:
			lw.drain(w)
			return
		}
		if n := lw.dropped.Load(); n > reported && len(lw.lines) == 0 {
			_, _ = fmt.Fprintf(w, `{"level":"WARN","msg":"linesDropped","event":1007,"lines":%d}`+"\n", n-reported)
			reported = n
		}
	}
}

// drain writes what is queued.
func (lw *Writer) drain(w io.Writer) {
	for {
		select {
		case line := <-lw.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}
