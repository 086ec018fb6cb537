package entry

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/document"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

const (
	// pullDelay is the fixed wait before a pull that catches up. The VM then pulls
	// only if another VM still has a higher revision than its own.
	pullDelay clock.Millis = 20
	// maxUpdateBytes limits the decompressed size of an update from another VM.
	maxUpdateBytes = 16 << 20
	// maxQueuedPulls is the capacity of the pull queue. Further pulls are dropped:
	// each gossip round requests them again.
	maxQueuedPulls = 2
	// maxRemovalAge is the largest age of a removal that a reply tells. The state of a
	// failure domain that returned to service depends on it for less than that.
	maxRemovalAge = 10 * clock.Second

	methodSince rpc.Method = "published.since"
)

// sinceRequest holds the parameters of methodSince, which returns the changes
// after a revision.
type sinceRequest struct {
	After replica.Revision `json:"after"`
	// Eras is set by builds that order revisions by era. An earlier build that takes a
	// revision with an era ignores the source from then on, whose numbers are lower.
	Eras bool `json:"eras,omitempty"`
}

// errNoEras refuses the request of a build that does not know eras.
var errNoEras = errors.New("entry: caller does not know the era of the copy")

// sinceReply holds a replica.Update, encoded in CBOR (RFC 8949) and compressed
// with DEFLATE (RFC 1951).
type sinceReply struct {
	Update []byte `json:"update"`
	// RemovalAges holds the ages in milliseconds of the tombstones that are at most
	// maxRemovalAge old.
	RemovalAges map[replica.Key]clock.Millis `json:"removalAges,omitempty"`
	// Kept holds the items that the sender keeps in force since the source came back
	// from an older copy, encoded as the items of Update, and KeptLeft the times in
	// milliseconds for which it does so, without those that have no limit.
	Kept     []byte                       `json:"kept,omitempty"`
	KeptLeft map[replica.Key]clock.Millis `json:"keptLeft,omitempty"`
	// ReturnsAssumed is set if the sender does not know which failure domains returned to
	// service before it started, so that neither does a VM whose first copy this is.
	ReturnsAssumed bool `json:"returnsAssumed,omitempty"`
	// Recovering holds the upstreams that have not recovered from a silence yet.
	Recovering map[catalog.Token]recoveryState `json:"recovering,omitempty"`
}

// pullRequest is a queued request for published items from another VM.
type pullRequest struct {
	// catchUp requests the changes that this VM lacks from any VM with a higher
	// revision. Otherwise the VM from is asked for everything, and done is called with
	// the result.
	catchUp bool
	from    gossip.Peer
	done    func(ok bool)
}

// stateTransfer transfers published items between VMs by RPC, for updates that are
// too large for a gossip message.
type stateTransfer struct {
	replicator *replicator
	pool       *rpc.Pool
	peerAhead  func(complete replica.Revision) (gossip.Peer, bool)
	log        *slog.Logger
	pulls      chan pullRequest
	// recoveries returns the upstreams that have not recovered from a silence yet, and
	// setRecoveries sets those that another VM tells.
	recoveries    func() map[catalog.Token]forward.Recovery
	setRecoveries func(map[catalog.Token]forward.Recovery)

	mu             sync.Mutex
	cachedUpdate   []byte // the last encoded update, from cachedAfter to cachedComplete
	cachedAfter    replica.Revision
	cachedComplete replica.Revision
}

func newStateTransfer(r *replicator, pool *rpc.Pool, ahead func(replica.Revision) (gossip.Peer, bool), log *slog.Logger) *stateTransfer {
	return &stateTransfer{
		replicator: r, pool: pool, peerAhead: ahead, log: log, pulls: make(chan pullRequest, maxQueuedPulls),
		recoveries:    func() map[catalog.Token]forward.Recovery { return nil },
		setRecoveries: func(map[catalog.Token]forward.Recovery) {},
	}
}

// enqueue queues a pull. It drops the pull and returns false if the queue is full.
func (t *stateTransfer) enqueue(p pullRequest) bool {
	select {
	case t.pulls <- p:
		return true
	default:
		return false
	}
}

// run processes queued pulls until ctx is done.
func (t *stateTransfer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-t.pulls:
			t.process(ctx, p)
		}
	}
}

