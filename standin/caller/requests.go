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

// Outcome tells how a caller understands what it got.
type Outcome string

// Kinds of results.
const (
	// Answered means that a whole answer of an upstream came.
	Answered Outcome = "answered"
	// NotRun, Unknown and Ran are truthful refusals.
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
	Ran     Outcome = "ran"
	// Failed means that no answer came, or a part of one.
	Failed Outcome = "failed"
	// Mismatched means that the answer belongs to another request.
	Mismatched Outcome = "wrong"
)

// RequestPlan describes the requests of one owner.
type RequestPlan struct {
	Service  config.ServiceName
	Owner    string
	Method   string
	Path     string
	Deadline time.Duration
	// Concurrency is the number of requests at a time; Rate, if not zero, starts
	// requests at that many a second instead, however many are under way.
	Concurrency   int
	RatePerSecond float64
	// Keyed gives each request an idempotency key.
	Keyed bool
	// RepeatProbability is the probability that a request with a key is sent once more
	// through another VM, at the same time or after its end.
	RepeatProbability float64
	// BodyBytes is the size of the request body.
	BodyBytes int
}

// RequestResult is what a caller got for one sending of a request.
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

// RequestDriver sends requests to gateways.
type RequestDriver struct {
	http     *http.Client
	gateways func() []netip.AddrPort
	number   atomic.Int64

	mu      sync.Mutex
	rng     *rand.Rand
	results []RequestResult
	wg      sync.WaitGroup
}

// NewRequestDriver returns a driver that sends to the gateways that the function
// lists at the time.
func NewRequestDriver(gateways func() []netip.AddrPort, seed uint64) (r *RequestDriver, cleanup func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 2 * time.Second}
	r = &RequestDriver{
		http:     &http.Client{Transport: t},
		gateways: gateways, rng: rand.New(rand.NewPCG(seed, 4)),
	}
	return r, t.CloseIdleConnections
}

// Start sends the requests of a plan until ctx ends.
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
				r.one(p)
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
				r.one(p)
			}()
		}
	}
}

// Wait returns when all requests have ended.
func (r *RequestDriver) Wait() { r.wg.Wait() }

// Results returns all results so far.
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

func (r *RequestDriver) pick() (netip.AddrPort, bool) {
	list := r.gateways()
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return list[r.rng.IntN(len(list))], true
}

// one sends a request and, by chance, its repeats.
func (r *RequestDriver) one(p RequestPlan) {
	n := r.number.Add(1)
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
	to, ok := r.pick()
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
		req.Header[keyHeaderField] = []string{key}
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
	judge(&res, resp, data, path, body)
	return res
}

// keyHeaderField is written so that the caller's own HTTP client does not send
// a request again by itself.
const keyHeaderField = "idempotency-key"

// judge tells what an answer means and whether it belongs to the request.
func judge(res *RequestResult, resp *http.Response, data []byte, path string, body []byte) {
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

// RequestSummary sums up results.
type RequestSummary struct {
	ByOutcome map[Outcome]int `json:"byKind"`
	P50, P99  time.Duration
	// RanTwice counts keys that ran more than once, FalseNotRun keys that ran
	// although a caller was told that they did not.
	RanTwice    int `json:"doubled"`
	FalseNotRun int `json:"falseNotRun"`
}

const highestLatency = int64(time.Hour / time.Microsecond)

// Summarize compares results with the runs that the back ends logged.
func Summarize(results []RequestResult, runs []upstream.Run) (s RequestSummary) {
	s.ByOutcome = make(map[Outcome]int)
	h := hdrhistogram.New(1, highestLatency, 3)
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
