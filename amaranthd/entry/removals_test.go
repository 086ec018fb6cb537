package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/rpc"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// removalHeartbeat is the heartbeat of the VMs in the tests of removals.
const removalHeartbeat clock.Millis = 1000

// historySource is a source of a configuration, an upstream in each of the failure domains a
// and b, and entries that take these out of service. Its history goes back to compacted.
type historySource struct {
	fakeSource
	changes   []replica.Item
	compacted replica.Revision
	// failures is the number of calls for domain changes that still fail.
	failures int
}

func newHistorySource() *historySource {
	s := &historySource{}
	s.put("config", false)
	s.put("up/a", false)
	s.put("up/b", false)
	s.read = func() (replica.Update, error) {
		last := make(map[replica.Key]replica.Item)
		for _, item := range s.changes {
			last[item.Key] = item
		}
		u := replica.Update{Full: true, Complete: s.revision()}
		for _, item := range last {
			if !item.Removed {
				u.Items = append(u.Items, item)
			}
		}
		return u, nil
	}
	s.watch = func(_ context.Context, after replica.Revision) (replica.Update, error) { return s.since(after, "") }
	s.domainChanges = func(after replica.Revision) (replica.Update, error) {
		if s.failures > 0 {
			s.failures--
			return replica.Update{}, errors.New("no answer")
		}
		return s.since(after, "out/")
	}
	return s
}

func (s *historySource) revision() replica.Revision { return replica.Revision(len(s.changes)) }

// put writes an item or removes it.
func (s *historySource) put(key replica.Key, removed bool) {
	item := replica.Item{Key: key, Revision: s.revision() + 1, Created: s.revision() + 1, Removed: removed}
	if !removed {
		item.Value = []byte(key)
	}
	s.changes = append(s.changes, item)
}

// takeOut takes failure domain a out of service and back.
func (s *historySource) takeOut() {
	s.put("out/a", false)
	s.put("out/a", true)
}

func (s *historySource) since(after replica.Revision, prefix string) (u replica.Update, err error) {
	if after < s.compacted {
		return u, ErrCompacted
	}
	u = replica.Update{After: after, Complete: s.revision()}
	for _, item := range s.changes[after:] {
		if strings.HasPrefix(string(item.Key), prefix) {
			u.Items = append(u.Items, item)
		}
	}
	return u, nil
}

// removalVM is a VM that reads a historySource. Its clock stands still.
type removalVM struct {
	*replicator
	catalog *catalog.Catalog
	log     bytes.Buffer
}

func newRemovalVM(s *historySource) *removalVM {
	vm := &removalVM{}
	a := &Adapter{Source: s.source(), Decode: func(item replica.Item) (c catalog.Change, err error) {
		kind, name, _ := strings.Cut(string(item.Key), "/")
		switch kind {
		case "config":
			c.Config = &catalog.Config{Version: 1, Services: []catalog.Service{{Name: "web", SlowStartMillis: 60 * clock.Second}}}
		case "up":
			c.Upstream = &catalog.Upstream{ID: catalog.UpstreamID(name), Service: "web"}
			c.Upstream.Domain = "a"
			if name == "b" {
				c.Upstream.Domain = "b"
			}
		case "out":
			c.DomainOut = "a"
		}
		return c, nil
	}}
	clk := clock.NewManual(100 * clock.Second).Clock()
	vm.replicator = newReplicator(a, clk, newPauseDetector(clk, time.Now), slog.New(slog.NewTextHandler(&vm.log, nil)), removalHeartbeat, func(c *catalog.Catalog) { vm.catalog = c })
	return vm
}

// cold returns the names of the upstreams that count as cold.
func (vm *removalVM) cold() (names string) {
	vm.buildNow()
	for _, e := range vm.catalog.Serving("web") {
		if e.ColdUntil > vm.clk.Now() {
			names += string(e.ID)
		}
	}
	return names
}

