package gossip

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/quality"
)

const (
	// reportEvery makes every n-th round send a report.
	reportEvery = 2
	// maxReportSamples is the largest number of samples in a report. It fits into a
	// datagram of 1,200 bytes.
	maxReportSamples = 64
	// reportTimeout is the time for which a report is valid.
	reportTimeout clock.Millis = 1500
)

// Sample sums up recent answers of one upstream, in the units of quality.Sample.
type Sample struct {
	_                           struct{} `cbor:",toarray"`
	Token                       catalog.Token
	Answers, LogSum, Rejections int32
}

// Report is what a VM tells others of its failure domain about the answers of upstreams.
// It is a datagram by itself and is encoded as a map: the array of a Message cannot grow
// without becoming unreadable to older VMs, whereas a map can. Older VMs discard reports.
type Report struct {
	From ident.VMID `cbor:"1,keyasint"`
	// Started and Seq are as in Message.
	Started clock.Millis `cbor:"2,keyasint"`
	Seq     uint64       `cbor:"3,keyasint"`
	Samples []Sample     `cbor:"4,keyasint"`
}

// IsReport reports whether a datagram holds a Report rather than a Message. It looks at
// the major type of the first CBOR item, which is a map for a Report.
func IsReport(data []byte) bool {
	const majorTypeShift, majorTypeMap = 5, 5
	return len(data) > 0 && data[0]>>majorTypeShift == majorTypeMap
}

// Report returns a report for the current round and its destinations, which are in the
// local failure domain. It keeps the maxReportSamples samples with the most answers of
// those that collect returns. In rounds without a report to is empty, and collect is not
// called.
func (g *Group) Report(now clock.Millis, collect func() []Sample) (r Report, to []netip.AddrPort) {
	if g.rounds%reportEvery != 0 {
		return r, nil
	}
	to = g.pick(g.aliveByDomain(now)[g.self.Domain], localFanout)
	if len(to) == 0 {
		return r, nil
	}
	samples := collect()
	slices.SortFunc(samples, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(b.Answers, a.Answers), cmp.Compare(a.Token, b.Token))
	})
	g.seq++
	return Report{From: g.self.ID, Started: g.started, Seq: g.seq, Samples: samples[:min(len(samples), maxReportSamples)]}, to
}

// ReceiveReport handles a report that arrived at the given time. It ignores one that is
// older than another of the same VM, and one of a VM that is unknown or in another
// failure domain.
func (g *Group) ReceiveReport(arrivedAt clock.Millis, r *Report) {
	m := g.members[r.From]
	if m == nil || m.peer.Domain != g.self.Domain {
		return
	}
	if r.Started < m.report.Started || r.Started == m.report.Started && r.Seq <= m.report.Seq {
		return
	}
	m.report, m.reportedAt = *r, arrivedAt
	// Bounds the memory and the sums of RemoteSamples, whatever the sender does.
	m.report.Samples = r.Samples[:min(len(r.Samples), maxReportSamples)]
}

// RemoteSamples returns the samples of each upstream, summed over the reports of other
// VMs that are not older than reportTimeout. Invalid samples are left out.
func (g *Group) RemoteSamples(now clock.Millis) map[catalog.Token]quality.Sample {
	sums := make(map[catalog.Token]quality.Sample)
	for _, m := range g.members {
		if now-m.reportedAt > reportTimeout {
			continue
		}
		for _, s := range m.report.Samples {
			if q := (quality.Sample{Answers: s.Answers, LogSum: s.LogSum, Rejections: s.Rejections}); q.Valid() {
				sums[s.Token] = sums[s.Token].Add(q)
			}
		}
	}
	return sums
}
