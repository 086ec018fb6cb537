package tally

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

// fanOut is the number of VMs that report to one VM and that it tells the sum.
const fanOut = 4

// Level tells what a Report covers.
type Level uint8

// Levels of a report.
const (
	// LevelSubtree reports the counts of a VM and of those below it to its parent.
	LevelSubtree Level = iota + 1
	// LevelDomain reports a failure domain's sum to the other relays.
	LevelDomain
	// LevelGlobal reports the sum over all VMs to those below.
	LevelGlobal
)

// Report lists counts. Positions are the gaps between the positions of
// upstreams that have flows.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Level   Level
	From    config.VMID
	Domain  config.DomainName
	Version config.Version
	// Included tells which count of each VM of the failure domain the sum
	// includes.
	Included []Included
	Gaps     []uint32
	Counts   []int64
}

// Included names a count of a VM, by a short hash of its identifier.
type Included struct {
	_   struct{} `cbor:",toarray"`
	VM  uint32
	Seq uint64
}

// Envelope is a report on its way out.
type Envelope struct {
	To     config.VMID
	Report Report
}

// Peer is a living VM that takes part.
type Peer struct {
	ID     config.VMID
	Domain config.DomainName
}

// Options holds the timers of a Board.
type Options struct {
	// ReportMillis is the shortest time between reports of a VM.
	ReportMillis clock.Millis `json:"reportMillis"`
	// BytesPerSecond bounds what a VM sends by stretching the time between
	// reports.
	BytesPerSecond int `json:"bytesPerSecond"`
	// StalePeriods is the number of reports that may be missed before the
	// last one is no longer used.
	StalePeriods int `json:"stalePeriods"`
}

// DefaultOptions returns the timers that suit a deployment of any size.
func DefaultOptions() Options {
	return Options{ReportMillis: 1000, BytesPerSecond: 8000, StalePeriods: 10}
}

// counts holds a vector of counts by position.
type counts struct {
	at       clock.Millis
	included []Included
	values   []int64
}

// Aggregator is one VM's part in the sums. It is not safe for concurrent use.
type Aggregator struct {
	self   Peer
	period Options

	version config.Version
	ids     []config.UpstreamID
	parent  config.VMID // empty for the relay
	below   []config.VMID
	relays  map[config.DomainName]config.VMID

	seq    uint64
	sent   map[uint64][]int64
	vms    map[config.VMID]*counts
	others map[config.DomainName]*counts
	nextAt clock.Millis
}

// NewAggregator returns the board of VM self.
func NewAggregator(self Peer, period Options) *Aggregator {
	b := &Aggregator{self: self, period: period, vms: make(map[config.VMID]*counts)}
	b.SetPeers([]Peer{self})
	b.SetUpstreams(0, nil)
	return b
}

// SetUpstreams sets the order of identifiers that positions refer to.
func (b *Aggregator) SetUpstreams(v config.Version, ids []config.UpstreamID) {
	b.version, b.ids = v, ids
	b.sent = make(map[uint64][]int64)
	b.vms = make(map[config.VMID]*counts)
	b.others = make(map[config.DomainName]*counts)
}

// SetPeers sets the living VMs that can be reached, self included. They form a
// tree in each failure domain, with the domain's relay as its root.
func (b *Aggregator) SetPeers(peers []Peer) {
	byDomain := make(map[config.DomainName][]config.VMID)
	for _, p := range peers {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.ID)
	}
	b.relays = make(map[config.DomainName]config.VMID)
	b.parent, b.below = "", nil
	for d, ids := range byDomain {
		order := homes.Designated("relay "+string(d), ids, len(ids))
		b.relays[d] = order[0]
		if d == b.self.Domain {
			b.climb(order)
		}
	}
	for id := range b.vms {
		if !slices.Contains(b.below, id) {
			delete(b.vms, id)
		}
	}
}

// climb finds the VM's place in the tree.
func (b *Aggregator) climb(order []config.VMID) {
	at := slices.Index(order, b.self.ID)
	if at < 0 {
		return
	}
	if at > 0 {
		b.parent = order[(at-1)/fanOut]
	}
	first := min(fanOut*at+1, len(order))
	b.below = slices.Clone(order[first:min(first+fanOut, len(order))])
}

// IsRelay reports whether this VM adds up its failure domain.
func (b *Aggregator) IsRelay() bool { return b.relays[b.self.Domain] == b.self.ID }

// bytesPerCount estimates what a count takes on the wire.
const bytesPerCount = 4

