package publisher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

const (
	indexHeader   = "X-Platform-Index"
	maxValueBytes = 1<<20 + 1
	answerGrace   = 5 * time.Second
)

// Key names a value of the service.
type Key string

// Values that the daemon reads.
const (
	ConfigKey Key = "config"
	VMsKey    Key = "vms"
)

// Client reads values. It is safe for concurrent use.
type Client struct {
	bases []string
	http  *http.Client
	wait  clock.Millis
	retry clock.Millis
	calls atomic.Int64
	next  atomic.Int64
}

// New returns a client of the services at the base URLs, of which it uses
// the next one after a failure. wait is the length of a blocking query and
// retry the pause after a failed one.
func New(bases []string, wait, retry clock.Millis) (c *Client, cleanup func()) {
	c = &Client{bases: bases, http: &http.Client{Transport: &http.Transport{}}, wait: wait, retry: retry}
	return c, c.http.CloseIdleConnections
}

// Calls returns the number of queries so far.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Watch calls got with each new value of key and failed with each error, until
// ctx ends. allowed tells whether this VM should watch now; while it tells no,
// no queries are made. The first query does not block.
func (c *Client) Watch(ctx context.Context, key Key, allowed func() bool, got func([]byte), failed func(error)) {
	index := uint64(0)
	for ctx.Err() == nil {
		if len(c.bases) == 0 || !allowed() {
			sleep(ctx, c.retry)
			continue
		}
		body, at, err := c.query(ctx, key, index)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			failed(err)
			c.next.Add(1)
			index = 0
			sleep(ctx, c.retry)
		case at != index:
			index = at
			got(body)
		}
	}
}

func sleep(ctx context.Context, d clock.Millis) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (c *Client) query(ctx context.Context, key Key, index uint64) (body []byte, at uint64, err error) {
	defer func() { err = eris.Wrapf(err, "publisher: query %s", key) }()
	c.calls.Add(1)
	wait := clock.Millis(0)
	if index > 0 {
		wait = c.wait
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration()+answerGrace)
	defer cancel()
	q := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {wait.Duration().String()}}
	base := c.bases[int(c.next.Load())%len(c.bases)]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/"+string(key)+"?"+q.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err = io.ReadAll(io.LimitReader(resp.Body, maxValueBytes)); err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	at, err = strconv.ParseUint(resp.Header.Get(indexHeader), 10, 64)
	return body, at, err
}
