package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/examples"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/standin/caller"
	"github.com/amaranthswitch/amaranthswitch/standin/site"
)

// Options configure a demo.
type Options struct {
	JSON     bool
	Seed     uint64
	Duration time.Duration
}

// Report is the result of a demo.
type Report struct {
	Seed         uint64        `json:"seed"`
	Daemons      int           `json:"daemons"`
	Flows        caller.Result `json:"flows"`
	MaxOverMean  float64       `json:"maxOverMean"`
	Variation    float64       `json:"coefficientOfVariation"`
	LongestStall time.Duration `json:"longestStall"`
	// Requests sums up what callers got and compares it with what the back
	// ends ran. Lost counts requests without any answer.
	Requests caller.RequestSummary `json:"requests"`
	Lost     int                   `json:"lost"`
}

const (
	network  = 9
	flows    = 3000
	openRate = 2500
)

// Run starts the deployment, puts it under load through a drain and a failure
// domain that leaves and returns, and prints the report to w.
func Run(ctx context.Context, w io.Writer, o Options) (err error) {
	defer func() { err = eris.Wrap(err, "demo") }()
	progress := func(format string, args ...any) {
		if !o.JSON {
			fmt.Fprintf(w, format+"\n", args...)
		}
	}
	log := slog.New(slog.DiscardHandler)
	s, cleanup, err := site.New(ctx, examples.Workshop, Embedded(log), site.WithNetwork(network), site.WithSeed(o.Seed),
		site.WithSettings(map[string]any{"timers": map[string]any{"leaveMillis": 500}}))
	if err != nil {
		return err
	}
	defer cleanup()
	progress("starting %d daemons in %d failure domains", len(s.VMs), len(s.Config.Domains))
	if err = s.StartAll(); err != nil {
		return err
	}
	time.Sleep(startTime)
	reqs, closeRequests := caller.NewRequests(s.Gateways, o.Seed)
	defer closeRequests()
	reqCtx, stopRequests := context.WithCancel(ctx)
	defer stopRequests()
	for _, p := range requests(s) {
		reqs.Start(reqCtx, p)
	}
	if err = load(ctx, s, o.Duration, progress); err != nil {
		return err
	}
	stopRequests()
	reqs.Wait()
	r := report(s, o)
	r.Requests = caller.Summarize(reqs.Results(), s.Runs())
	r.Lost = r.Requests.ByKind[caller.Failed] + r.Requests.ByKind[caller.Wrong]
	return write(w, o, r)
}

// startTime is the time until witnesses that just started trust new keys.
const startTime = 5 * time.Second

// requests returns the load of both services: commissions, which must not run
// twice, and scans.
func requests(s *site.Site) []caller.RequestPlan {
	return []caller.RequestPlan{
		{
			Service: s.Config.Services[0].Name, Owner: "clan-hall", Method: "POST", Path: "/commissions",
			Deadline: 3 * time.Second, Workers: 6, Keyed: true, Repeat: 0.3, Body: 100,
		},
		{
			Service: s.Config.Services[1].Name, Owner: "school", Method: "GET", Path: "/scans",
			Deadline: 3 * time.Second, Workers: 3,
		},
	}
}

// load opens flows and changes the configuration in five equal steps.
func load(ctx context.Context, s *site.Site, d time.Duration, progress func(string, ...any)) (err error) {
	for i := range s.Config.Services {
		sv := &s.Config.Services[i]
		s.Callers.Add(caller.Plan{
			VNI: sv.VNI, Address: sv.Address, Flows: flows * len(sv.Upstreams) / 18, OpenPerSecond: openRate,
			Interval: time.Second, Retransmit: 300 * time.Millisecond, Reconnect: true,
		})
	}
	progress("opening %d flows", flows)
	steps := []struct {
		text string
		edit func(f *config.File)
	}{
		{"draining atelier-1", func(f *config.File) { f.Services[0].Upstreams[0].State = config.UpstreamDrain }},
		{"taking failure domain hue-c out", func(f *config.File) { f.Domains[2].State = config.DomainOut }},
		{"taking failure domain hue-c in again", func(f *config.File) { f.Domains[2].State = config.DomainIn }},
	}
	pause := d / time.Duration(len(steps)+1)
	time.Sleep(pause)
	for _, step := range steps {
		progress("%s", step.text)
		if step.text == steps[1].text {
			excuse(s, "hue-c")
		}
		if err = s.Publish(step.edit); err != nil {
			return err
		}
		time.Sleep(pause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// excuse lets flows break that end in a failure domain.
func excuse(s *site.Site, d config.DomainName) {
	for _, sv := range s.Config.Services {
		for _, u := range sv.Upstreams {
			if u.Domain == d {
				s.Callers.Excuse(u.Name)
			}
		}
	}
}

func report(s *site.Site, o Options) Report {
	r := Report{Seed: o.Seed, Daemons: len(s.VMs), Flows: s.Callers.Result()}
	r.LongestStall = r.Flows.LongestStall
	var loads []float64
	for _, u := range s.Config.Services[0].Upstreams {
		if u.State == config.UpstreamActive && u.Domain != "hue-c" {
			loads = append(loads, float64(r.Flows.ByServer[string(u.Name)]))
		}
	}
	r.MaxOverMean, r.Variation = Imbalance(loads)
	return r
}

// Imbalance returns the largest load over the mean, and the coefficient of
// variation of the loads.
func Imbalance(loads []float64) (maxOverMean, variation float64) {
	sum, top := 0.0, 0.0
	for _, l := range loads {
		sum += l
		top = max(top, l)
	}
	mean := sum / float64(len(loads))
	if mean == 0 {
		return 0, 0
	}
	squares := 0.0
	for _, l := range loads {
		squares += (l - mean) * (l - mean)
	}
	return top / mean, math.Sqrt(squares/float64(len(loads))) / mean
}

func write(w io.Writer, o Options, r Report) error {
	if o.JSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	fmt.Fprintf(w, "\n%-34s %8d\n", "flows opened", r.Flows.Opened)
	fmt.Fprintf(w, "%-34s %8d\n", "broken flows", r.Flows.Broken)
	fmt.Fprintf(w, "%-34s %8d\n", "flows ended with their domain", r.Flows.Excused)
	fmt.Fprintf(w, "%-34s %8.3f\n", "imbalance, max/mean", r.MaxOverMean)
	fmt.Fprintf(w, "%-34s %8.3f\n", "imbalance, coefficient of variation", r.Variation)
	fmt.Fprintf(w, "%-34s %8s\n", "longest stall of a flow", r.LongestStall.Round(time.Millisecond))
	q := r.Requests
	fmt.Fprintf(w, "%-34s %8d\n", "requests answered", q.ByKind[caller.Answered])
	fmt.Fprintf(w, "%-34s %8d\n", "requests refused as not run", q.ByKind[caller.NotRun])
	fmt.Fprintf(w, "%-34s %8d\n", "requests refused as unknown or ran", q.ByKind[caller.Unknown]+q.ByKind[caller.Ran])
	fmt.Fprintf(w, "%-34s %8d\n", "requests lost", r.Lost)
	fmt.Fprintf(w, "%-34s %8d\n", "requests run twice", q.Doubled)
	fmt.Fprintf(w, "%-34s %8d\n", "requests falsely called not run", q.FalseNotRun)
	return nil
}
