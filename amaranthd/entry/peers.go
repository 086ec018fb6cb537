package entry

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/event"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

const (
	// roundEvery is the period of messages to other VMs.
	roundEvery clock.Millis = 250
	// callWait bounds a call to another VM.
	callWait clock.Millis = 1000
	// maxMessageBytes holds the largest datagram between VMs.
	maxMessageBytes = 1 << 16
	// cutAfter is the silence of all VMs of a failure domain that means that
	// there is no path to it.
	cutAfter clock.Millis = 1200
	// isolatedAfter is such a silence of all other failure domains that, with
	// no upstream that answers, makes this VM leave the packets to others.
	isolatedAfter clock.Millis = 400
	// pullDelay spreads the questions of VMs that hear of a change at once.
	pullDelay clock.Millis = 20
	// maxUpdateBytes bounds an update from another VM.
	maxUpdateBytes = 16 << 20
	// newsBytes is the largest change that is told in a datagram.
	newsBytes = 1000

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

// peers talks to the other VMs.
type peers struct {
	conn   *net.UDPConn
	pool   *rpc.Pool
	engine *forward.Engine
	keeper *keeper
	clk    clock.Clock
	log    *slog.Logger

	domain ident.DomainName

	mu    sync.Mutex
	group *gossip.Group
	// knowsGone is set once another VM was asked for what the source no longer
	// tells: upstreams that are gone, to which open flows may lead.
	knowsGone bool

	answerMu       sync.Mutex
	answer         sinceReply
	answerAfter    replica.Revision
	answerComplete replica.Revision

	alive    map[ident.VMID]bool
	far      []ident.DomainName
	started  clock.Millis
	cut      map[ident.DomainName]bool // failure domains none of whose VMs is heard
	isolated bool                      // all of them are
	stranded atomic.Bool
	pulling  atomic.Bool
	bytesOut atomic.Int64
	invalid  atomic.Int64
}

func newPeers(ctx context.Context, set *Settings, engine *forward.Engine, k *keeper, pool *rpc.Pool, server *rpc.Server, clk clock.Clock, log *slog.Logger) (p *peers, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "entry: open peers address %s", set.Peers) }()
	var lc net.ListenConfig
	pc, err := lc.ListenPacket(ctx, "udp4", set.Peers.String())
	if err != nil {
		return nil, nil, err
	}
	self := gossip.Peer{ID: set.VM, Domain: set.Domain, Region: set.Region, Address: set.Peers}
	now := clk.Now()
	p = &peers{
		conn: pc.(*net.UDPConn), pool: pool, engine: engine, keeper: k, clk: clk, log: log, domain: set.Domain,
		group: gossip.New(now, self, set.Seeds, uint64(set.Peers.Addr().As4()[3])),
		alive: make(map[ident.VMID]bool),
		far:   otherDomains(set), started: now,
		cut: make(map[ident.DomainName]bool),
	}
	server.Handle(methodSince, p.serveSince)
	return p, func() { _ = p.conn.Close() }, nil
}

// serveSince answers another VM's question what changed. Many ask the same at
// a time, so the last answer is kept.
func (p *peers) serveSince(_ context.Context, params json.RawMessage) (any, error) {
	var req sinceRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, err
	}
	complete := p.keeper.held().Complete
	p.answerMu.Lock()
	defer p.answerMu.Unlock()
	if p.answer.Update != nil && p.answerAfter == req.After && p.answerComplete == complete {
		return p.answer, nil
	}
	u := p.keeper.since(req.After)
	data, err := pack(&u)
	if err != nil {
		return nil, err
	}
	p.answer, p.answerAfter, p.answerComplete = sinceReply{Update: data}, req.After, u.Complete
	return p.answer, nil
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

// read takes messages until the socket is closed.
func (p *peers) read(ctx context.Context) error {
	buf := make([]byte, maxMessageBytes)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "entry: read peers")
		}
		p.receive(ctx, buf[:n])
	}
}

