package daemon

import (
	"context"
	"encoding/json"
	"log/slog"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/vm"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/document"
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
	// pushFanout is the number of VMs of the own failure domain to which a new
	// configuration version is announced at once.
	pushFanout = 2
	// isolatedMillis is the time without a message from any other VM after which a
	// VM watches the platform even if it is not designated.
	isolatedMillis = 3 * clock.Second
)

// isWatcher reports whether this VM watches the platform for configurations: it
// is one of the designated VMs of its failure domain, or is isolated.
func (c *Controller) isWatcher() bool {
	now := c.clk.Now()
	c.mu.Lock()
	lone := now-c.lastPeerMessageAt > isolatedMillis
	c.mu.Unlock()
	if lone {
		return true
	}
	vms := aliveInDomain(*c.peers.Load(), c.set.Domain)
	return homes.IsDesignated("watch "+string(c.set.Domain), vms, watchersPerDomain, c.set.VM)
}

// configPublished handles a configuration published by the platform.
func (c *Controller) configPublished(ctx context.Context, body []byte) {
	c.offerConfig(ctx, body, "")
}

// vmListPublished handles a list of VMs published by the platform.
func (c *Controller) vmListPublished(ctx context.Context, body []byte) {
	logInvalid := func(err error) { event.Log(ctx, c.log, event.ListInvalid, event.Error(err)) }
	vms, err := membership.ParseVMs(body, logInvalid)
	if err != nil {
		logInvalid(err)
		return
	}
	now := c.clk.Now()
	c.mu.Lock()
	first := len(c.vmList) == 0
	c.setVMList(now, vms)
	var out []membership.Envelope
	if first {
		c.applyMembers(ctx, now)
		out = c.joinProbes(now)
	}
	c.mu.Unlock()
	c.sendProbes(out)
}

// joinProbes returns the probes that a starting VM sends to join. A VM that is
// alone on the list joins at once. The caller holds mu.
func (c *Controller) joinProbes(now clock.Millis) (out []membership.Envelope) {
	if len(c.vmList) <= 1 {
		c.joined.Store(true)
		c.selector.PeersQueried()
		return nil
	}
	return c.members.Join(now, joinProbeCount)
}

// joinProbeCount is the number of VMs that a starting VM probes to join.
const joinProbeCount = 6

// offerConfig offers a configuration to the selector. If that accepts it, it is
// activated and announced to other VMs. The configuration comes from another VM or,
// if from is empty, from the platform.
func (c *Controller) offerConfig(ctx context.Context, body []byte, from config.VMID) {
	now := c.clk.Now()
	c.mu.Lock()
	outcome, err := c.selector.Offer(now, body, from != "")
	var out []membership.Envelope
	source := slog.String("from", string(from))
	switch outcome {
	case rollout.Accepted:
		out = c.activateConfig(ctx, now)
	case rollout.ConflictAccepted:
		event.Log(ctx, c.log, event.ConfigConflict, source, slog.Bool("taken", true))
		out = c.activateConfig(ctx, now)
	case rollout.Conflict:
		event.Log(ctx, c.log, event.ConfigConflict, source, slog.Bool("taken", false))
	case rollout.Older:
		event.Log(ctx, c.log, event.ConfigOlder, source)
	case rollout.Invalid:
		event.Log(ctx, c.log, event.ConfigInvalid, source, event.Error(err))
	}
	c.mu.Unlock()
	c.sendProbes(out)
}

// activateConfig applies the configuration that the selector accepted and returns the
// probes that announce it to other VMs. The caller holds mu.
func (c *Controller) activateConfig(ctx context.Context, now clock.Millis) []membership.Envelope {
	active := c.selector.Active()
	before := c.activeConfig.Swap(active)
	c.retainConfig(before)
	f := active.File
	key, err := flow.ParseKey(f.HashKey)
	if err == nil {
		c.path.SetKey(key)
	}
	c.engine.SetConfig(now, f)
	c.flowCounts.SetUpstreams(f.Version, c.engine.UpstreamIDs())
	c.members.SetConfig(f.Version, active.Digest.Short())
	c.members.SetHome(!c.leaving && f.DomainState(c.set.Domain) == config.DomainIn)
	c.applyMembers(ctx, now)
	for _, fn := range c.OnConfig {
		fn(now, f)
	}
	event.Log(ctx, c.log, event.ConfigAccepted, slog.Uint64("version", uint64(f.Version)), slog.String("digest", string(active.Digest)))
	c.handleDomainChanges(ctx, before, f)
	return c.members.Push(now, pushFanout)
}

