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
	"github.com/amaranthswitch/amaranthswitch/fleet/document"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/membership"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

const (
	// gossipInterval is the period of gossip rounds.
	gossipInterval clock.Millis = 250
	// callTimeout is the timeout of a call to another VM.
	callTimeout clock.Millis = 1000
	// discoveryPeriod is the time after its first contact with another VM in which a VM
	// discovers all others and they discover it.
	discoveryPeriod = 2 * clock.Second
	// maxMessageBytes is the size of the receive buffer, which holds the largest
	// datagram.
	maxMessageBytes = 1 << 16
	// maxInlineUpdateBytes is the largest update, as estimated by approxBytes,
	// that is sent within a gossip message. VMs fetch larger ones by RPC.
	maxInlineUpdateBytes = 1000
)

// peers exchanges gossip messages with the other VMs.
type peers struct {
	conn       *net.UDPConn
	engine     *forward.Engine
	replicator *replicator
	clk        clock.Clock
	log        *slog.Logger

	domain ident.DomainName
	// probeTo is the address of conn, to which this VM sends probes, and delay the
	// estimate that they give.
	probeTo netip.AddrPort
	delay   *receiveDelay

	mu    sync.Mutex
	group *gossip.Group

	transfer *stateTransfer
	history  *removalHistory

	alive        map[ident.VMID]bool
	otherDomains []ident.DomainName
	partitioned  map[ident.DomainName]bool // unreachable failure domains
	// reportNotReady is set while this VM reports not ready because of a network
	// partition; see updateReadiness.
	reportNotReady atomic.Bool
	bytesOut       atomic.Int64
	// invalid counts received messages that cannot be decoded and own messages that
	// cannot be encoded.
	invalid            atomic.Int64
	suspicionsSent     atomic.Int64
	suspicionsReceived atomic.Int64
}

func newPeers(ctx context.Context, settings *Settings, engine *forward.Engine, r *replicator, pool *rpc.Pool, server *rpc.Server, clk clock.Clock, log *slog.Logger) (p *peers, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "entry: open peers address %s", settings.listenAddress()) }()
	var lc net.ListenConfig
	pc, err := lc.ListenPacket(ctx, "udp4", settings.listenAddress().String())
	if err != nil {
		return nil, nil, err
	}
	self := gossip.Peer{ID: settings.VM, Domain: settings.Domain, Region: settings.Region, Address: settings.Peers}
	now := clk.Now()
	p = &peers{
		conn: pc.(*net.UDPConn), engine: engine, replicator: r, clk: clk, log: log, domain: settings.Domain,
		delay: &receiveDelay{clk: clk, interval: gossipInterval},
		// The seed, the last byte of the address, lets VMs that start at the same
		// time make different random choices. New combines it with the start time.
		group:        gossip.New(now, self, settings.Seeds, uint64(settings.Peers.Addr().As4()[3])),
		alive:        make(map[ident.VMID]bool),
		otherDomains: otherDomains(settings),
		partitioned:  make(map[ident.DomainName]bool),
	}
	p.probeTo = reachable(p.conn.LocalAddr().(*net.UDPAddr).AddrPort())
	p.transfer = newStateTransfer(r, pool, p.peerAhead, log)
	p.transfer.recoveries = func() map[catalog.Token]forward.Recovery { return engine.Recoveries(clk.Now()) }
	p.transfer.setRecoveries = func(list map[catalog.Token]forward.Recovery) { engine.SetRecoveries(clk.Now(), list) }
	r.askSeeds = func(ctx context.Context, complete replica.Revision) ([]replica.Item, bool) {
		return p.transfer.askRemovals(ctx, otherSeeds(settings), complete)
	}
	_, alone := p.group.JoinedAt()
	p.history = newRemovalHistory(clk, alone)
	server.Handle(methodSince, p.transfer.serve)
	return p, func() { _ = p.conn.Close() }, nil
}

// reachable returns the address at which this VM reaches its own socket that is bound
// to address, which may be a wildcard.
func reachable(address netip.AddrPort) netip.AddrPort {
	if address.Addr().IsUnspecified() {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), address.Port())
	}
	return address
}

// read receives messages until the socket is closed.
func (p *peers) read(ctx context.Context) error {
	buf := make([]byte, maxMessageBytes)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "entry: read messages from peers")
		}
		if from == p.probeTo {
			p.receiveProbe(buf[:n])
			continue
		}
		p.receive(buf[:n])
	}
}

// sendProbe sends the time to the own socket, for the estimate of the receive delay.
func (p *peers) sendProbe(now clock.Millis) {
	data, err := cbor.Marshal(now)
	if err != nil {
		p.invalid.Add(1)
		return
	}
	_, _ = p.conn.WriteToUDPAddrPort(data, p.probeTo) // a lost probe counts as overdue until the next one
}

// receiveProbe decodes a probe and updates the estimate of the receive delay.
func (p *peers) receiveProbe(data []byte) {
	var sentAt clock.Millis
	if err := document.DecodeCBOR(data, &sentAt); err != nil {
		p.invalid.Add(1)
		return
	}
	p.delay.recordProbe(sentAt)
}

// receive decodes a message or a report and applies its contents.
func (p *peers) receive(data []byte) {
	p.replicator.pauses.poll()
	// The message may have waited in the socket, most of all during a pause.
	waited := max(p.replicator.pauses.maxMessageDelay(), p.delay.estimate())
	if gossip.IsReport(data) {
		p.receiveReport(data, waited)
		return
	}
	var msg gossip.Message
	if err := gossip.DecodeMessage(data, &msg); err != nil {
		p.invalid.Add(1)
		return
	}
	msg.Age += waited
	msg.Reader.Age += waited
	local := p.replicator.localCopy()
	p.mu.Lock()
	out := p.group.Receive(p.clk.Now(), &msg, local)
	confirmed := p.group.ConfirmedAt(local.Complete)
	p.mu.Unlock()
	p.send(out)
	p.receiveSuspicions(&msg, waited)
	p.replicator.confirm(confirmed)
	p.requestHistory(&msg)
	p.receiveUpdate(&msg, local)
}