func (p *peers) receive(ctx context.Context, data []byte) {
	var msg gossip.Message
	if err := cbor.Unmarshal(data, &msg); err != nil {
		p.invalid.Add(1)
		return
	}
	held := p.keeper.held()
	p.mu.Lock()
	out := p.group.Receive(p.clk.Now(), &msg, held)
	askAll := !p.knowsGone && held.Complete != 0
	p.knowsGone = p.knowsGone || askAll
	confirmed := p.group.ConfirmedAt(held.Complete)
	p.mu.Unlock()
	p.send(out)
	p.keeper.confirm(confirmed)
	if askAll {
		go p.pullFrom(ctx, msg.From, 0)
	}
	if msg.News != nil && msg.News.After <= held.Complete && msg.News.Complete > held.Complete {
		p.keeper.apply(*msg.News, string(msg.From.ID))
		return
	}
	if msg.Complete > held.Complete {
		p.catchUp(ctx)
	}
}

// catchUp asks a VM that knows more, unless that is under way.
func (p *peers) catchUp(ctx context.Context) {
	if !p.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.pulling.Store(false)
		sleep(ctx, pullDelay)
		p.pull(ctx)
	}()
}

// pull fetches what a VM that knows more knows.
func (p *peers) pull(ctx context.Context) {
	complete := p.keeper.held().Complete
	p.mu.Lock()
	from, ok := p.group.Ahead(p.clk.Now(), complete)
	p.mu.Unlock()
	if !ok {
		return
	}
	p.pullFrom(ctx, from, complete)
}

// pullFrom fetches what a VM knows to have changed after a revision.
func (p *peers) pullFrom(ctx context.Context, from gossip.Peer, after replica.Revision) {
	var reply sinceReply
	err := p.pool.Call(ctx, from.Address, methodSince, sinceRequest{After: after}, &reply)
	if err != nil {
		event.Log(ctx, p.log, event.ChannelSilent, slog.String("peer", string(from.ID)), slog.String("error", err.Error()))
		return
	}
	u, err := unpack(reply.Update)
	if err != nil {
		event.Log(ctx, p.log, event.MessageInvalid, slog.String("peer", string(from.ID)), slog.String("error", err.Error()))
		return
	}
	p.keeper.apply(u, string(from.ID))
}

// run sends a round of messages again and again until ctx ends.
func (p *peers) run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.round(ctx)
		sleep(ctx, roundEvery)
	}
	return nil
}

// round sends a round of messages and passes on what the group knows.
func (p *peers) round(ctx context.Context) {
	now := p.clk.Now()
	held := p.keeper.held()
	loads := loadsOf(p.engine.Loads())
	p.mu.Lock()
	out := p.group.Round(now, held, loads)
	rank, _ := p.group.Rank(now)
	vms := p.group.VMs()
	alive := p.group.Alive(now)
	others := p.group.Others(now)
	heard := p.group.Heard()
	_, behind := p.group.Ahead(now, held.Complete)
	near := 1
	if p.group.TellsLoads(now) {
		near += inDomain(alive, p.domain)
	}
	p.mu.Unlock()
	p.send(out)
	p.keeper.setRank(rank)
	p.engine.SetVMs(vms, near)
	p.engine.SetOthers(sumsOf(others))
	p.logChanges(ctx, alive)
	p.watchPaths(ctx, now, heard)
	p.checkStranded(now)
	if behind {
		p.catchUp(ctx)
	}
}

// inDomain counts the VMs of a failure domain.
func inDomain(list []gossip.Peer, domain ident.DomainName) (n int) {
	for _, peer := range list {
		if peer.Domain == domain {
			n++
		}
	}
	return n
}

// otherDomains returns the failure domains of the fleet but the own one.
func otherDomains(set *Settings) (far []ident.DomainName) {
	for _, d := range set.Domains {
		if d != set.Domain {
			far = append(far, d)
		}
	}
	return far
}

