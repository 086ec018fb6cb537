package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/standin/upstream"
)

// Outcome classifies the result of a request as its caller sees it.
type Outcome string

// Outcomes of requests.
const (
	// Answered means that a complete response of an upstream arrived.
	Answered Outcome = "answered"
	// NotRun, Unknown and Ran mean that the gateway refused the request and stated
	// whether an upstream ran it.
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
	Ran     Outcome = "ran"
	// Failed means that no response or an incomplete one arrived.
	Failed Outcome = "failed"
	// Mismatched means that the response belongs to another request.
	Mismatched Outcome = "wrong"
)

// RequestPlan describes the requests that one owner sends.
type RequestPlan struct {
	Service  config.ServiceName
	Owner    string
	Method   string
	Path     string
	Deadline time.Duration
	// Concurrency is the number of outstanding requests of a closed loop. If
	// RatePerSecond isn't zero, requests start at that rate instead, in an open loop.
	Concurrency   int
	RatePerSecond float64
	// Keyed gives each request an idempotency key.
	Keyed bool
	// RepeatProbability is the probability that a request with a key is sent once more
	// through a randomly chosen VM, at the same time or after its end.
	RepeatProbability float64
	// BodyBytes is the size of the request body, without the request number that is
	// appended to it.
	BodyBytes int
}

// RequestResult is the result of sending a request once.
type RequestResult struct {
	Key      string
	Owner    string
	Outcome  Outcome
	Status   int
	Reason   string
	Sent     time.Time
	Done     time.Time
	Response upstream.Response
	Detail   string
}

// RequestDriver sends HTTP requests to gateways and records their results.
type RequestDriver struct {
	http       *http.Client
	gateways   func() []netip.AddrPort
	lastNumber atomic.Int64

	mu      sync.Mutex
	rng     *rand.Rand
	results []RequestResult
	wg      sync.WaitGroup
}

// NewRequestDriver returns a driver that sends each request to a random one of the
// gateways that the function returns at that moment.
func NewRequestDriver(gateways func() []netip.AddrPort, seed uint64) (r *RequestDriver, cleanup func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 2 * time.Second}
	r = &RequestDriver{
		http:     &http.Client{Transport: t},
		gateways: gateways, rng: rand.New(rand.NewPCG(seed, 4)),
	}
	return r, t.CloseIdleConnections
}

// Start sends the requests of a plan until ctx is done.
func (r *RequestDriver) Start(ctx context.Context, p RequestPlan) {
	if p.RatePerSecond > 0 {
		r.wg.Add(1)
		go r.openLoop(ctx, p)
		return
	}
	for range p.Concurrency {
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			for ctx.Err() == nil {
				r.sendWithRepeats(p)
			}
		}()
	}
}

func (r *RequestDriver) openLoop(ctx context.Context, p RequestPlan) {
	defer r.wg.Done()
	t := time.NewTicker(time.Duration(float64(time.Second) / p.RatePerSecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.wg.Add(1)
			go func() {
				defer r.wg.Done()
				r.sendWithRepeats(p)
			}()
		}
	}
}

// Wait waits until all requests have ended.
func (r *RequestDriver) Wait() { r.wg.Wait() }

// Results returns a copy of all results so far.
func (r *RequestDriver) Results() []RequestResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]RequestResult(nil), r.results...)
}

func (r *RequestDriver) chance(p float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < p
}

func (r *RequestDriver) pickGateway() (netip.AddrPort, bool) {
	list := r.gateways()
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return list[r.rng.IntN(len(list))], true
}

// sendWithRepeats sends a request. One with a key is repeated at random, and after a
// failed or unknown outcome.
func (r *RequestDriver) sendWithRepeats(p RequestPlan) {
	n := r.lastNumber.Add(1)
	body := bytes.Repeat([]byte("b"), p.BodyBytes)
	body = append(body, fmt.Sprint(n)...)
	key := ""
	if p.Keyed {
		key = uuid.Must(uuid.NewV7()).String()
	}
	together := p.Keyed && r.chance(p.RepeatProbability/2)
	done := make(chan struct{})
	if together {
		go func() {
			defer close(done)
			r.send(p, key, body, n)
		}()
	}
	res := r.send(p, key, body, n)
	if together {
		<-done
	}
	if p.Keyed && (res.Outcome == Failed || res.Outcome == Unknown || r.chance(p.RepeatProbability/2)) {
		r.send(p, key, body, n)
	}
}

