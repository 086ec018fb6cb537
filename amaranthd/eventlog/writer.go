package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queueCapacity is the number of lines that are queued while the underlying writer
// blocks.
const queueCapacity = 1024

// Writer queues lines for a goroutine that writes them. Lines that arrive while
// the queue is full are dropped and counted. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to w. The cleanup function waits until
// the queued lines are written or its ctx is done.
func NewWriter(w io.Writer) (lw *Writer, cleanup func(ctx context.Context)) {
	lw = &Writer{lines: make(chan []byte, queueCapacity)}
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

// Write queues a copy of line, or drops it if the queue is full. It never blocks
// and never returns an error.
func (lw *Writer) Write(line []byte) (int, error) {
	select {
	case lw.lines <- append([]byte(nil), line...):
	default:
		lw.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
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

// drain writes the queued lines.
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
