package gossip

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
)

// TestReports guards against VMs of different versions that cannot read what they send, and
// against reports that cost too many bytes, leave the failure domain or outlive their time.
func TestReports(t *testing.T) {
	message, err := cbor.Marshal(&Message{})
	assert.NilError(t, err)
	assert.Assert(t, !IsReport(message) && message[0] == 0x80+15, "VMs with another number of fields cannot read Message")
	for name, fields := range map[string]map[int]any{"older": {1: "vm1"}, "newer": {1: "vm1", 5: "unknown"}} {
		data, err := cbor.Marshal(fields)
		assert.NilError(t, err)
		assert.Assert(t, IsReport(data) && cbor.Unmarshal(data, &Report{}) == nil, name)
		assert.Assert(t, cbor.Unmarshal(data, &Message{}) != nil, "VMs without reports discard them")
	}
	f := newFleet(470, 8, 0, 1, 2)
	f.rounds(40)
	samples := make([]Sample, 3300)
	for i := range samples {
		samples[i] = Sample{Token: catalog.Token(1<<31 + i), Answers: int32(1000 + i), LogSum: -900, Rejections: int32(i / 2)}
	}
	sent, receiver := 0, f.groups[address(8)]
	for range 8 {
		f.rounds(1)
		r, to := f.groups[address(0)].Report(f.now, func() []Sample { return samples })
		data, err := cbor.Marshal(&r)
		assert.NilError(t, err)
		sent += len(data) * len(to)
		for _, a := range to {
			assert.Equal(t, f.groups[a].self.Domain, f.groups[address(0)].self.Domain)
			receiver = f.groups[a]
			receiver.ReceiveReport(f.now, &r)
		}
	}
	assert.Assert(t, sent/2 <= 9600, "%d bytes per second", sent/2)
	assert.Assert(t, len(receiver.RemoteSamples(f.now+reportTimeout)) == maxReportSamples && len(receiver.RemoteSamples(f.now+reportTimeout+1)) == 0)
	assert.Equal(t, receiver.RemoteSamples(f.now)[samples[0].Token].Answers, int32(4299))
}
