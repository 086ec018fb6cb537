package entry

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// Status is what a daemon knows and from where, for operators.
type Status struct {
	VM     ident.VMID       `json:"vm"`
	Domain ident.DomainName `json:"domain"`
	Ready  bool             `json:"ready"`
	// Version is that of the configuration in force, 0 for none.
	Version  ident.Version    `json:"version"`
	Revision replica.Revision `json:"revision"`
	// CopyAgeMillis is how long ago the source confirmed the copy.
	CopyAgeMillis clock.Millis `json:"copyAgeMillis"`
	// ReaderRank is 0 for the VM that follows the source for its region.
	ReaderRank int  `json:"readerRank"`
	SourceDown bool `json:"sourceDown"`
	// Peers are the VMs heard lately.
	Peers      []PeerStatus       `json:"peers"`
	DomainsOut []ident.DomainName `json:"domainsOut"`
	Upstreams  int                `json:"upstreams"`
	Flows      int64              `json:"flows"`
	Leaving    bool               `json:"leaving"`
}

// PeerStatus is another VM as a daemon hears it.
type PeerStatus struct {
	ID  ident.VMID     `json:"id"`
	RPC netip.AddrPort `json:"rpc"`
	// State is that of package membership.
	State     membership.State `json:"state"`
	Reachable bool             `json:"reachable"`
}

// methodStatus is the call that operators' commands make.
const methodStatus rpc.Method = "status.get"

// serveStatus answers an operator's command.
func (d *Daemon) serveStatus(context.Context, json.RawMessage) (any, error) { return d.status(), nil }

// status returns what this daemon knows now.
func (d *Daemon) status() Status {
	s := Status{
		VM: d.set.VM, Domain: d.set.Domain, Ready: d.ready(), Revision: d.keeper.held().Complete,
		CopyAgeMillis: d.copyAge(), ReaderRank: int(d.keeper.rank.Load()), SourceDown: d.keeper.down.Load(),
		Peers: d.peers.status(), Leaving: d.leaving.Load(), Flows: d.engine.Flows.Load(),
	}
	if c := d.engine.Catalog(); c != nil {
		s.Version, s.DomainsOut, s.Upstreams = c.Config.Version, c.DomainsOut(), c.UpstreamCount()
	}
	return s
}

// copyAge returns how long ago the source confirmed the copy of what is
// published, since the daemon's start if it never did.
func (d *Daemon) copyAge() clock.Millis {
	return d.clk.Now() - max(d.started, clock.Millis(d.keeper.confirmed.Load()))
}
