package entry

import (
	"context"
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
	// groupKnownAfter is the time after its start in which a VM hears of all
	// others, and they of it.
	groupKnownAfter = 2 * clock.Second
	// maxMessageBytes holds the largest datagram between VMs.
	maxMessageBytes = 1 << 16
	// newsBytes is the largest change that is told in a datagram.
	newsBytes = 1000
)

// peers talks to the other VMs.
type peers struct {
	conn   *net.UDPConn
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

	exchange *exchange

	alive    map[ident.VMID]bool
	far      []ident.DomainName
	started  clock.Millis
	cut      map[ident.DomainName]bool // failure domains none of whose VMs is heard
	stranded atomic.Bool
	bytesOut atomic.Int64
	invalid  atomic.Int64
	told     atomic.Int64 // suspicions sent
	heard    atomic.Int64 // suspicions received
}

func newPeers(ctx context.Context, set *Settings, engine *forward.Engine, k *keeper, pool *rpc.Pool, server *rpc.Server, clk clock.Clock, log *slog.Logger) (p *peers, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "entry: open peers address %s", set.listen()) }()
	var lc net.ListenConfig
	pc, err := lc.ListenPacket(ctx, "udp4", set.listen().String())
	if err != nil {
		return nil, nil, err
	}
	self := gossip.Peer{ID: set.VM, Domain: set.Domain, Region: set.Region, Address: set.Peers}
	now := clk.Now()
	p = &peers{
		conn: pc.(*net.UDPConn), engine: engine, keeper: k, clk: clk, log: log, domain: set.Domain,
		group: gossip.New(now, self, set.Seeds, uint64(set.Peers.Addr().As4()[3])),
		alive: make(map[ident.VMID]bool),
		far:   otherDomains(set), started: now,
		cut: make(map[ident.DomainName]bool),
	}
	p.exchange = newExchange(k, pool, p.ahead, log)
	server.Handle(methodSince, p.exchange.serve)
	return p, func() { _ = p.conn.Close() }, nil
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
		p.receive(buf[:n])
	}
}

// receive takes a message and what follows from it.
func (p *peers) receive(data []byte) {
	var msg gossip.Message
	if err := cbor.Unmarshal(data, &msg); err != nil {
		p.invalid.Add(1)
		return
	}
	p.keeper.pauses.look()
	waited := p.keeper.pauses.unchecked() // at most: it may have waited for this VM
	msg.Age += waited
	msg.Reader.Age += waited
	held := p.keeper.held()
	p.mu.Lock()
	out := p.group.Receive(p.clk.Now(), &msg, held)
	askAll := !p.knowsGone && held.Complete != 0
	p.knowsGone = p.knowsGone || askAll
	confirmed := p.group.ConfirmedAt(held.Complete)
	p.mu.Unlock()
	p.send(out)
	p.takeSuspicions(&msg, waited)
	p.keeper.confirm(confirmed)
	if askAll {
		p.exchange.want(pull{from: msg.From})
	}
	p.takeNews(&msg, held)
}

// takeNews takes the change that a message carries, or asks for what it only tells of.
func (p *peers) takeNews(msg *gossip.Message, held gossip.ReplicaState) {
	if msg.Update != nil && msg.Update.After <= held.Complete && msg.Update.Complete > held.Complete {
		p.keeper.apply(*msg.Update, string(msg.From.ID))
		return
	}
	if msg.Complete > held.Complete {
		p.exchange.want(pull{behind: true})
	}
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
	p.group.SetPublisherUnreachable(p.keeper.down.Load())
	out := p.group.Round(now, held, loads)
	rank, away := p.group.Rank(now), p.group.PublisherOutage(now)
	vms := p.group.VMs()
	alive := p.group.Alive(now)
	others := p.group.RemoteLoads(now)
	cuts := p.cutDomains(now)
	neighbours := p.group.AliveInDomain(now)
	_, behind := p.group.PeerAhead(now, held.Complete)
	near := 1
	if p.group.SharesLoads(now) {
		near = len(neighbours)
	}
	p.mu.Unlock()
	p.send(out)
	p.keeper.setRank(rank, away)
	p.engine.SetLocalVMCount(near)
	p.engine.SetNeighbours(neighbours)
	if now-p.started >= groupKnownAfter {
		p.engine.SetVMs(vms)
	}
	p.engine.SetPeerLoads(sumsOf(others))
	p.logChanges(ctx, alive)
	p.takePaths(ctx, now, cuts)
	p.checkStranded(now)
	if behind {
		p.exchange.want(pull{behind: true})
	}
}

// ahead returns a VM that knows more than this one.
func (p *peers) ahead(complete replica.Revision) (gossip.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.PeerAhead(p.clk.Now(), complete)
}

// news tells other VMs of a change.
func (p *peers) news(u *replica.Update) {
	if size(u) > newsBytes {
		u = nil
	}
	held := p.keeper.held()
	p.mu.Lock()
	out := p.group.DisseminateUpdate(p.clk.Now(), held, u)
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
	held := p.keeper.held()
	p.mu.Lock()
	p.group.Leave()
	out := p.group.Round(p.clk.Now(), held, nil)
	p.mu.Unlock()
	p.send(out)
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

func (p *peers) send(out []gossip.Envelope) {
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

func loadsOf(sums map[catalog.Token]forward.Load) []gossip.Load {
	loads := make([]gossip.Load, 0, len(sums))
	for t, s := range sums {
		loads = append(loads, gossip.Load{Token: t, Steady: s.Expected, InFlight: s.InFlight})
	}
	return loads
}

func sumsOf(loads map[catalog.Token]gossip.Load) map[catalog.Token]forward.Load {
	sums := make(map[catalog.Token]forward.Load, len(loads))
	for t, l := range loads {
		sums[t] = forward.Load{Expected: l.Steady, InFlight: l.InFlight}
	}
	return sums
}