// watchPaths notices partitions by the silence of whole failure domains.
func (p *peers) watchPaths(ctx context.Context, now clock.Millis, heard map[ident.DomainName]clock.Millis) {
	p.isolated = len(p.far) > 0
	for _, domain := range p.far {
		silence := now - max(p.started, heard[domain])
		p.isolated = p.isolated && silence >= isolatedAfter
		cut := silence >= cutAfter
		if cut == p.cut[domain] {
			continue
		}
		p.cut[domain] = cut
		p.engine.SetUnheard(domain, cut)
		if !cut {
			p.engine.PathBack(now, domain)
		}
		event.Log(ctx, p.log, event.DomainHeard, slog.String("domain", string(domain)), slog.Bool("heard", !cut))
	}
}

// checkStranded decides whether this VM leaves the packets to VMs elsewhere:
// it hears no other failure domain, and no upstream answers it, or so say all
// its neighbours, which may have seen more.
func (p *peers) checkStranded(now clock.Millis) {
	reaches := !p.engine.Stranded(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	stranded := p.isolated && (!reaches || p.group.NearStranded(now))
	p.stranded.Store(stranded)
	p.group.SetStranded(p.isolated && !reaches)
}

// logChanges logs which VMs began or ceased to be heard.
func (p *peers) logChanges(ctx context.Context, alive []gossip.Peer) {
	heard := make(map[ident.VMID]bool, len(alive))
	for _, peer := range alive {
		heard[peer.ID] = true
		if !p.alive[peer.ID] {
			event.Log(ctx, p.log, event.VMChanged, slog.String("peer", string(peer.ID)), slog.String("state", "alive"))
		}
	}
	for id := range p.alive {
		if !heard[id] {
			event.Log(ctx, p.log, event.VMChanged, slog.String("peer", string(id)), slog.String("state", "silent"))
		}
	}
	p.alive = heard
}

// news tells other VMs of a change.
func (p *peers) news(u *replica.Update) {
	if size(u) > newsBytes {
		u = nil
	}
	held := p.keeper.held()
	p.mu.Lock()
	out := p.group.News(p.clk.Now(), held, u)
	p.mu.Unlock()
	p.send(out)
}

// size returns about how many bytes an update takes.
func size(u *replica.Update) (n int) {
	const itemBytes = 32
	for i := range u.Items {
		n += itemBytes + len(u.Items[i].Key) + len(u.Items[i].Value)
	}
	return n
}

// leave tells other VMs that this one stops.
func (p *peers) leave() {
	p.mu.Lock()
	p.group.Leave()
	p.mu.Unlock()
	p.round(context.Background())
}

// status returns the VMs heard lately.
func (p *peers) status() []PeerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []PeerStatus{}
	for _, peer := range p.group.Alive(p.clk.Now()) {
		list = append(list, PeerStatus{ID: peer.ID, RPC: peer.Address, State: membership.Alive, Reachable: true})
	}
	return list
}

func (p *peers) setSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.SetSeeds(seeds)
}

func (p *peers) send(out []gossip.Send) {
	for i := range out {
		data, err := cbor.Marshal(&out[i].Message)
		if err != nil {
			p.invalid.Add(1)
			continue
		}
		p.bytesOut.Add(int64(len(data)))
		_, _ = p.conn.WriteToUDPAddrPort(data, out[i].To) // An unreachable VM falls silent.
	}
}

func loadsOf(sums map[catalog.Token]forward.Sum) []gossip.Load {
	loads := make([]gossip.Load, 0, len(sums))
	for t, s := range sums {
		loads = append(loads, gossip.Load{Token: t, Steady: s.Steady, Busy: s.Busy})
	}
	return loads
}

func sumsOf(loads map[catalog.Token]gossip.Load) map[catalog.Token]forward.Sum {
	sums := make(map[catalog.Token]forward.Sum, len(loads))
	for t, l := range loads {
		sums[t] = forward.Sum{Steady: l.Steady, Busy: l.Busy}
	}
	return sums
}
