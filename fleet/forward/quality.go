package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/quality"
)

// slowThreshold is the slowness above which SlowUpstreams counts an upstream.
const slowThreshold = 2

// updateQuality updates the quality of all upstreams with samples.
func (e *Engine) updateQuality(now clock.Millis, v *view) {
	if e.policy.IgnoreQuality {
		return
	}
	for _, list := range v.serving {
		var sampled []*target
		for _, t := range list {
			if t.load.quality.tick(now) {
				sampled = append(sampled, t)
			}
		}
		if len(sampled) == 0 {
			continue
		}
		s := e.serviceQuality(list, sampled)
		for _, t := range sampled {
			t.load.quality.weigh(&s)
		}
	}
}

// Samples returns what this VM recently observed of the answers of each upstream, by
// token. Upstreams without answers are omitted.
func (e *Engine) Samples(now clock.Millis) map[catalog.Token]quality.Sample {
	samples := make(map[catalog.Token]quality.Sample)
	if v := e.view.Load(); v != nil {
		for _, t := range v.targets {
			if q := &t.load.quality; q.active.Load() {
				if s := q.own.Sample(now); s != (quality.Sample{}) {
					samples[t.entry.Token] = s
				}
			}
		}
	}
	return samples
}

// SetPeerSamples sets the sums of what other VMs reported of the answers of upstreams,
// by token. They count from the next Tick on.
func (e *Engine) SetPeerSamples(sums map[catalog.Token]quality.Sample) {
	v := e.view.Load()
	if v == nil {
		return
	}
	for _, t := range v.targets {
		t.load.quality.setPeers(sums[t.entry.Token])
	}
}

// SlowUpstreams returns the number of upstreams whose slowness is above slowThreshold.
func (e *Engine) SlowUpstreams() (n int) {
	if v := e.view.Load(); v != nil {
		for _, t := range v.targets {
			if t.load.quality.slowness() > slowThreshold {
				n++
			}
		}
	}
	return n
}
