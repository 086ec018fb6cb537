package entry

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

var (
	returnsFirst = flag.Uint64("returns.first", 0, "first seed of TestColdAfterReturns")
	returnsSeeds = flag.Uint64("returns.seeds", 300, "number of seeds of TestColdAfterReturns")
)

const (
	// returnsTick is the step of the virtual time, and returnsLength that of a play.
	returnsTick   clock.Millis = 50
	returnsLength              = 60 * clock.Second
	// returnsHistory is how long the store keeps its history.
	returnsHistory = 20 * clock.Second
)

// coldUpstream is an upstream that publishes with each heartbeat how long it stays cold.
type coldUpstream struct {
	key       replica.Key
	domain    string
	coldUntil clock.Millis
	nextBeat  clock.Millis
	published string
}

// returnsPlay has a store, upstreams and VMs without contact to each other, in virtual time.
// A failure domain goes out of service and returns, and its upstreams become cold right before;
// VMs are killed, pause and read, and the store is away for up to 5 s.
type returnsPlay struct {
	rng       *rand.Rand
	clk       *clock.Manual
	slowStart clock.Millis
	upstreams []*coldUpstream

	changes  []replica.Item
	at       []clock.Millis // of the changes
	awayFrom clock.Millis
	awayTo   clock.Millis
	out      bool
	toggleAt clock.Millis

	vms []*returnsVM
}

// returnsVM is a VM of a play, nil replicator while it does not run.
type returnsVM struct {
	replicator *replicator
	catalog    *catalog.Catalog
	idleUntil  clock.Millis // it is paused or killed
	paused     bool
}

func newReturnsPlay(seed uint64) *returnsPlay {
	p := &returnsPlay{rng: rand.New(rand.NewPCG(seed, 1)), clk: clock.NewManual(100 * clock.Second)}
	p.slowStart = clock.Millis(500 + p.rng.IntN(29_500))
	p.toggleAt = p.now() + p.upTo(8*clock.Second)
	p.write("config", fmt.Sprint(p.slowStart))
	for i, domain := range []string{"a", "a", "a", "b"} {
		u := &coldUpstream{key: replica.Key(fmt.Sprint("up/", i)), domain: domain, nextBeat: p.now() + p.upTo(removalHeartbeat)}
		p.upstreams = append(p.upstreams, u)
		p.beat(u)
	}
	p.vms = []*returnsVM{{}, {}}
	return p
}

func (p *returnsPlay) now() clock.Millis { return p.clk.Clock().Now() }

// upTo returns a random time of at most d.
func (p *returnsPlay) upTo(d clock.Millis) clock.Millis {
	return clock.Millis(p.rng.Int64N(int64(d) + 1))
}

func (p *returnsPlay) away() bool { return p.now() >= p.awayFrom && p.now() < p.awayTo }

func (p *returnsPlay) write(key replica.Key, value string) {
	rev := replica.Revision(len(p.changes) + 1)
	p.changes = append(p.changes, replica.Item{Key: key, Value: []byte(value), Revision: rev, Created: rev, Removed: value == ""})
	p.at = append(p.at, p.now())
}

// beat publishes an upstream if its entry changed.
func (p *returnsPlay) beat(u *coldUpstream) {
	entry := fmt.Sprint(u.domain, " ", max(0, u.coldUntil-p.now()))
	if !p.away() && entry != u.published {
		u.published = entry
		p.write(u.key, entry)
	}
}

// tick advances the time and all that happens but for the VMs.
func (p *returnsPlay) tick() {
	p.clk.Advance(returnsTick)
	if p.now() >= p.awayTo && p.rng.IntN(200) == 0 {
		p.awayFrom, p.awayTo = p.now(), p.now()+p.upTo(5*clock.Second)
	}
	for _, u := range p.upstreams {
		if p.now() >= u.nextBeat {
			u.nextBeat += removalHeartbeat
			p.beat(u)
		}
	}
	if p.now() < p.toggleAt || p.away() {
		return
	}
	p.out = !p.out
	p.toggleAt = p.now() + 500 + p.upTo(8*clock.Second)
	if p.out {
		p.write("out/a", "a")
		return
	}
	for _, u := range p.upstreams {
		if u.domain == "a" && p.rng.IntN(4) > 0 {
			u.coldUntil = p.now() + p.slowStart
		}
	}
	p.write("out/a", "")
	if p.rng.IntN(2) == 0 {
		p.killAll()
	}
}

func (p *returnsPlay) killAll() {
	for _, vm := range p.vms {
		vm.replicator, vm.idleUntil = nil, p.now()+p.upTo(500)
	}
}

