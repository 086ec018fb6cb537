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

// Status is the state of a daemon, for operators.
type Status struct {
	VM     ident.VMID       `json:"vm"`
	Domain ident.DomainName `json:"domain"`
	Ready  bool             `json:"ready"`
	// Version is the version of the configuration in force, 0 if there is none.
	Version ident.Version `json:"version"`
	// Revision is the store's number of the last change, and StoreEra the number of
	// times that the store came back from an older copy.
	Revision uint64      `json:"revision"`
	StoreEra replica.Era `json:"storeEra"`
	// CopyAgeMillis is the time since the source confirmed the copy of the
	// published items.
	CopyAgeMillis clock.Millis `json:"copyAgeMillis"`
	// ReaderRank is the rank of this VM in its region. The VM with rank 0 is the
	// reader, which watches the source for its region.
	ReaderRank int  `json:"readerRank"`
	SourceDown bool `json:"sourceDown"`
	// Peers lists the VMs that are alive.
	Peers      []PeerStatus       `json:"peers"`
	DomainsOut []ident.DomainName `json:"domainsOut"`
	Upstreams  int                `json:"upstreams"`
	Flows      int64              `json:"flows"`
	Leaving    bool               `json:"leaving"`
	// Utilization is the used share of the limit that is closest to being reached, 0
	// without limits.
	Utilization float64 `json:"utilization"`
}

// PeerStatus is the state of another VM, as this daemon sees it.
type PeerStatus struct {
	ID        ident.VMID       `json:"id"`
	RPC       netip.AddrPort   `json:"rpc"`
	State     membership.State `json:"state"`
	Reachable bool             `json:"reachable"`
}

// methodStatus is the RPC method that operators' commands call.
const methodStatus rpc.Method = "status.get"

// serveStatus handles methodStatus.
func (d *Daemon) serveStatus(context.Context, json.RawMessage) (any, error) { return d.status(), nil }

// status returns the current state of this daemon.
func (d *Daemon) status() Status {
	s := Status{
		VM: d.settings.VM, Domain: d.settings.Domain, Ready: d.ready(),
		CopyAgeMillis: d.copyAge(), ReaderRank: int(d.replicator.rank.Load()), SourceDown: d.replicator.sourceUnreachable.Load(),
		Peers: d.peers.status(), Leaving: d.leaving.Load(), Utilization: d.overload.lastUtilization(), Flows: d.engine.Flows.Load(),
	}
	complete := d.replicator.localCopy().Complete
	s.Revision, s.StoreEra = complete.Number(), complete.Era()
	if c := d.engine.Catalog(); c != nil {
		s.Version, s.DomainsOut, s.Upstreams = c.Config.Version, c.DomainsOut(), c.UpstreamCount()
	}
	return s
}

// copyAge returns the time since the source confirmed the copy of the published
// items, or since the start of the daemon if it never did.
func (d *Daemon) copyAge() clock.Millis {
	return d.clk.Now() - max(d.started, clock.Millis(d.replicator.confirmedAt.Load()))
}
