package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/warmup"
)

const (
	// probersPerUpstream is the number of VMs of its failure domain that
	// probe an upstream.
	probersPerUpstream = 2
	healthBodyBytes    = 1 << 12
)

// health is the body of a health endpoint's answer.
type health struct {
	Healthy     bool  `json:"healthy"`
	StartMillis int64 `json:"startMillis"`
}

// target is an upstream that this VM may probe.
type target struct {
	id      config.UpstreamID
	address string
}

// probed is what is known of an upstream.
type probed struct {
	detector warmup.Detector
	verdict  warmup.Verdict
}

// Prober probes the health of the upstreams of its failure domain.
type Prober struct {
	self   config.VMID
	domain config.DomainName
	clk    clock.Clock
	period clock.Millis
	http   *http.Client
	// changed takes a new verdict on an upstream.
	changed func(now clock.Millis, id config.UpstreamID, v warmup.Verdict)

	mu      sync.Mutex
	targets []target
	near    []config.VMID
	known   map[config.UpstreamID]*probed
}

// NewProber returns a prober that calls changed with each new verdict.
func NewProber(self config.VMID, domain config.DomainName, clk clock.Clock, period clock.Millis, changed func(clock.Millis, config.UpstreamID, warmup.Verdict)) (p *Prober, cleanup func()) {
	p = &Prober{
		self: self, domain: domain, clk: clk, period: period, changed: changed,
		http:  &http.Client{Transport: &http.Transport{}, Timeout: period.Duration() / 2},
		known: make(map[config.UpstreamID]*probed),
	}
	return p, p.http.CloseIdleConnections
}

// SetConfig takes the upstreams to probe from a configuration.
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

// SetNear takes the living VMs of the own failure domain, self included, which
// share the upstreams among themselves.
func (p *Prober) SetNear(vms []config.VMID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.near = vms
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	t := time.NewTicker(p.period.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			p.round(ctx)
		}
	}
}

// mine returns the upstreams that fall to this VM.
func (p *Prober) mine() (list []target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if homes.IsDesignated(fmt.Sprintf("probe %d", t.id), p.near, probersPerUpstream, p.self) {
			list = append(list, t)
		}
	}
	return list
}

// round probes each of its upstreams once and waits for the answers.
func (p *Prober) round(ctx context.Context) {
	list := p.mine()
	ended := make(chan struct{}, len(list))
	for _, t := range list {
		go func() {
			h, err := p.probe(ctx, t.address)
			p.observe(t.id, func(now clock.Millis, d *warmup.Detector) {
				if err != nil || !h.Healthy {
					d.ProbeFailed(now)
					return
				}
				d.ProbeSucceeded(now, clock.Millis(h.StartMillis))
			})
			ended <- struct{}{}
		}()
	}
	for range list {
		<-ended
	}
}

func (p *Prober) probe(ctx context.Context, address string) (h health, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return h, err
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return h, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(resp.Body, healthBodyBytes)).Decode(&h)
	return h, err
}

// Refused records that an upstream refused a request as not yet warm.
func (p *Prober) Refused(id config.UpstreamID) {
	p.observe(id, func(now clock.Millis, d *warmup.Detector) { d.RefusedAsCold(now) })
}

// observe adds a signal and passes on a verdict that changed.
func (p *Prober) observe(id config.UpstreamID, signal func(now clock.Millis, d *warmup.Detector)) {
	now := p.clk.Now()
	p.mu.Lock()
	k := p.known[id]
	if k == nil {
		k = &probed{}
		p.known[id] = k
	}
	signal(now, &k.detector)
	verdict := k.detector.Verdict(now)
	changed := verdict != k.verdict
	k.verdict = verdict
	p.mu.Unlock()
	if changed {
		p.changed(now, id, verdict)
	}
}