// requestHistory requests everything that the sender of a message holds, tombstones
// included, unless another VM has sent it already.
func (p *peers) requestHistory(msg *gossip.Message) {
	if !p.history.begin(msg.Started, msg.Complete) {
		return
	}
	if !p.transfer.enqueue(pullRequest{from: msg.From, done: p.history.finish}) {
		p.history.finish(false)
	}
}

// receiveUpdate applies the update that a message carries. If the message only
// announces a higher revision, it requests the changes by RPC.
func (p *peers) receiveUpdate(msg *gossip.Message, local gossip.ReplicaState) {
	if msg.Update != nil && msg.Update.After <= local.Complete && msg.Update.Complete > local.Complete {
		p.replicator.apply(*msg.Update, string(msg.From.ID))
		return
	}
	if msg.Complete > local.Complete {
		p.replicator.noteNewer(msg.Complete)
		p.transfer.enqueue(pullRequest{catchUp: true})
	}
}

// run sends gossip rounds until ctx is done.
func (p *peers) run(ctx context.Context) error {
	for ctx.Err() == nil {
		p.round(ctx)
		sleep(ctx, gossipInterval)
	}
	return nil
}

// round sends one gossip round and passes the state of the group to the engine and
// the replicator.
func (p *peers) round(ctx context.Context) {
	now := p.clk.Now()
	p.sendProbe(now)
	p.replicator.expireKept()
	p.replicator.confirmRestored()
	local := p.replicator.localCopy()
	loads := loadsToGossip(p.engine.Loads())
	p.mu.Lock()
	p.group.SetPublisherUnreachable(p.replicator.sourceUnreachable.Load())
	out := p.group.Round(now, local, loads)
	rank, sourceOutage := p.group.Rank(now), p.group.PublisherOutage(now)
	vms := p.group.VMs()
	joinedAt, joined := p.group.JoinedAt()
	alive := p.group.Alive(now)
	others := p.group.RemoteLoads(now)
	partitioned := p.partitionedDomains(now)
	domainVMs := p.group.AliveInDomain(now)
	_, behind := p.group.PeerAhead(now, local.Complete)
	loadSharingVMs := 1 // in a fleet that is too large for VMs to report loads to each other
	if p.group.SharesLoads(now) {
		loadSharingVMs = len(domainVMs)
	}
	p.mu.Unlock()
	p.send(out)
	p.replicator.setRank(rank, sourceOutage)
	p.engine.SetLocalVMCount(loadSharingVMs)
	p.engine.SetDomainVMs(domainVMs)
	if joined && now-joinedAt >= discoveryPeriod {
		p.engine.SetVMs(vms)
	}
	p.engine.SetPeerLoads(loadsFromGossip(others))
	p.exchangeSamples(now)
	p.logMembership(ctx, alive)
	p.applyPartitions(ctx, now, partitioned)
	p.updateReadiness(now)
	if behind {
		p.transfer.enqueue(pullRequest{catchUp: true})
	}
}

// peerAhead returns a VM that holds a higher revision than complete.
func (p *peers) peerAhead(complete replica.Revision) (gossip.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.PeerAhead(p.clk.Now(), complete)
}

// sendUpdate announces an update to other VMs, and includes it in the messages if
// it is small and neither begins an era nor may be the first copy of a VM. Those are fetched,
// together with what this VM keeps in force and assumes.
func (p *peers) sendUpdate(u *replica.Update) {
	if approxBytes(u) > maxInlineUpdateBytes || u.After.Era() != u.Complete.Era() || u.After == 0 {
		u = nil
	}
	local := p.replicator.localCopy()
	p.mu.Lock()
	out := p.group.DisseminateUpdate(p.clk.Now(), local, u)
	p.mu.Unlock()
	p.send(out)
}

// approxBytes returns the approximate encoded size of an update.
func approxBytes(u *replica.Update) (n int) {
	const itemBytes = 32
	for i := range u.Items {
		n += itemBytes + len(u.Items[i].Key) + len(u.Items[i].Value)
	}
	return n
}

// leave tells the other VMs that this one is stopping.
func (p *peers) leave() {
	local := p.replicator.localCopy()
	p.mu.Lock()
	p.group.Leave()
	out := p.group.Round(p.clk.Now(), local, nil)
	p.mu.Unlock()
	p.send(out)
}

// status returns the VMs that are alive.
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
		data, err := gossip.EncodeMessage(&out[i].Message)
		if err != nil {
			p.invalid.Add(1)
			continue
		}
		p.sendDatagram(data, out[i].To)
	}
}

func (p *peers) sendDatagram(data []byte, to netip.AddrPort) {
	p.bytesOut.Add(int64(len(data)))
	_, _ = p.conn.WriteToUDPAddrPort(data, to) // UDP is best effort; an unreachable VM times out in the group.
}

func loadsToGossip(sums map[catalog.Token]forward.Load) []gossip.Load {
	loads := make([]gossip.Load, 0, len(sums))
	for t, s := range sums {
		loads = append(loads, gossip.Load{Token: t, Expected: s.Expected, InFlight: s.InFlight})
	}
	return loads
}

func loadsFromGossip(loads map[catalog.Token]gossip.Load) map[catalog.Token]forward.Load {
	sums := make(map[catalog.Token]forward.Load, len(loads))
	for t, l := range loads {
		sums[t] = forward.Load{Expected: l.Expected, InFlight: l.InFlight}
	}
	return sums
}
