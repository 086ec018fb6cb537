package tally

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

// treeFanout is the largest number of children of a VM in the aggregation tree.
const treeFanout = 4

// Level is the set of VMs that a Report covers.
type Level uint8

// Levels of a Report.
const (
	// LevelSubtree is the sum over a VM and its subtree, sent to its parent.
	LevelSubtree Level = iota + 1
	// LevelDomain is the sum over a failure domain, sent to the other relays.
	LevelDomain
	// LevelGlobal is the sum over all VMs, sent down the tree.
	LevelGlobal
)

// Report carries flow counts in a sparse encoding. Counts holds the counts that are
// not 0, and Gaps the difference of the index of each such upstream from that of the
// one before, where the index before the first is -1.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Level   Level
	From    config.VMID
	Domain  config.DomainName
	Version config.Version
	// Included lists which count of each VM of the failure domain the sum includes,
	// so that a VM can subtract its own.
	Included []Included
	Gaps     []uint32
	Counts   []int64
}

// Included identifies a count by a 32-bit hash of the VM's identifier and the
// sequence number of the VM's report.
type Included struct {
	_   struct{} `cbor:",toarray"`
	VM  uint32
	Seq uint64
}

// Envelope is a report with its destination.
type Envelope struct {
	To     config.VMID
	Report Report
}

// Peer is a living VM that participates in the aggregation.
type Peer struct {
	ID     config.VMID
	Domain config.DomainName
}

// Options holds the timers and limits of an Aggregator.
type Options struct {
	// ReportMillis is the shortest interval between reports of a VM.
	ReportMillis clock.Millis `json:"reportMillis"`
	// BytesPerSecond limits the traffic that a VM sends. The interval between
	// reports grows to stay within it.
	BytesPerSecond int `json:"bytesPerSecond"`
	// StalePeriods is the number of intervals after which a report expires if no
	// newer one arrives.
	StalePeriods int `json:"stalePeriods"`
}

// DefaultOptions returns options that suit deployments of any size.
func DefaultOptions() Options {
	return Options{ReportMillis: 1000, BytesPerSecond: 8000, StalePeriods: 10}
}

// counts is a vector of counts, indexed like the identifiers of upstreams.
type counts struct {
	at       clock.Millis
	included []Included
	values   []int64
}

// Aggregator is one VM's part in the aggregation. It is not safe for concurrent use.
type Aggregator struct {
	self Peer
	opts Options

	version  config.Version
	ids      []config.UpstreamID
	parent   config.VMID // empty for the relay
	children []config.VMID
	relays   map[config.DomainName]config.VMID

	seq      uint64
	sent     map[uint64][]int64
	subtrees map[config.VMID]*counts
	domains  map[config.DomainName]*counts
	nextAt   clock.Millis
}

// NewAggregator returns the aggregator of VM self, which has no peers or upstreams
// yet.
func NewAggregator(self Peer, opts Options) *Aggregator {
	a := &Aggregator{self: self, opts: opts, subtrees: make(map[config.VMID]*counts)}
	a.SetPeers([]Peer{self})
	a.SetUpstreams(0, nil)
	return a
}

// SetUpstreams sets the upstreams of configuration version v, in the order that the
// indexes in reports refer to. It discards all counts.
func (a *Aggregator) SetUpstreams(v config.Version, ids []config.UpstreamID) {
	a.version, a.ids = v, ids
	a.sent = make(map[uint64][]int64)
	a.subtrees = make(map[config.VMID]*counts)
	a.domains = make(map[config.DomainName]*counts)
}

// SetPeers sets the living and reachable VMs, including this one. They form a tree in
// each failure domain, with the domain's relay as its root.
func (a *Aggregator) SetPeers(peers []Peer) {
	byDomain := make(map[config.DomainName][]config.VMID)
	for _, p := range peers {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.ID)
	}
	a.relays = make(map[config.DomainName]config.VMID)
	a.parent, a.children = "", nil
	for d, ids := range byDomain {
		order := homes.Designated("relay "+string(d), ids, len(ids))
		a.relays[d] = order[0]
		if d == a.self.Domain {
			a.setTreePosition(order)
		}
	}
	for id := range a.subtrees {
		if !slices.Contains(a.children, id) {
			delete(a.subtrees, id)
		}
	}
}

// setTreePosition sets the parent and children of this VM. order is the level order
// of the tree, with the relay first.
func (a *Aggregator) setTreePosition(order []config.VMID) {
	at := slices.Index(order, a.self.ID)
	if at < 0 {
		return
	}
	if at > 0 {
		a.parent = order[(at-1)/treeFanout]
	}
	first := min(treeFanout*at+1, len(order))
	a.children = slices.Clone(order[first:min(first+treeFanout, len(order))])
}

// IsRelay reports whether this VM is the root of its failure domain's tree.
func (a *Aggregator) IsRelay() bool { return a.relays[a.self.Domain] == a.self.ID }

// bytesPerCount is an estimate of the encoded size of a count.
const bytesPerCount = 4