// source returns the source of a VM.
func (p *returnsPlay) source() Source {
	errAway := errors.New("store is away")
	since := func(after replica.Revision, prefix string) (u replica.Update, err error) {
		if p.away() {
			return u, errAway
		}
		if int(after) < len(p.at) && p.at[after] < p.now()-returnsHistory {
			return u, ErrCompacted
		}
		u = replica.Update{After: after, Complete: replica.Revision(len(p.changes))}
		for _, item := range p.changes[after:] {
			if strings.HasPrefix(string(item.Key), prefix) {
				u.Items = append(u.Items, item)
			}
		}
		return u, nil
	}
	return Source{
		Read: func(context.Context, replica.Era) (u replica.Update, err error) {
			if p.away() {
				return u, errAway
			}
			r := replica.New()
			r.Apply(0, replica.Update{Complete: replica.Revision(len(p.changes)), Items: p.changes})
			u = replica.Update{Full: true, Complete: replica.Revision(len(p.changes))}
			r.Each(func(item replica.Item, _ clock.Millis) {
				if !item.Removed {
					u.Items = append(u.Items, item)
				}
			})
			return u, nil
		},
		Watch: func(_ context.Context, after replica.Revision, _ clock.Millis) (replica.Update, error) {
			return since(after, "")
		},
		DomainChanges: func(_ context.Context, after replica.Revision) (replica.Update, error) { return since(after, "out/") },
		Reconnect:     func() {},
	}
}

func decodeReturnsItem(item replica.Item) (c catalog.Change, err error) {
	kind, _, _ := strings.Cut(string(item.Key), "/")
	switch kind {
	case "config":
		s := catalog.Service{Name: "web"}
		_, err = fmt.Sscan(string(item.Value), &s.SlowStartMillis)
		c.Config = &catalog.Config{Version: 1, Services: []catalog.Service{s}}
	case "up":
		u := &catalog.Upstream{ID: catalog.UpstreamID(item.Key), Service: "web"}
		_, err = fmt.Sscan(string(item.Value), &u.Domain, &u.RemainingColdMillis)
		c.Upstream = u
	case "out":
		c.DomainOut = "a"
	}
	return c, err
}

// step lets a VM do what it does at this time.
func (p *returnsPlay) step(vm *returnsVM) {
	if p.now() < vm.idleUntil {
		return
	}
	ctx := context.Background()
	if vm.replicator == nil {
		clk := p.clk.Clock()
		a := &Adapter{Source: p.source(), Decode: decodeReturnsItem}
		vm.catalog = nil
		vm.replicator = newReplicator(a, clk, newPauseDetector(clk, time.Now), slog.New(slog.DiscardHandler), removalHeartbeat, func(c *catalog.Catalog) { vm.catalog = c })
	}
	r := vm.replicator
	switch {
	case r.localCopy().Complete == 0, vm.paused, p.rng.IntN(100) == 0:
		if r.read(ctx, vm.paused) == nil {
			vm.paused = false
		}
	case r.watch(ctx, checkWait) != nil:
		_ = r.read(ctx, false)
	}
	r.confirmRestored()
	r.prune()
	r.buildNow()
	switch p.rng.IntN(300) {
	case 0:
		vm.idleUntil, vm.paused = p.now()+p.upTo(6*clock.Second), true
	case 1:
		vm.replicator, vm.idleUntil = nil, p.now()+p.upTo(500)
	}
}

// check returns an error if the VM takes a cold upstream for warm.
func (p *returnsPlay) check(vm *returnsVM) error {
	if vm.replicator == nil || vm.catalog == nil || vm.paused || p.now() < vm.idleUntil {
		return nil
	}
	for _, e := range vm.catalog.Serving("web") {
		for _, u := range p.upstreams {
			if e.ID != catalog.UpstreamID(u.key) || u.coldUntil <= p.now() || e.DomainOut || e.ColdUntil > p.now() {
				continue
			}
			return fmt.Errorf("%s is cold until %d, the VM that started at %d believes until %d, at %d", u.key, u.coldUntil, vm.replicator.started, e.ColdUntil, p.now())
		}
	}
	return nil
}

// TestColdAfterReturns guards against a VM that takes a cold upstream of a failure domain that
// returned to service for warm, whenever the VM was killed, paused or cut off from the store. It
// fails without the search of the history, and without the changes before a later read.
func TestColdAfterReturns(t *testing.T) {
	for seed := *returnsFirst; seed < *returnsFirst+*returnsSeeds; seed++ {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			p := newReturnsPlay(seed)
			for end := p.now() + returnsLength; p.now() < end; {
				p.tick()
				for i, vm := range p.vms {
					p.step(vm)
					assert.NilError(t, p.check(vm), "VM %d", i)
				}
			}
		})
	}
}
