package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
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

const (
	network  = 9
	flows    = 3000
	openRate = 2500
	// removedDomain is taken out of service and put back.
	removedDomain config.DomainName = "hue-c"
)

// Run starts the deployment, applies load during a drain and while a failure
// domain is taken out and put back, and writes the report to w.
func Run(ctx context.Context, w io.Writer, o Options) (err error) {
	defer func() { err = eris.Wrap(err, "demo") }()
	progress := func(format string, args ...any) {
		if !o.JSON {
			fmt.Fprintf(w, format+"\n", args...)
		}
	}
	log := slog.New(slog.DiscardHandler)
	s, cleanup, err := site.New(ctx, examples.Workshop, InProcess(log), site.WithNetwork(network), site.WithSeed(o.Seed),
		site.WithSettings(map[string]any{"timers": map[string]any{"leaveMillis": 500}}))
	if err != nil {
		return err
	}
	defer cleanup()
	progress("starting %d daemons in %d failure domains", len(s.VMs), len(s.Config.Domains))
	if err = s.StartAll(); err != nil {
		return err
	}
	time.Sleep(startupTime)
	reqs, closeRequests := caller.NewRequestDriver(s.Gateways, o.Seed)
	defer closeRequests()
	reqCtx, stopRequests := context.WithCancel(ctx)
	defer stopRequests()
	for _, p := range requests(s) {
		reqs.Start(reqCtx, p)
	}
	left, err := runLoad(ctx, s, o.Duration, progress)
	if err != nil {
		return err
	}
	stopRequests()
	reqs.Wait()
	return write(w, o, report(s, o, reqs.Results(), left))
}

// startupTime is the time until witnesses (package claim) that have just started
// grant new keys.
const startupTime = 5 * time.Second

// requests returns the request load of both services: commissions, which must not
// run twice, and scans.
func requests(s *site.Site) []caller.RequestPlan {
	return []caller.RequestPlan{
		{
			Service: s.Config.Services[0].Name, Owner: "clan-hall", Method: "POST", Path: "/commissions",
			Deadline: 3 * time.Second, Concurrency: 6, Keyed: true, RepeatProbability: 0.3, BodyBytes: 100,
		},
		{
			Service: s.Config.Services[1].Name, Owner: "school", Method: "GET", Path: "/scans",
			Deadline: 3 * time.Second, Concurrency: 3,
		},
	}
}

// runLoad opens flows and publishes the configuration changes at equal intervals
// over d. It returns the time at which the failure domain was taken out.
func runLoad(ctx context.Context, s *site.Site, d time.Duration, progress func(string, ...any)) (left time.Time, err error) {
	for i := range s.Config.Services {
		sv := &s.Config.Services[i]
		s.Flows.Add(caller.FlowPlan{
			VNI: sv.VNI, Address: sv.Address, Flows: flows * len(sv.Upstreams) / 18, OpenPerSecond: openRate,
			Interval: time.Second, RetransmitTimeout: 300 * time.Millisecond, Reconnect: true,
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
			expectBreaks(s, removedDomain)
			left = time.Now()
		}
		if err = s.Publish(step.edit); err != nil {
			return left, err
		}
		time.Sleep(pause)
		if ctx.Err() != nil {
			return left, ctx.Err()
		}
	}
	return left, nil
}

// expectBreaks marks breaks of flows to upstreams in d as expected.
func expectBreaks(s *site.Site, d config.DomainName) {
	for _, sv := range s.Config.Services {
		for _, u := range sv.Upstreams {
			if u.Domain == d {
				s.Flows.ExpectBreaks(u.Name)
			}
		}
	}
}