// reportInterval returns the interval between reports that keeps the estimated size
// of the counts that this VM sends within BytesPerSecond. The size of Included is
// neglected.
func (a *Aggregator) reportInterval() clock.Millis {
	out := (treeFanout + 1) * bytesPerCount * len(a.ids)
	if a.IsRelay() {
		out += len(a.relays) * bytesPerCount * len(a.ids)
	}
	return max(a.opts.ReportMillis, clock.Millis(out)*clock.Second/clock.Millis(max(1, a.opts.BytesPerSecond)))
}

// shortHash returns the hash of id that Included carries.
func shortHash(id config.VMID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// maxSentReports is the number of past reports whose counts are kept, to be
// subtracted from sums that include them.
const maxSentReports = 64

// Tick returns the reports that are due at now. local returns this VM's count of an
// upstream. If the VM is a relay, apply is called with the number of flows of the
// other VMs on each upstream.
func (a *Aggregator) Tick(now clock.Millis, local func(config.UpstreamID) int64, apply func(config.UpstreamID, int64)) (out []Envelope) {
	if now < a.nextAt || len(a.ids) == 0 {
		return nil
	}
	a.nextAt = now + a.reportInterval()
	own := make([]int64, len(a.ids))
	for i, id := range a.ids {
		own[i] = local(id)
	}
	a.seq++
	a.sent[a.seq] = own
	delete(a.sent, a.seq-maxSentReports)
	sum := a.subtreeSum(now, own)
	if !a.IsRelay() {
		if a.parent == "" {
			return nil
		}
		return []Envelope{{To: a.parent, Report: a.report(LevelSubtree, sum)}}
	}
	return a.relayReports(now, sum, own, apply)
}

// subtreeSum returns the sum of this VM's own counts and the reports of its children
// that are not stale, which it discards otherwise.
func (a *Aggregator) subtreeSum(now clock.Millis, own []int64) counts {
	sum := counts{at: now, values: slices.Clone(own), included: []Included{{VM: shortHash(a.self.ID), Seq: a.seq}}}
	for id, c := range a.subtrees {
		if a.stale(now, c) {
			delete(a.subtrees, id)
			continue
		}
		add(sum.values, c.values)
		sum.included = append(sum.included, c.included...)
	}
	return sum
}

func (a *Aggregator) stale(now clock.Millis, c *counts) bool {
	return now-c.at > a.reportInterval()*clock.Millis(a.opts.StalePeriods)
}

// relayReports returns the reports of a relay: the domain's sum to the other relays
// and the global sum to the children.
func (a *Aggregator) relayReports(now clock.Millis, domain counts, own []int64, apply func(config.UpstreamID, int64)) (out []Envelope) {
	all := counts{at: now, values: slices.Clone(domain.values), included: domain.included}
	for name, c := range a.domains {
		if a.stale(now, c) {
			delete(a.domains, name)
			continue
		}
		add(all.values, c.values)
	}
	domain.included = nil
	for name, relay := range a.relays {
		if name != a.self.Domain {
			out = append(out, Envelope{To: relay, Report: a.report(LevelDomain, domain)})
		}
	}
	for i, id := range a.ids {
		apply(id, all.values[i]-own[i])
	}
	return a.sendToChildren(a.report(LevelGlobal, all), out)
}

func (a *Aggregator) sendToChildren(r Report, out []Envelope) []Envelope {
	for _, id := range a.children {
		out = append(out, Envelope{To: id, Report: r})
	}
	return out
}

func add(sum, values []int64) {
	for i, v := range values {
		sum[i] += v
	}
}

func (a *Aggregator) report(level Level, c counts) Report {
	r := Report{Level: level, From: a.self.ID, Domain: a.self.Domain, Version: a.version, Included: c.included}
	last := -1
	for i, v := range c.values {
		if v == 0 {
			continue
		}
		r.Gaps = append(r.Gaps, uint32(i-last))
		r.Counts = append(r.Counts, v)
		last = i
	}
	return r
}

// expand decodes the counts of a report. It returns nil if the report is malformed
// or belongs to another version of the configuration.
func (a *Aggregator) expand(r Report) []int64 {
	if r.Version != a.version || len(r.Gaps) != len(r.Counts) {
		return nil
	}
	values := make([]int64, len(a.ids))
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

// Receive handles a report of another VM and returns the reports to forward. If the
// report is global, apply is called with the number of flows of the other VMs on
// each upstream.
func (a *Aggregator) Receive(now clock.Millis, r Report, apply func(config.UpstreamID, int64)) (out []Envelope) {
	values := a.expand(r)
	if values == nil {
		return nil
	}
	c := &counts{at: now, included: r.Included, values: values}
	switch r.Level {
	case LevelSubtree:
		if slices.Contains(a.children, r.From) {
			a.subtrees[r.From] = c
		}
	case LevelDomain:
		a.domains[r.Domain] = c
	case LevelGlobal:
		a.applyAll(c, apply)
		return a.sendToChildren(r, nil)
	}
	return nil
}

// applyAll calls apply with the global sum, less the counts of this VM that the sum
// includes.
func (a *Aggregator) applyAll(c *counts, apply func(config.UpstreamID, int64)) {
	var own []int64
	for _, in := range c.included {
		if in.VM == shortHash(a.self.ID) {
			own = a.sent[in.Seq]
		}
	}
	for i, id := range a.ids {
		others := c.values[i]
		if own != nil {
			others -= own[i]
		}
		apply(id, max(0, others))
	}
}
