package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
)

const (
	// buildPauseFactor is the shortest pause between two builds of the catalog, as
	// a multiple of the duration of the last build. It limits builds to 2 % of a
	// core while changes arrive in quick succession.
	buildPauseFactor = 50
	// maxBuildPause bounds that pause, since a build may take long because the VM
	// was slow or paused. Changes must be active within seconds.
	maxBuildPause = 1 * clock.Second
)

// scheduleBuild builds the catalog immediately, or after the pause that
// buildPauseFactor and maxBuildPause ask for since the last build. The caller holds
// mu.
func (r *replicator) scheduleBuild() {
	wait := min(buildPauseFactor*r.buildTook, maxBuildPause.Duration()) - time.Since(r.builtAt)
	if wait <= 0 {
		r.build()
		return
	}
	if !r.buildScheduled {
		r.buildScheduled = true
		time.AfterFunc(wait, r.buildNow)
	}
}

// buildNow builds the catalog if a delayed build is pending.
func (r *replicator) buildNow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.buildScheduled {
		r.build()
	}
}

// build builds a catalog and passes it to setCatalog. The caller holds mu.
func (r *replicator) build() {
	r.buildScheduled = false
	start := time.Now()
	c := r.builder.Build(r.replica.Complete())
	if c == nil {
		return
	}
	r.setCatalog(c)
	r.builtAt = time.Now()
	r.buildTook = r.builtAt.Sub(start)
	r.recordActive(c)
}

// recordActive logs that c is active and reports how long its changes were pending.
// The caller holds mu.
func (r *replicator) recordActive(c *catalog.Catalog) {
	pending := clock.Millis(0)
	if r.pendingSince != 0 {
		pending = r.clk.Now() - r.pendingSince
	}
	r.pendingSince = 0
	r.onActive(pending)
	event.Log(context.Background(), r.log, event.CatalogTaken, slog.Uint64("version", uint64(c.Config.Version)),
		slog.Any("revision", c.Revision), slog.Int("routes", len(c.Config.Routes)),
		slog.Int("upstreams", c.UpstreamCount()), slog.Any("domainsOut", c.DomainsOut()),
		slog.Int64("pendingMillis", int64(pending)), slog.Int64("buildMillis", r.buildTook.Milliseconds()))
}