// handleDomainChanges logs the failure domains that were taken out of service or
// put back, and hands flows over if this VM's own domain was taken out.
func (c *Controller) handleDomainChanges(ctx context.Context, before *rollout.ParsedFile, f *config.File) {
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

// handlePeerVersion fetches the sender's configuration if the selector wants the
// version that msg carries. Otherwise this VM is up to date with the sender. One
// fetch runs at a time. The caller holds mu.
func (c *Controller) handlePeerVersion(ctx context.Context, now clock.Millis, msg membership.Message) {
	if msg.Version == 0 {
		return
	}
	if !c.selector.ShouldFetch(msg.Version, msg.Digest) {
		c.selector.PeersQueried()
		c.endResync(ctx, now)
		return
	}
	if c.fetching {
		return
	}
	c.fetching = true
	go c.fetchConfig(ctx, msg.From)
}

// fetchConfig fetches the configuration of another VM and offers it to the selector.
func (c *Controller) fetchConfig(ctx context.Context, from config.VMID) {
	body, err := c.fetchBody(ctx, from)
	c.mu.Lock()
	c.fetching = false
	c.mu.Unlock()
	if err != nil {
		// The event covers every error of fetchBody, also a VM that is not in the
		// directory and a body that is corrupt.
		event.Log(ctx, c.log, event.ChannelSilent, slog.String("vm", string(from)), event.Error(err))
		return
	}
	event.Log(ctx, c.log, event.ConfigFetched, slog.String("vm", string(from)), slog.Int("bytes", len(body)))
	c.offerConfig(ctx, body, from)
	c.mu.Lock()
	c.joined.Store(true)
	c.selector.PeersQueried()
	c.endResync(ctx, c.clk.Now())
	c.mu.Unlock()
}

// fetchBody requests the configuration of another VM and returns its body. It also
// merges the VM's members and sets the ramps that the VM knows. The body is not
// active yet by then, and the engine ignores the ramps of upstreams that it does not
// know, so those of upstreams that only this body contains are lost.
func (c *Controller) fetchBody(ctx context.Context, from config.VMID) (body []byte, err error) {
	defer func() { err = eris.Wrapf(err, "daemon: fetch configuration of %s", from) }()
	to, ok := c.rpcAddress(from)
	if !ok {
		return nil, eris.New("VM is not in the directory")
	}
	var base []byte
	var req vm.ConfigRequest
	if active := c.activeConfig.Load(); active != nil {
		req.Have, base = active.Digest, active.Body
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
		return nil, eris.New("configuration body does not match its digest")
	}
	now := c.clk.Now()
	c.mu.Lock()
	c.members.Merge(now, reply.Members)
	c.mu.Unlock()
	for _, r := range reply.Ramps {
		// Runs when fetchBody returns, before the configuration is activated.
		defer c.engine.SetRamp(r.ID, r.Start)
	}
	return body, nil
}

// serveConfig returns the active configuration, compressed against the caller's
// configuration if this VM still has it.
func (c *Controller) serveConfig(_ context.Context, params json.RawMessage) (result any, err error) {
	defer func() { err = eris.Wrap(err, "daemon: serve configuration") }()
	var req vm.ConfigRequest
	if err = document.Decode(params, &req); err != nil {
		return nil, err
	}
	active := c.activeConfig.Load()
	if active == nil {
		return nil, eris.New("no configuration is in force")
	}
	reply := vm.ConfigReply{Version: active.File.Version, Digest: active.Digest, Ramps: c.engine.Ramps(c.clk.Now())}
	c.mu.Lock()
	reply.Members = c.members.Updates()
	c.mu.Unlock()
	base := c.retainedBody(req.Have)
	reply.Delta = base != nil
	reply.Body, err = vm.Compress(active.Body, base)
	return reply, err
}

// maxRetainedConfigs is the number of previous configurations that serve as
// compression dictionaries.
const maxRetainedConfigs = 4

// retainConfig keeps a configuration that was active. The caller holds mu.
func (c *Controller) retainConfig(f *rollout.ParsedFile) {
	if f == nil {
		return
	}
	c.retained = append(c.retained, f)
	if len(c.retained) > maxRetainedConfigs {
		c.retained = c.retained[1:]
	}
}

// retainedBody returns the body of the retained configuration with the given
// digest, or nil.
func (c *Controller) retainedBody(d config.Digest) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.retained {
		if f.Digest == d {
			return f.Body
		}
	}
	return nil
}