func (r *RequestDriver) send(p RequestPlan, key string, body []byte, n int64) (res RequestResult) {
	res = RequestResult{Key: key, Owner: p.Owner, Sent: time.Now(), Outcome: Failed}
	defer func() {
		res.Done = time.Now()
		r.mu.Lock()
		r.results = append(r.results, res)
		r.mu.Unlock()
	}()
	to, ok := r.pickGateway()
	if !ok {
		return res
	}
	path := fmt.Sprintf("%s/%d", p.Path, n)
	ctx, cancel := context.WithTimeout(context.Background(), p.Deadline+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, p.Method, "http://"+to.String()+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		res.Detail = err.Error()
		return res
	}
	req.Host = string(p.Service)
	req.ContentLength = int64(len(body))
	req.Header.Set("X-Deadline-Millis", fmt.Sprint(p.Deadline.Milliseconds()))
	req.Header.Set(upstream.OwnerHeader, p.Owner)
	if key != "" {
		req.Header[rawKeyHeader] = []string{key}
	}
	resp, err := r.http.Do(req)
	if err != nil {
		res.Detail = err.Error()
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	res.Status = resp.StatusCode
	if err != nil {
		res.Detail = err.Error()
		return res
	}
	classify(&res, resp, data, path, body)
	return res
}

// rawKeyHeader is the idempotency key header in lower case, which net/http doesn't
// recognize: with the canonical name the client would retry failed requests by itself.
const rawKeyHeader = "idempotency-key"

// classify sets the outcome of a result from the response, and checks that the
// response belongs to the request.
func classify(res *RequestResult, resp *http.Response, data []byte, path string, body []byte) {
	outcome := resp.Header.Get("X-Request-Outcome")
	if resp.StatusCode != http.StatusOK {
		var refusal struct {
			Reason string `json:"reason"`
			Detail string `json:"detail"`
		}
		_ = json.Unmarshal(data, &refusal)
		res.Reason, res.Detail = refusal.Reason, refusal.Detail
		switch k := Outcome(outcome); k {
		case NotRun, Unknown, Ran:
			res.Outcome = k
		}
		return
	}
	sum := sha256.Sum256(body)
	err := json.Unmarshal(data, &res.Response)
	if err != nil || res.Response.Path != path || res.Response.Key != res.Key || res.Response.Digest != hex.EncodeToString(sum[:8]) {
		res.Outcome, res.Detail = Mismatched, string(data)
		return
	}
	res.Outcome = Answered
}

// RequestSummary holds counts and latency quantiles of requests.
type RequestSummary struct {
	ByOutcome map[Outcome]int `json:"byKind"`
	P50, P99  time.Duration
	// RanTwice counts the keys that ran more than once, and FalseNotRun the results
	// that reported NotRun for a key that ran.
	RanTwice    int `json:"doubled"`
	FalseNotRun int `json:"falseNotRun"`
}

const maxLatencyMicros = int64(time.Hour / time.Microsecond)

// Summarize counts results and compares them with the runs that the upstreams recorded.
func Summarize(results []RequestResult, runs []upstream.Run) (s RequestSummary) {
	s.ByOutcome = make(map[Outcome]int)
	h := hdrhistogram.New(1, maxLatencyMicros, 3)
	ran := make(map[string]int)
	for _, run := range runs {
		if run.Key != "" {
			ran[run.Key]++
		}
	}
	for _, n := range ran {
		if n > 1 {
			s.RanTwice++
		}
	}
	for _, r := range results {
		s.ByOutcome[r.Outcome]++
		if r.Outcome == Answered {
			_ = h.RecordValue(r.Done.Sub(r.Sent).Microseconds())
		}
		if r.Outcome == NotRun && r.Key != "" && ran[r.Key] > 0 {
			s.FalseNotRun++
		}
	}
	s.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	s.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	return s
}
