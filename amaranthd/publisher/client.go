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
	indexHeader = "X-Platform-Index"
	// maxValueBytes is one more than configfile.MaxFileBytes, so that a value over
	// the limit is rejected rather than truncated to a valid length.
	maxValueBytes = 1<<20 + 1
	// responseMargin is added to the wait of a blocking query for its timeout.
	responseMargin = 5 * time.Second
)

// Key is the name of a value of the configuration service.
type Key string

// Keys of the values that the daemon reads.
const (
	ConfigKey Key = "config"
	VMsKey    Key = "vms"
)

// Client reads values from the configuration service. It is safe for concurrent
// use.
type Client struct {
	baseURLs  []string
	http      *http.Client
	wait      clock.Millis
	retry     clock.Millis
	calls     atomic.Int64
	baseIndex atomic.Int64
}

// New returns a client of the configuration service, which is reachable at any of
// the base URLs. The client switches to the next URL after a failure. wait is the
// maximum duration of a blocking query, and retry the delay after a failed one.
func New(bases []string, wait, retry clock.Millis) (c *Client, cleanup func()) {
	c = &Client{baseURLs: bases, http: &http.Client{Transport: &http.Transport{}}, wait: wait, retry: retry}
	return c, c.http.CloseIdleConnections
}

// Calls returns the number of queries since the client was created.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Watch calls onValue with each new value of key and onError with each error, until
// ctx ends. No queries are sent while allowed returns false. The first query, and
// the first after an error, returns the current value at once.
func (c *Client) Watch(ctx context.Context, key Key, allowed func() bool, onValue func([]byte), onError func(error)) {
	index := uint64(0)
	for ctx.Err() == nil {
		if len(c.baseURLs) == 0 || !allowed() {
			sleep(ctx, c.retry)
			continue
		}
		body, at, err := c.query(ctx, key, index)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			onError(err)
			c.baseIndex.Add(1)
			index = 0
			sleep(ctx, c.retry)
		case at != index:
			index = at
			onValue(body)
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
	ctx, cancel := context.WithTimeout(ctx, wait.Duration()+responseMargin)
	defer cancel()
	q := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {wait.Duration().String()}}
	base := c.baseURLs[int(c.baseIndex.Load())%len(c.baseURLs)]
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