func (t *stateTransfer) process(ctx context.Context, p pullRequest) {
	if !p.catchUp {
		reply, ok := t.fetch(ctx, p.from, 0)
		if ok && !reply.ReturnsAssumed {
			t.replicator.knowReturns()
		}
		t.replicator.buildNow()
		t.setRecoveries(reply.recovering())
		p.done(ok)
		return
	}
	sleep(ctx, pullDelay)
	complete := t.replicator.localCopy().Complete
	if from, ok := t.peerAhead(complete); ok {
		t.fetch(ctx, from, complete)
	}
}

// fetch requests the changes after a revision from another VM and applies them. It
// returns the reply, and whether that succeeded.
func (t *stateTransfer) fetch(ctx context.Context, from gossip.Peer, after replica.Revision) (reply sinceReply, ok bool) {
	err := t.pool.Call(ctx, from.Address, methodSince, sinceRequest{After: after, Eras: true}, &reply)
	if err != nil {
		event.Log(ctx, t.log, event.ChannelSilent, slog.String("peer", string(from.ID)), event.Error(err))
		return sinceReply{}, false
	}
	u, err := decodeUpdate(reply.Update)
	if err != nil {
		event.Log(ctx, t.log, event.MessageInvalid, slog.String("peer", string(from.ID)), event.Error(err))
		return sinceReply{}, false
	}
	setRemovalAges(&u, reply.RemovalAges)
	kept, err := reply.kept()
	if err != nil {
		event.Log(ctx, t.log, event.MessageInvalid, slog.String("peer", string(from.ID)), event.Error(err))
		return sinceReply{}, false
	}
	if reply.ReturnsAssumed && t.replicator.localCopy().Complete == 0 {
		t.replicator.assumeReturns()
	}
	t.replicator.applyWithKept(u, kept, string(from.ID))
	return reply, true
}

// setRemovalAges sets the ages of the tombstones of an update. Those that ages lacks
// are older than maxRemovalAge.
func setRemovalAges(u *replica.Update, ages map[replica.Key]clock.Millis) {
	for i := range u.Items {
		item := &u.Items[i]
		if !item.Removed {
			continue
		}
		item.Age = maxRemovalAge
		if age, ok := ages[item.Key]; ok {
			item.Age = min(max(0, age), maxRemovalAge)
		}
	}
}

// serve handles methodSince. Many VMs may request the same changes at the same time.
func (t *stateTransfer) serve(_ context.Context, params json.RawMessage) (any, error) {
	var req sinceRequest
	if err := document.Decode(params, &req); err != nil {
		return nil, err
	}
	if !req.Eras && t.replicator.localCopy().Complete.Era() > 0 {
		return nil, errNoEras
	}
	data, err := t.encodedChanges(req.After)
	if err != nil {
		return nil, err
	}
	reply := sinceReply{
		Update: data, RemovalAges: t.replicator.recentRemovals(maxRemovalAge),
		ReturnsAssumed: t.replicator.returnsAssumed(),
	}
	reply.setRecovering(t.recoveries())
	err = reply.setKept(t.replicator.keptItems())
	return reply, err
}

// encodedChanges returns the encoded changes after a revision. It caches the last
// result.
func (t *stateTransfer) encodedChanges(after replica.Revision) (data []byte, err error) {
	complete := t.replicator.localCopy().Complete
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cachedUpdate != nil && t.cachedAfter == after && t.cachedComplete == complete {
		return t.cachedUpdate, nil
	}
	u := t.replicator.changesSince(after)
	if data, err = encodeUpdate(&u); err != nil {
		return nil, err
	}
	t.cachedUpdate, t.cachedAfter, t.cachedComplete = data, after, u.Complete
	return data, nil
}

// encodeUpdate encodes and compresses an update. Without compression, a
// configuration can take as many bytes as the link of a small VM carries in a
// second.
func encodeUpdate(u *replica.Update) (data []byte, err error) {
	defer func() { err = eris.Wrap(err, "entry: encode an update") }()
	plain, err := cbor.Marshal(u)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err = w.Write(plain); err != nil {
		return nil, err
	}
	if err = w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// decodeUpdate decodes the output of encodeUpdate.
func decodeUpdate(data []byte) (u replica.Update, err error) {
	defer func() { err = eris.Wrap(err, "entry: decode an update") }()
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUpdateBytes))
	if err != nil {
		return u, err
	}
	return u, document.DecodeCBOR(plain, &u)
}
