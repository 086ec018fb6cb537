package daemon

import (
	"context"
	"encoding/json"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
	"github.com/amaranthswitch/amaranthswitch/fleet/wire"
)

// Status is what a daemon tells operators of itself.
type Status struct {
	VM        config.VMID               `json:"vm"`
	Domain    config.DomainName         `json:"domain"`
	Version   config.Version            `json:"version"`
	Digest    config.Digest             `json:"digest"`
	Leaving   bool                      `json:"leaving"`
	Paused    bool                      `json:"paused"`
	Flows     int64                     `json:"flows"`
	Relay     bool                      `json:"relay"`
	Watcher   bool                      `json:"watcher"`
	Peers     []membership.Peer         `json:"peers"`
	Upstreams []steering.UpstreamReport `json:"upstreams"`
	Counters  Counters                  `json:"counters"`
}

// Counters are the daemon's counts since its start.
type Counters struct {
	Received   int64            `json:"received"`
	Forwarded  int64            `json:"forwarded"`
	Detoured   int64            `json:"detoured"`
	Malformed  int64            `json:"malformed"`
	Resets     int64            `json:"resets"`
	Dropped    map[string]int64 `json:"dropped"`
	Placed     int64            `json:"placed"`
	Exceptions int64            `json:"exceptions"`
	Adopted    int64            `json:"adopted"`
	Asked      int64            `json:"asked"`
	Fallbacks  int64            `json:"fallbacks"`
	Copies     int64            `json:"copies"`
	Handovers  int64            `json:"handovers"`
	// BytesOut and BytesIn count the bytes exchanged with other VMs by kind.
	BytesOut map[string]int64 `json:"bytesOut"`
	BytesIn  map[string]int64 `json:"bytesIn"`
}

func (d *Daemon) serveStatus(context.Context, json.RawMessage) (any, error) {
	return d.Status(), nil
}

// Status returns the state of the daemon.
func (d *Daemon) Status() Status {
	c := d.control
	now := c.clk.Now()
	s := Status{
		VM: c.set.VM, Domain: c.set.Domain,
		Paused: c.paused(now), Flows: c.engine.Flows(),
		Watcher: c.watches(),
		Peers:   *c.snapshot.Load(), Upstreams: c.engine.Report(now),
		Counters: d.counters(),
	}
	c.mu.Lock()
	s.Leaving, s.Relay = c.leaving, c.board.IsRelay()
	c.mu.Unlock()
	if cand := c.inForce.Load(); cand != nil {
		s.Version, s.Digest = cand.File.Version, cand.Digest
	}
	return s
}

func (d *Daemon) counters() Counters {
	p, st := &d.path.Counters, d.engine.Stats()
	c := Counters{
		Received: p.Received.Load(), Forwarded: p.Forwarded.Load(), Detoured: p.Detoured.Load(),
		Malformed: p.Malformed.Load(), Resets: p.Resets.Load(), Dropped: make(map[string]int64),
		Placed: st.Placed.Load(), Exceptions: st.Exceptions.Load(), Adopted: st.Adopted.Load(),
		Asked: st.Queries.Load(), Fallbacks: st.Fallbacks.Load(), Copies: st.Copies.Load(), Handovers: st.Handovers.Load(),
		BytesOut: make(map[string]int64), BytesIn: make(map[string]int64),
	}
	for r := range steering.DropReason(steering.ReasonCount) {
		if n := p.Dropped[r].Load(); n > 0 {
			c.Dropped[r.String()] = n
		}
	}
	for k := wire.Detour; k < wire.KindCount; k++ {
		c.BytesOut[k.String()] = d.socket.Out[k].Load()
		c.BytesIn[k.String()] = d.socket.In[k].Load()
	}
	c.BytesOut["calls"], c.BytesIn["calls"] = d.pool.BytesOut.Load(), d.pool.BytesIn.Load()
	return c
}

// ControlBytesOut returns the bytes sent to other VMs that are no packets of
// flows.
func (c Counters) ControlBytesOut() (n int64) {
	for kind, bytes := range c.BytesOut {
		if kind != wire.Detour.String() {
			n += bytes
		}
	}
	return n
}
