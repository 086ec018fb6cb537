package entry

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/document"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/quality"
)

// exchangeSamples passes the samples of other VMs to the engine, and reports the own
// ones to VMs of the own failure domain. It is called after each gossip round.
func (p *peers) exchangeSamples(now clock.Millis) {
	p.mu.Lock()
	report, to := p.group.Report(now, func() []gossip.Sample { return samplesToGossip(p.engine.Samples(now)) })
	others := p.group.RemoteSamples(now)
	p.mu.Unlock()
	p.engine.SetPeerSamples(others)
	if len(to) == 0 {
		return
	}
	data, err := cbor.Marshal(&report)
	if err != nil {
		p.invalid.Add(1)
		return
	}
	for _, a := range to {
		p.sendDatagram(data, a)
	}
}

// receiveReport decodes a report. waited is an upper bound on how long it waited in the
// socket.
func (p *peers) receiveReport(data []byte, waited clock.Millis) {
	var r gossip.Report
	if err := document.DecodeCBOR(data, &r); err != nil {
		p.invalid.Add(1)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.ReceiveReport(p.clk.Now()-waited, &r)
}

func samplesToGossip(samples map[catalog.Token]quality.Sample) []gossip.Sample {
	list := make([]gossip.Sample, 0, len(samples))
	for t, s := range samples {
		list = append(list, gossip.Sample{Token: t, Answers: s.Answers, LogSum: s.LogSum, Rejections: s.Rejections})
	}
	return list
}
