package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run, and what was done.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), begin: time.Now()}, nil
}

// seconds returns t in seconds from the start of traffic.
func (r *record) seconds(t time.Time) float64 { return t.Sub(r.begin).Seconds() }

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", r.seconds(time.Now()))
	fmt.Fprintf(r.out, format, args...)
	_ = r.out.WriteByte('\n')
}

// note also prints to the standard output.
func (r *record) note(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{r.seconds(time.Now())}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