// every returns the time between reports, which keeps what this VM sends, and
// what it is sent, within bounds.
func (b *Aggregator) every() clock.Millis {
	out := (fanOut + 1) * bytesPerCount * len(b.ids)
	if b.IsRelay() {
		out += len(b.relays) * bytesPerCount * len(b.ids)
	}
	return max(b.period.ReportMillis, clock.Millis(out)*clock.Second/clock.Millis(max(1, b.period.BytesPerSecond)))
}

func shortHash(id config.VMID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

const keptReports = 64

// Tick returns the reports that are due at now. local gives this VM's count of
// an upstream, and apply takes the others' count if the VM is a relay.
func (b *Aggregator) Tick(now clock.Millis, local func(config.UpstreamID) int64, apply func(config.UpstreamID, int64)) (out []Envelope) {
	if now < b.nextAt || len(b.ids) == 0 {
		return nil
	}
	b.nextAt = now + b.every()
	own := make([]int64, len(b.ids))
	for i, id := range b.ids {
		own[i] = local(id)
	}
	b.seq++
	b.sent[b.seq] = own
	delete(b.sent, b.seq-keptReports)
	sum := b.subtree(now, own)
	if !b.IsRelay() {
		if b.parent == "" {
			return nil
		}
		return []Envelope{{To: b.parent, Report: b.report(LevelSubtree, sum)}}
	}
	return b.relayReports(now, sum, own, apply)
}

// subtree adds up this VM and those below it.
func (b *Aggregator) subtree(now clock.Millis, own []int64) counts {
	sum := counts{at: now, values: slices.Clone(own), included: []Included{{VM: shortHash(b.self.ID), Seq: b.seq}}}
	for id, c := range b.vms {
		if b.stale(now, c) {
			delete(b.vms, id)
			continue
		}
		add(sum.values, c.values)
		sum.included = append(sum.included, c.included...)
	}
	return sum
}

func (b *Aggregator) stale(now clock.Millis, c *counts) bool {
	return now-c.at > b.every()*clock.Millis(b.period.StalePeriods)
}

// relayReports tells the other relays and the VMs below the sums.
func (b *Aggregator) relayReports(now clock.Millis, domain counts, own []int64, apply func(config.UpstreamID, int64)) (out []Envelope) {
	all := counts{at: now, values: slices.Clone(domain.values), included: domain.included}
	for name, c := range b.others {
		if b.stale(now, c) {
			delete(b.others, name)
			continue
		}
		add(all.values, c.values)
	}
	domain.included = nil
	for name, relay := range b.relays {
		if name != b.self.Domain {
			out = append(out, Envelope{To: relay, Report: b.report(LevelDomain, domain)})
		}
	}
	for i, id := range b.ids {
		apply(id, all.values[i]-own[i])
	}
	return b.toBelow(b.report(LevelGlobal, all), out)
}

func (b *Aggregator) toBelow(r Report, out []Envelope) []Envelope {
	for _, id := range b.below {
		out = append(out, Envelope{To: id, Report: r})
	}
	return out
}

func add(sum, values []int64) {
	for i, v := range values {
		sum[i] += v
	}
}

func (b *Aggregator) report(level Level, c counts) Report {
	r := Report{Level: level, From: b.self.ID, Domain: b.self.Domain, Version: b.version, Included: c.included}
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

// expand returns the vector of a report, or nil if it does not fit.
func (b *Aggregator) expand(r Report) []int64 {
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

// Receive takes a report of another VM and returns those to pass on. apply gets
// the number of flows that the other VMs have on each upstream.
func (b *Aggregator) Receive(now clock.Millis, r Report, apply func(config.UpstreamID, int64)) (out []Envelope) {
	values := b.expand(r)
	if values == nil {
		return nil
	}
	c := &counts{at: now, included: r.Included, values: values}
	switch r.Level {
	case LevelSubtree:
		if slices.Contains(b.below, r.From) {
			b.vms[r.From] = c
		}
	case LevelDomain:
		b.others[r.Domain] = c
	case LevelGlobal:
		b.applyAll(c, apply)
		return b.toBelow(r, nil)
	}
	return nil
}

// applyAll takes the sum over all VMs and subtracts what it includes of self.
func (b *Aggregator) applyAll(c *counts, apply func(config.UpstreamID, int64)) {
	var own []int64
	for _, in := range c.included {
		if in.VM == shortHash(b.self.ID) {
			own = b.sent[in.Seq]
		}
	}
	for i, id := range b.ids {
		others := c.values[i]
		if own != nil {
			others -= own[i]
		}
		apply(id, max(0, others))
	}
}
