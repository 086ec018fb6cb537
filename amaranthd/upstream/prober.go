package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/document"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

const (
	// probersPerUpstream is the number of VMs of an upstream's failure domain
	// that probe it.
	probersPerUpstream = 2
	maxHealthBodyBytes = 1 << 12
)

// health is the response body of an upstream's health endpoint. StartMillis is
// the time at which the upstream started, which may be a fraction.
type health struct {
	Healthy     bool    `json:"healthy"`
	StartMillis float64 `json:"startMillis"`
}

// target is an upstream in this VM's failure domain that may be probed.
type target struct {
	id      config.UpstreamID
	address string
}

// probeState is the health state of one upstream.
type probeState struct {
	detector warmup.Detector
	verdict  warmup.Verdict
}

// Prober probes the health of the upstreams in its failure domain. It is safe for
// concurrent use.
type Prober struct {
	self   config.VMID
	domain config.DomainName
	clk    clock.Clock
	period clock.Millis
	http   *http.Client
	// onVerdict is called when the verdict on an upstream changes.
	onVerdict func(now clock.Millis, id config.UpstreamID, v warmup.Verdict)

	mu        sync.Mutex
	targets   []target
	domainVMs []config.VMID
	states    map[config.UpstreamID]*probeState
}

// NewProber returns a prober that calls onVerdict with each changed verdict.
// period is the time between two probes of an upstream; a probe times out after
// half of it.
func NewProber(self config.VMID, domain config.DomainName, clk clock.Clock, period clock.Millis, onVerdict func(clock.Millis, config.UpstreamID, warmup.Verdict)) (p *Prober, cleanup func()) {
	p = &Prober{
		self: self, domain: domain, clk: clk, period: period, onVerdict: onVerdict,
		http:   &http.Client{Transport: &http.Transport{}, Timeout: period.Duration() / 2},
		states: make(map[config.UpstreamID]*probeState),
	}
	return p, p.http.CloseIdleConnections
}

// SetConfig replaces the upstreams to probe with those of a configuration.
func (p *Prober) SetConfig(f *config.File) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = nil
	for i := range f.Services {
		s := &f.Services[i]
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			if u.Domain == p.domain && u.HTTPAddress != "" && f.DomainState(u.Domain) == config.DomainIn {
				p.targets = append(p.targets, target{id: s.ID(u), address: u.HTTPAddress})
			}
		}
	}
}

// SetDomainVMs sets the live VMs of the own failure domain, self included, among
// which the upstreams are divided.
func (p *Prober) SetDomainVMs(vms []config.VMID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domainVMs = vms
}

// Run probes once per period until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	t := time.NewTicker(p.period.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			p.probeAll(ctx)
		}
	}
}

// assigned returns the upstreams that this VM is designated to probe.
func (p *Prober) assigned() (list []target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if homes.IsDesignated(fmt.Sprintf("probe %d", t.id), p.domainVMs, probersPerUpstream, p.self) {
			list = append(list, t)
		}
	}
	return list
}

// probeAll probes each assigned upstream once, concurrently, and waits for the
// results.
func (p *Prober) probeAll(ctx context.Context) {
	list := p.assigned()
	ended := make(chan struct{}, len(list))
	for _, t := range list {
		go func() {
			startedAt, err := p.probe(ctx, t.address)
			p.record(t.id, func(now clock.Millis, d *warmup.Detector) {
				if err != nil {
					d.ProbeFailed(now)
					return
				}
				d.ProbeSucceeded(now, startedAt)
			})
			ended <- struct{}{}
		}()
	}
	for range list {
		<-ended
	}
}

// probe returns the time at which the upstream started. It returns an error if the
// upstream does not report itself healthy.
func (p *Prober) probe(ctx context.Context, address string) (startedAt clock.Millis, err error) {
	defer func() { err = eris.Wrapf(err, "upstream: probe %s", address) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return 0, err
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var h health
	if err = document.DecodeFrom(resp.Body, maxHealthBodyBytes, &h); err != nil {
		return 0, err
	}
	if !h.Healthy {
		return 0, errUnhealthy
	}
	return clock.FromFloat(h.StartMillis)
}

var errUnhealthy = errors.New("upstream reports that it is not healthy")

// RecordColdRefusal records that an upstream refused a request because it is
// still warming up.
func (p *Prober) RecordColdRefusal(id config.UpstreamID) {
	p.record(id, func(now clock.Millis, d *warmup.Detector) { d.RefusedAsCold(now) })
}

// record adds a signal to the detector of an upstream and calls onVerdict if the
// verdict changed.
func (p *Prober) record(id config.UpstreamID, signal func(now clock.Millis, d *warmup.Detector)) {
	now := p.clk.Now()
	p.mu.Lock()
	k := p.states[id]
	if k == nil {
		k = &probeState{}
		p.states[id] = k
	}
	signal(now, &k.detector)
	verdict := k.detector.Verdict(now)
	verdictChanged := verdict != k.verdict
	k.verdict = verdict
	p.mu.Unlock()
	if verdictChanged {
		p.onVerdict(now, id, verdict)
	}
}