// TestFirstReadLearnsReturns guards against upstreams that count as warm on a VM that starts
// after their failure domain returned to service, with no older VM that could tell: they may be
// cold, and their entries are older than that.
func TestFirstReadLearnsReturns(t *testing.T) {
	tests := []struct {
		name     string
		change   func(s *historySource)
		cold     string
		returned string // the log tells so many returns
		out      bool
	}{
		{"calm", func(*historySource) {}, "", "removals=0", false},
		{"calm, with an old history", func(s *historySource) { s.put("config", false) }, "", "removals=0", false},
		{"calm, without history", func(s *historySource) { s.put("up/b", false); s.compacted = 4 }, "", "removals=0", false},
		{"returned", func(s *historySource) { s.takeOut() }, "a", "removals=1", false},
		{"returned, and other changes since", func(s *historySource) { s.takeOut(); s.put("config", false); s.put("up/b", false) }, "a", "removals=1", false},
		{"only the return is in the history", func(s *historySource) { s.takeOut(); s.compacted = 4 }, "a", "removals=1", false},
		{"the history is lost", func(s *historySource) { s.takeOut(); s.compacted = 5 }, "", "removals=0", false},
		{"out", func(s *historySource) { s.put("out/a", false) }, "", "removals=0", true},
		{"out again", func(s *historySource) { s.takeOut(); s.put("out/a", false) }, "", "removals=0", true},
		{"returned twice", func(s *historySource) { s.takeOut(); s.takeOut() }, "a", "removals=1", false},
		{"one answer is lost", func(s *historySource) { s.takeOut(); s.failures = 1 }, "a", "removals=1", false},
		{"no answers, no change is missing", func(s *historySource) { s.failures = 9 }, "", "removals=0", false},
		{"no answers", func(s *historySource) { s.put("up/b", false); s.failures = 9 }, "ab", "removalsUnknown", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newHistorySource()
			test.change(s)
			vm := newRemovalVM(s)
			assert.NilError(t, vm.read(t.Context(), true))
			assert.Equal(t, vm.cold(), test.cold)
			assert.Equal(t, len(vm.catalog.DomainsOut()) > 0, test.out)
			assert.Assert(t, strings.Contains(vm.log.String(), test.returned), "%s", vm.log.String())
		})
	}
}

// TestLaterReadLearnsReturns guards against the same on a VM that has a copy, but missed that
// a failure domain went out of service and returned: it was paused, the source did not answer
// it, or the source has compacted those changes.
func TestLaterReadLearnsReturns(t *testing.T) {
	for _, requested := range []bool{false, true} {
		for _, compacted := range []replica.Revision{0, 4} {
			s := newHistorySource()
			vm := newRemovalVM(s)
			assert.NilError(t, vm.read(t.Context(), requested))
			s.takeOut()
			s.put("config", false)
			s.compacted = compacted
			assert.NilError(t, vm.read(t.Context(), requested))
			assert.Equal(t, vm.cold(), "a", "requested: %t, compacted: %d", requested, compacted)
		}
	}
}

// TestOlderVMHasAStaleCopy guards against a VM that gets the copy of an older one and a newer
// read of the source, and misses what returned in between.
func TestOlderVMHasAStaleCopy(t *testing.T) {
	for _, stale := range []bool{false, true} {
		s := newHistorySource()
		s.failures = 9
		older, err := s.read()
		assert.NilError(t, err)
		if stale {
			s.takeOut()
		}
		vm := newRemovalVM(s)
		vm.awaitHistory = func(context.Context) bool {
			vm.apply(older, "older")
			return true
		}
		assert.NilError(t, vm.read(t.Context(), true))
		assert.Equal(t, vm.cold() == "a", stale)
		assert.Assert(t, !strings.Contains(vm.log.String(), "removalsUnknown"))
	}
}

