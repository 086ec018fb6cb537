package entry

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// TestBuildsWithoutEras guards against a VM of an earlier build that takes a revision with
// an era, and then ignores all changes that it reads from the source.
func TestBuildsWithoutEras(t *testing.T) {
	r := newTestReplicator(&fakeSource{}, func(*catalog.Catalog) {})
	s := newStateTransfer(r, nil, nil, r.log)
	for era := range replica.Era(2) {
		u, _ := fullUpdate(replica.RevisionOf(era, 3))
		r.apply(u, "other")
		_, err := s.serve(t.Context(), []byte(`{"after":2}`))
		assert.Equal(t, err == nil, era == 0)
		_, err = s.serve(t.Context(), []byte(`{"after":2,"eras":true}`))
		assert.NilError(t, err)
	}
}

func TestUpdateEncoding(t *testing.T) {
	u := replica.Update{After: 3, Complete: 9, Full: true}
	for i := range 1000 {
		u.Items = append(u.Items, replica.Item{
			Key: replica.Key(fmt.Sprint("upstreams/", i)), Value: fmt.Appendf(nil, `{"service":"s%d","state":"ready"}`, i%10), Revision: replica.Revision(i),
		})
	}
	data, err := encodeUpdate(&u)
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 20*len(u.Items), "%d bytes for %d items", len(data), len(u.Items))
	got, err := decodeUpdate(data)
	assert.NilError(t, err)
	assert.Equal(t, got.Complete, u.Complete)
	assert.Equal(t, len(got.Items), len(u.Items))
	assert.DeepEqual(t, got.Items[7].Value, u.Items[7].Value)
	for _, bad := range [][]byte{nil, []byte("no update"), data[:len(data)/2]} {
		_, err := decodeUpdate(bad)
		assert.Assert(t, err != nil)
	}
}

// TestReplyTellsRecoveries guards against a VM that starts and takes an upstream for warm
// which the other VMs know to have been silent a moment ago.
func TestReplyTellsRecoveries(t *testing.T) {
	r := newTestReplicator(&fakeSource{}, func(*catalog.Catalog) {})
	s := newStateTransfer(r, nil, nil, r.log)
	want := map[catalog.Token]forward.Recovery{3_000_000_000: {Answered: true, Left: 1700}, 4: {}}
	s.recoveries = func() map[catalog.Token]forward.Recovery { return want }
	result, err := s.serve(t.Context(), []byte(`{"after":0}`))
	assert.NilError(t, err)
	data, err := json.Marshal(result)
	assert.NilError(t, err)
	var reply sinceReply
	assert.NilError(t, json.Unmarshal(data, &reply))
	assert.DeepEqual(t, reply.recovering(), want)
}
