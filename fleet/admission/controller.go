package admission

import (
	"slices"
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// adjustInterval is the interval at which admitted shares change.
const adjustInterval clock.Millis = 100

// Controller admits requests to open flows to one service. It keeps no state per flow
// and is safe for concurrent use.
type Controller struct {
	options options

	mu         sync.Mutex
	pressure   pressure
	demand     demand
	adjustedAt clock.Millis
	classes    []*class // from the highest to the lowest
}

// New returns a controller that admits all requests until it records rejections.
func New(opts ...Option) *Controller {
	c := &Controller{options: defaultOptions()}
	for _, opt := range opts {
		opt(&c.options)
	}
	return c
}

// Record counts an answer of an upstream of the service to a request of the given
// priority.
func (c *Controller) Record(now clock.Millis, p catalog.Priority, rejected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pressure.record(now, rejected)
	c.demand.record(now, p)
}

// Decide decides on a request to open a flow. A copy of an opening packet is placed:
// another VM may have opened the flow, so that it must not be reset, and the caller has
// waited already. Other requests that are not admitted wait for their copy while the
// shares rise, and are rejected while they fall.
func (c *Controller) Decide(now clock.Millis, r Request) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.class(r.Priority, r.Long)
	k.openedAt = now
	return c.verdict(now, k, r, &c.pressure)
}

// Explain returns what Decide would decide now and the figures that it goes by. It
// changes nothing: the class of the request does not count as in use.
func (c *Controller) Explain(now clock.Millis, r Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pressure // share decays it
	k := newClass(r.Priority, r.Long)
	if i, found := c.find(k); found {
		k = c.classes[i]
	}
	return Decision{Verdict: c.verdict(now, k, r, &p), Share: k.share, Pressure: p.share(now), Limit: c.options.limit}
}

// verdict returns the decision on a request of class k under pressure p, which it may
// decay. The caller must hold c.mu.
func (c *Controller) verdict(now clock.Millis, k *class, r Request, p *pressure) Verdict {
	switch {
	case r.Retransmits > 0 || k.admits(r.Flow):
		return Place
	case p.share(now) <= c.options.limit:
		return Wait // shares rise, so upstreams may have room already
	}
	return Reject
}

// class returns the class of a priority and kind of flow, creating it if needed. The
// caller must hold c.mu.
func (c *Controller) class(p catalog.Priority, long bool) *class {
	k := newClass(p, long)
	i, found := c.find(k)
	if !found {
		c.classes = slices.Insert(c.classes, i, k)
	}
	return c.classes[i]
}

// find returns the index of the class that equals k, or that at which k would be
// inserted. The caller must hold c.mu.
func (c *Controller) find(k *class) (i int, found bool) {
	return slices.BinarySearchFunc(c.classes, k, (*class).compare)
}

// Tick adjusts the admitted shares every 100 ms. It is to be called more often.
func (c *Controller) Tick(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.adjustedAt < adjustInterval {
		return
	}
	c.adjustedAt = now
	c.classes = slices.DeleteFunc(c.classes, func(k *class) bool { return !k.inUse(now) && k.share >= 1 })
	top := c.highest(now)
	excess := c.pressure.share(now) - c.options.limit
	if excess > 0 {
		c.decrease(now, top, 1-c.options.gain*excess)
		return
	}
	c.increase(now, top, -excess/c.options.limit)
}

// highest returns the index of the first class that follows the highest priority with
// a considerable part of the answers. The classes before it are not held back.
func (c *Controller) highest(now clock.Millis) int {
	priority, known := c.demand.highest(now)
	if !known {
		return len(c.classes)
	}
	after := slices.IndexFunc(c.classes, func(k *class) bool { return k.priority > priority })
	if after < 0 {
		return len(c.classes)
	}
	return after
}

// decrease lowers the share of the lowest class that is in use and above the floor.
// Those of the highest priority in use rise even now, if they are below 1 because a
// higher priority was in use before.
func (c *Controller) decrease(now clock.Millis, top int, factor float64) {
	for _, k := range c.classes[:top] {
		k.raise(c.options.step)
	}
	for _, k := range slices.Backward(c.classes[top:]) {
		if k.inUse(now) && k.share > c.options.floor {
			k.share = max(c.options.floor, k.share*factor)
			return
		}
	}
}

// increase raises the share of the highest class in use that is held back, and of all
// classes that are not in use. Small steps spread the callers that return when the
// pressure ends.
func (c *Controller) increase(now clock.Millis, top int, slack float64) {
	raised := false
	for i, k := range c.classes {
		held := i >= top && k.inUse(now) && k.share < 1
		if held && raised {
			continue
		}
		raised = raised || held
		k.raise(c.options.step * slack)
	}
}

func (k *class) raise(step float64) { k.share = min(1, k.share+step) }

// Share returns the admitted share of a priority: that of the flows that carry many
// requests, if those are held back more than others.
func (c *Controller) Share(p catalog.Priority) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := 1.0
	for _, k := range c.classes {
		if k.priority == p {
			share = min(share, k.share)
		}
	}
	return share
}

// Pressure returns the share of rejections among the recent answers of the service.
func (c *Controller) Pressure(now clock.Millis) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pressure.share(now)
}