// TestAssumedReturnsAreTold guards against a VM that gets its first copy from one that does
// not know which failure domains returned, and takes all upstreams for warm.
func TestAssumedReturnsAreTold(t *testing.T) {
	s := newHistorySource()
	s.put("up/b", false)
	s.failures = 9
	young, older, starting := newRemovalVM(s), newRemovalVM(newHistorySource()), newRemovalVM(s)
	assert.NilError(t, young.read(t.Context(), true))
	assert.NilError(t, older.read(t.Context(), true))

	server, address, pool := startPeer(t)
	transfer := newStateTransfer(starting.replicator, pool, nil, starting.replicator.log)
	pullFrom := func(vm *removalVM) {
		server.Handle(methodSince, newStateTransfer(vm.replicator, nil, nil, vm.replicator.log).serve)
		transfer.process(t.Context(), pullRequest{from: gossip.Peer{Address: address}, done: func(ok bool) { assert.Assert(t, ok) }})
	}
	pullFrom(young)
	assert.Equal(t, starting.cold(), "ab")
	pullFrom(older)
	assert.Equal(t, starting.cold(), "", "the older VM knows of no return")
}

// startPeer serves calls at an address, for which it returns a pool.
func startPeer(t *testing.T) (server *rpc.Server, address netip.AddrPort, pool *rpc.Pool) {
	t.Helper()
	server, address = rpc.NewServer(), netip.MustParseAddrPort("127.99.99.1:18199")
	stop, err := server.Serve(t.Context(), address)
	assert.NilError(t, err)
	t.Cleanup(stop)
	pool, closePool := rpc.NewPool(netip.Addr{}, callTimeout)
	t.Cleanup(closePool)
	return server, address, pool
}

// TestLargeFleetAsksSeeds guards against a large fleet whose VMs all search the history of the
// source when they start together, and against answers of seeds that know less than they.
func TestLargeFleetAsksSeeds(t *testing.T) {
	tests := []struct {
		name  string
		seed  func(s *historySource, vm *removalVM) // what the seed does before the VM starts
		calls int64                                 // of the VM to the source: 1 read, and 4 if it searches itself
	}{
		{"knows", func(_ *historySource, vm *removalVM) { assert.NilError(t, vm.read(t.Context(), true)) }, 1},
		{"has no copy", func(*historySource, *removalVM) {}, 5},
		{"has an older copy", func(s *historySource, vm *removalVM) {
			assert.NilError(t, vm.read(t.Context(), true))
			s.put("config", false)
		}, 5},
		{"knows only later", func(_ *historySource, vm *removalVM) {
			time.AfterFunc(askTimeout.Duration()/3, func() { _ = vm.read(context.Background(), true) })
		}, 1},
		{"knows no returns", func(s *historySource, vm *removalVM) {
			s.failures = removalAttempts
			assert.NilError(t, vm.read(t.Context(), true))
		}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newHistorySource()
			for i := range smallFleetItems {
				s.put(replica.Key(fmt.Sprint("up/", i)), false)
			}
			s.takeOut()
			seed, vm := newRemovalVM(s), newRemovalVM(s)
			server, address, pool := startPeer(t)
			server.Handle(methodSince, newStateTransfer(seed.replicator, nil, nil, seed.replicator.log).serve)
			transfer := newStateTransfer(vm.replicator, pool, nil, vm.replicator.log)
			vm.askSeeds = func(ctx context.Context, complete replica.Revision) ([]replica.Item, bool) {
				return transfer.askRemovals(ctx, []netip.AddrPort{address}, complete)
			}
			test.seed(s, seed)
			assert.NilError(t, vm.read(t.Context(), true))
			cold := vm.cold()
			assert.Assert(t, strings.Contains(cold, "a") && !strings.Contains(cold, "b"), "%s", cold)
			assert.Equal(t, vm.calls.Load(), test.calls)
		})
	}
}

// TestOtherSeeds checks that a seed asks none.
func TestOtherSeeds(t *testing.T) {
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	assert.Equal(t, len(otherSeeds(&Settings{Peers: a, Seeds: []netip.AddrPort{a, b}})), 0)
	assert.Equal(t, len(otherSeeds(&Settings{Peers: a, Seeds: []netip.AddrPort{b}})), 1)
}
