package gossip

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/vmload"
)

// TestLoadStateIsCompatible guards against VMs that lose contact while a fleet runs two
// versions: older, as the one before encodes a message, must stay the content of the tag.
func TestLoadStateIsCompatible(t *testing.T) {
	const older = "8f84616261646172460a000001581b0307f4f5f40905826000f4f6f6f6f6f6"
	var data []byte
	_, _ = fmt.Sscanf(older, "%x", &data)
	for state := range vmload.StateCount {
		var m Message
		assert.NilError(t, DecodeMessage(data, &m))
		assert.Assert(t, m.Seq == 7 && m.Stranded && m.Overload == max(1, state)-1)
		m.Overload = state
		data, _ = EncodeMessage(&m)
		assert.Assert(t, strings.HasSuffix(fmt.Sprintf("%x", data), older), "%x", data)
	}
}
