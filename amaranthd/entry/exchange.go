package entry

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

const (
	// pullDelay spreads the questions of VMs that hear of a change at once.
	pullDelay clock.Millis = 20
	// maxUpdateBytes bounds an update from another VM.
	maxUpdateBytes = 16 << 20
	// pullsQueued is the number of questions that wait. More are left out, as
	// each round of messages brings them up again.
	pullsQueued = 2

	methodSince rpc.Method = "published.since"
)

// sinceRequest asks for what changed after a revision.
type sinceRequest struct {
	After replica.Revision `json:"after"`
}

// sinceReply carries an Update in CBOR (RFC 8949), compressed (RFC 1951).
type sinceReply struct {
	Update []byte `json:"update"`
}

// pull asks for what another VM knows.
type pull struct {
	// behind asks any VM that knows more for that; else from is asked for all.
	behind bool
	from   gossip.Peer
}

// exchange passes on what is published by calls, where it does not fit in
// messages.
type exchange struct {
	keeper *keeper
	pool   *rpc.Pool
	ahead  func(complete replica.Revision) (gossip.Peer, bool)
	log    *slog.Logger
	pulls  chan pull

	mu       sync.Mutex
	answer   sinceReply // the last one
	after    replica.Revision
	complete replica.Revision
}

func newExchange(k *keeper, pool *rpc.Pool, ahead func(replica.Revision) (gossip.Peer, bool), log *slog.Logger) *exchange {
	return &exchange{keeper: k, pool: pool, ahead: ahead, log: log, pulls: make(chan pull, pullsQueued)}
}

// want queues a question, if there is room.
func (x *exchange) want(p pull) {
	select {
	case x.pulls <- p:
	default:
	}
}

// run asks what is queued until ctx ends.
func (x *exchange) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-x.pulls:
			x.ask(ctx, p)
		}
	}
}

func (x *exchange) ask(ctx context.Context, p pull) {
	if !p.behind {
		x.fetch(ctx, p.from, 0)
		return
	}
	sleep(ctx, pullDelay)
	complete := x.keeper.held().Complete
	if from, ok := x.ahead(complete); ok {
		x.fetch(ctx, from, complete)
	}
}

// fetch fetches what a VM knows to have changed after a revision.
func (x *exchange) fetch(ctx context.Context, from gossip.Peer, after replica.Revision) {
	var reply sinceReply
	err := x.pool.Call(ctx, from.Address, methodSince, sinceRequest{After: after}, &reply)
	if err != nil {
		event.Log(ctx, x.log, event.ChannelSilent, slog.String("peer", string(from.ID)), slog.String("error", err.Error()))
		return
	}
	u, err := unpack(reply.Update)
	if err != nil {
		event.Log(ctx, x.log, event.MessageInvalid, slog.String("peer", string(from.ID)), slog.String("error", err.Error()))
		return
	}
	x.keeper.apply(u, string(from.ID))
}

// serve answers another VM's question what changed. Many ask the same at
// a time, so the last answer is kept.
func (x *exchange) serve(_ context.Context, params json.RawMessage) (any, error) {
	var req sinceRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, err
	}
	complete := x.keeper.held().Complete
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.answer.Update != nil && x.after == req.After && x.complete == complete {
		return x.answer, nil
	}
	u := x.keeper.since(req.After)
	data, err := pack(&u)
	if err != nil {
		return nil, err
	}
	x.answer, x.after, x.complete = sinceReply{Update: data}, req.After, u.Complete
	return x.answer, nil
}

// pack encodes an update and compresses it, since a configuration may be as
// large as what a small VM's link carries in a second.
func pack(u *replica.Update) (data []byte, err error) {
	defer func() { err = eris.Wrap(err, "entry: pack an update") }()
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

// unpack reads what pack wrote.
func unpack(data []byte) (u replica.Update, err error) {
	defer func() { err = eris.Wrap(err, "entry: unpack an update") }()
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUpdateBytes))
	if err != nil {
		return u, err
	}
	return u, cbor.Unmarshal(plain, &u)
}
