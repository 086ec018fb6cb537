package daemon

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/vm"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/rollout"
)

const (
	// watchersPerDomain is the number of VMs of a failure domain that watch
	// the platform for configurations.
	watchersPerDomain = 2
	// pushTo is the number of VMs that are told at once of a new
	// configuration.
	pushTo = 2
	// loneMillis is the time without word of any other VM after which a VM
	// watches the platform by itself.
	loneMillis = 3 * clock.Second
)

// watches reports whether this VM watches the platform for configurations.
func (c *Control) watches() bool {
	now := c.clk.Now()
	c.mu.Lock()
	lone := now-c.heardAt > loneMillis
	c.mu.Unlock()
	if lone {
		return true
	}
	vms := near(*c.snapshot.Load(), c.set.Domain)
	return homes.IsDesignated("watch "+string(c.set.Domain), vms, watchersPerDomain, c.set.VM)
}

// published takes a configuration from the platform.
func (c *Control) published(ctx context.Context, body []byte) {
	c.offer(ctx, body, "")
}

// listPublished takes a list of VMs from the platform.
func (c *Control) listPublished(ctx context.Context, body []byte) {
	var vms []membership.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		event.Log(ctx, c.log, event.ListInvalid, slog.String("error", err.Error()))
		return
	}
	now := c.clk.Now()
	c.mu.Lock()
	first := len(c.listed) == 0
	c.setListed(now, vms)
	var out []membership.Envelope
	if first {
		c.membersChanged(ctx, now)
		out = c.greet(now)
	}
	c.mu.Unlock()
	c.sendProbes(out)
}

// greet returns probes to the first VMs that a starting VM asks. A VM that is
// alone on the list needs no answer.
func (c *Control) greet(now clock.Millis) (out []membership.Envelope) {
	if len(c.listed) <= 1 {
		c.joined.Store(true)
		c.gate.PeersQueried()
		return nil
	}
	return c.list.Join(now, greetCount)
}

const greetCount = 6

// offer lets the gate decide on a body, which came from a VM or, with an
// empty identifier, from the platform.
func (c *Control) offer(ctx context.Context, body []byte, from config.VMID) {
	now := c.clk.Now()
	c.mu.Lock()
	outcome, err := c.gate.Offer(now, body, from != "")
	var out []membership.Envelope
	source := slog.String("from", string(from))
	switch outcome {
	case rollout.Accepted:
		out = c.inForceChanged(ctx, now)
	case rollout.ConflictAccepted:
		event.Log(ctx, c.log, event.ConfigConflict, source, slog.Bool("taken", true))
		out = c.inForceChanged(ctx, now)
	case rollout.Conflict:
		event.Log(ctx, c.log, event.ConfigConflict, source, slog.Bool("taken", false))
	case rollout.Older:
		event.Log(ctx, c.log, event.ConfigOlder, source)
	case rollout.Invalid:
		event.Log(ctx, c.log, event.ConfigInvalid, source, slog.String("error", err.Error()))
	}
	c.mu.Unlock()
	c.sendProbes(out)
}

// inForceChanged puts the gate's configuration in force and returns the
// probes that spread the news. The caller holds mu.
func (c *Control) inForceChanged(ctx context.Context, now clock.Millis) []membership.Envelope {
	cand := c.gate.Active()
	before := c.inForce.Swap(cand)
	c.keepBody(before)
	f := cand.File
	key, err := flow.ParseKey(f.HashKey)
	if err == nil {
		c.path.SetKey(key)
	}
	c.engine.SetConfig(now, f)
	c.board.SetUpstreams(f.Version, c.engine.UpstreamIDs())
	c.list.SetConfig(f.Version, cand.Digest.Short())
	c.list.SetHome(!c.leaving && f.DomainState(c.set.Domain) == config.DomainIn)
	c.membersChanged(ctx, now)
	for _, fn := range c.OnConfig {
		fn(now, f)
	}
	event.Log(ctx, c.log, event.ConfigAccepted, slog.Uint64("version", uint64(f.Version)), slog.String("digest", string(cand.Digest)))
	c.domainsChanged(ctx, before, f)
	return c.list.Push(now, pushTo)
}

