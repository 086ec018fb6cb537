package tally

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

// Level tells what a Report covers.
type Level uint8

// Levels of a report.
const (
	// OfVM reports one VM's counts to its relay.
	OfVM Level = iota + 1
	// OfDomain reports a failure domain's sum to the other relays.
	OfDomain
	// OfAll reports the sum over all VMs to a VM.
	OfAll
)

// Report lists counts. Positions are the gaps between the positions of
// upstreams that have flows.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Level   Level
	From    config.VMID
	Domain  config.DomainName
	Version config.Version
	// Seq numbers an OfVM report; in an OfAll report it is the number of the
	// receiver's report that the sum includes.
	Seq    uint64
	Gaps   []uint32
	Counts []int64
}

// Send is a report on its way out.
type Send struct {
	To     config.VMID
	Report Report
}

// Peer is a living VM that takes part.
type Peer struct {
	ID     config.VMID
	Domain config.DomainName
}

// Period holds the timers of a Board.
type Period struct {
	// ReportMillis is the shortest time between reports of a VM.
	ReportMillis clock.Millis `json:"reportMillis"`
	// VMsPerPeriod is the number of VMs in a failure domain for which the
	// shortest time holds. It stretches in proportion beyond.
	VMsPerPeriod int `json:"vmsPerPeriod"`
	// StaleMillis ends the use of a report that was not renewed.
	StaleMillis clock.Millis `json:"staleMillis"`
}

// DefaultPeriod returns the timers that suit a deployment of any size.
func DefaultPeriod() Period {
	return Period{ReportMillis: 1000, VMsPerPeriod: 12, StaleMillis: 15 * clock.Second}
}

// counts holds a vector of counts by position.
type counts struct {
	at     clock.Millis
	seq    uint64
	values []int64
}

// Board is one VM's part in the sums. It is not safe for concurrent use.
type Board struct {
	self   Peer
	period Period

	version config.Version
	ids     []config.UpstreamID
	peers   []Peer
	relay   config.VMID
	relays  map[config.DomainName]config.VMID

	seq    uint64
	sent   map[uint64][]int64
	vms    map[config.VMID]*counts
	others map[config.DomainName]*counts
	nextAt clock.Millis
}

// NewBoard returns the board of VM self.
func NewBoard(self Peer, period Period) *Board {
	b := &Board{self: self, period: period}
	b.SetPeers([]Peer{self})
	b.SetUpstreams(0, nil)
	return b
}

// SetUpstreams sets the order of identifiers that positions refer to.
func (b *Board) SetUpstreams(v config.Version, ids []config.UpstreamID) {
	b.version, b.ids = v, ids
	b.sent = make(map[uint64][]int64)
	b.vms = make(map[config.VMID]*counts)
	b.others = make(map[config.DomainName]*counts)
}

// SetPeers sets the living VMs that can be reached, self included.
func (b *Board) SetPeers(peers []Peer) {
	b.peers = peers
	byDomain := make(map[config.DomainName][]config.VMID)
	for _, p := range peers {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.ID)
	}
	b.relays = make(map[config.DomainName]config.VMID)
	for d, ids := range byDomain {
		b.relays[d] = homes.Designated("relay "+string(d), ids, 1)[0]
	}
	b.relay = b.relays[b.self.Domain]
	for id := range b.vms {
		if !slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == id }) {
			delete(b.vms, id)
		}
	}
}

// IsRelay reports whether this VM adds up its failure domain.
func (b *Board) IsRelay() bool { return b.relay == b.self.ID }

// every returns the time between reports in a domain of this size.
func (b *Board) every() clock.Millis {
	n := 0
	for _, p := range b.peers {
		if p.Domain == b.self.Domain {
			n++
		}
	}
	return b.period.ReportMillis * clock.Millis(max(1, (n+b.period.VMsPerPeriod-1)/b.period.VMsPerPeriod))
}

// Tick returns the reports that are due at now. local gives this VM's count of
// an upstream, and apply takes the others' count if the VM is a relay.
func (b *Board) Tick(now clock.Millis, local func(config.UpstreamID) int64, apply func(config.UpstreamID, int64)) (out []Send) {
	if now < b.nextAt || len(b.ids) == 0 {
		return nil
	}
	b.nextAt = now + b.every()
	values := make([]int64, len(b.ids))
	for i, id := range b.ids {
		values[i] = local(id)
	}
	b.seq++
	if !b.IsRelay() {
		b.sent[b.seq] = values
		b.trim()
		return []Send{{To: b.relay, Report: b.report(OfVM, b.seq, values)}}
	}
	b.vms[b.self.ID] = &counts{at: now, seq: b.seq, values: values}
	return b.relayReports(now, values, apply)
}

const keptReports = 32

func (b *Board) trim() { delete(b.sent, b.seq-keptReports) }

// relayReports adds up and tells the other relays and the domain's VMs.
func (b *Board) relayReports(now clock.Millis, own []int64, apply func(config.UpstreamID, int64)) (out []Send) {
	domain := make([]int64, len(b.ids))
	for id, c := range b.vms {
		if now-c.at > b.period.StaleMillis {
			delete(b.vms, id)
			continue
		}
		add(domain, c.values)
	}
	all := slices.Clone(domain)
	for name, c := range b.others {
		if now-c.at > b.period.StaleMillis {
			delete(b.others, name)
			continue
		}
		add(all, c.values)
	}
	for name, relay := range b.relays {
		if name != b.self.Domain {
			out = append(out, Send{To: relay, Report: b.report(OfDomain, b.seq, domain)})
		}
	}
	for _, p := range b.peers {
		if p.Domain != b.self.Domain || p.ID == b.self.ID {
			continue
		}
		seq := uint64(0)
		if c := b.vms[p.ID]; c != nil {
			seq = c.seq
		}
		out = append(out, Send{To: p.ID, Report: b.report(OfAll, seq, all)})
	}
	for i, id := range b.ids {
		apply(id, all[i]-own[i])
	}
	return out
}

func add(sum, values []int64) {
	for i, v := range values {
		sum[i] += v
	}
}

func (b *Board) report(level Level, seq uint64, values []int64) Report {
	r := Report{Level: level, From: b.self.ID, Domain: b.self.Domain, Version: b.version, Seq: seq}
	last := -1
	for i, v := range values {
		if v == 0 {
			continue
		}
		r.Gaps = append(r.Gaps, uint32(i-last))
		r.Counts = append(r.Counts, v)
		last = i
	}
	return r
}

// expand returns the vector of a report, or nil if it does not fit.
func (b *Board) expand(r Report) []int64 {
	if r.Version != b.version || len(r.Gaps) != len(r.Counts) {
		return nil
	}
	values := make([]int64, len(b.ids))
	at := -1
	for i, gap := range r.Gaps {
		at += int(gap)
		if at >= len(values) || gap == 0 {
			return nil
		}
		values[at] = r.Counts[i]
	}
	return values
}

// Receive takes a report of another VM. apply gets the number of flows that
// the other VMs have on each upstream.
func (b *Board) Receive(now clock.Millis, r Report, apply func(config.UpstreamID, int64)) {
	values := b.expand(r)
	if values == nil {
		return
	}
	switch r.Level {
	case OfVM:
		b.vms[r.From] = &counts{at: now, seq: r.Seq, values: values}
	case OfDomain:
		b.others[r.Domain] = &counts{at: now, seq: r.Seq, values: values}
	case OfAll:
		mine := b.sent[r.Seq]
		for i, id := range b.ids {
			others := values[i]
			if mine != nil {
				others -= mine[i]
			}
			apply(id, max(0, others))
		}
	}
}