// domainsChanged logs the failure domains that went out or came back, and
// hands flows over if the own one went out.
func (c *Control) domainsChanged(ctx context.Context, before *rollout.ParsedFile, f *config.File) {
	if before == nil {
		return
	}
	for _, d := range f.Domains {
		if before.File.DomainState(d.Name) == d.State {
			continue
		}
		id := event.DomainIn
		if d.State == config.DomainOut {
			id = event.DomainOut
		}
		event.Log(ctx, c.log, id, slog.String("domain", string(d.Name)))
		if d.Name == c.set.Domain && d.State == config.DomainOut {
			go c.handOver(ctx)
		}
	}
}

// peerTold acts on the version that a probe carried. The caller holds mu.
func (c *Control) peerTold(ctx context.Context, now clock.Millis, msg membership.Message) {
	if msg.Version == 0 {
		return
	}
	if !c.gate.ShouldFetch(msg.Version, msg.Digest) {
		c.gate.PeersQueried()
		c.resynced(ctx, now)
		return
	}
	if c.fetching {
		return
	}
	c.fetching = true
	go c.fetch(ctx, msg.From)
}

// fetch gets the configuration of another VM.
func (c *Control) fetch(ctx context.Context, from config.VMID) {
	body, err := c.fetchBody(ctx, from)
	c.mu.Lock()
	c.fetching = false
	c.mu.Unlock()
	if err != nil {
		event.Log(ctx, c.log, event.ChannelSilent, slog.String("vm", string(from)), slog.String("error", err.Error()))
		return
	}
	event.Log(ctx, c.log, event.ConfigFetched, slog.String("vm", string(from)), slog.Int("bytes", len(body)))
	c.offer(ctx, body, from)
	c.mu.Lock()
	c.joined.Store(true)
	c.gate.PeersQueried()
	c.resynced(ctx, c.clk.Now())
	c.mu.Unlock()
}

func (c *Control) fetchBody(ctx context.Context, from config.VMID) (body []byte, err error) {
	defer func() { err = eris.Wrapf(err, "daemon: fetch configuration of %s", from) }()
	to, ok := c.address(from)
	if !ok {
		return nil, eris.New("not listed")
	}
	var base []byte
	var req vm.ConfigRequest
	if cand := c.inForce.Load(); cand != nil {
		req.Have, base = cand.Digest, cand.Body
	}
	var reply vm.ConfigReply
	if err = c.pool.Call(ctx, to, vm.GetConfig, req, &reply); err != nil {
		return nil, err
	}
	if !reply.Delta {
		base = nil
	}
	if body, err = vm.Decompress(reply.Body, base); err != nil {
		return nil, err
	}
	if config.DigestOf(body) != reply.Digest {
		return nil, eris.New("digest does not match the body")
	}
	now := c.clk.Now()
	c.mu.Lock()
	c.list.Merge(now, reply.Members)
	c.mu.Unlock()
	for _, r := range reply.Ramps {
		defer c.engine.SetRamp(r.ID, r.Start)
	}
	return body, nil
}

// serveConfig answers a call for the configuration in force.
func (c *Control) serveConfig(_ context.Context, params json.RawMessage) (result any, err error) {
	defer func() { err = eris.Wrap(err, "daemon: serve configuration") }()
	var req vm.ConfigRequest
	if err = json.Unmarshal(params, &req); err != nil {
		return nil, err
	}
	cand := c.inForce.Load()
	if cand == nil {
		return nil, eris.New("no configuration is in force")
	}
	reply := vm.ConfigReply{Version: cand.File.Version, Digest: cand.Digest, Ramps: c.engine.Ramps(c.clk.Now())}
	c.mu.Lock()
	reply.Members = c.list.Updates()
	c.mu.Unlock()
	base := c.bodyOf(req.Have)
	reply.Delta = base != nil
	reply.Body, err = vm.Compress(cand.Body, base)
	return reply, err
}

// keptBodies is the number of earlier bodies that serve as dictionaries.
const keptBodies = 4

// keepBody remembers a body that was in force. The caller holds mu.
func (c *Control) keepBody(cand *rollout.ParsedFile) {
	if cand == nil {
		return
	}
	c.bodies = append(c.bodies, cand)
	if len(c.bodies) > keptBodies {
		c.bodies = c.bodies[1:]
	}
}

// bodyOf returns the earlier body with the digest, or nil.
func (c *Control) bodyOf(d config.Digest) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cand := range c.bodies {
		if cand.Digest == d {
			return cand.Body
		}
	}
	return nil
}
