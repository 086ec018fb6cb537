package catalog

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// decodeWords decodes values such as "web zone-a cold=500 draining".
func decodeWords(item replica.Item) (c Change, err error) {
	key, words := string(item.Key), strings.Fields(string(item.Value))
	switch {
	case strings.HasPrefix(key, "out/"):
		c.DomainOut = ident.DomainName(strings.TrimPrefix(key, "out/"))
	case key == "config":
		var v uint64
		if _, err = fmt.Sscan(words[0], &v); err != nil {
			return c, err
		}
		c.Config = &Config{Version: ident.Version(v), Services: []Service{{Name: "web"}}}
	case len(words) < 2:
		return c, errors.New("too few words")
	default:
		u := &Upstream{
			ID: UpstreamID(key), Service: ident.ServiceName(words[0]), Domain: ident.DomainName(words[1]), Slots: 1,
			Address: netip.MustParseAddrPort("127.0.0.1:80"),
		}
		for _, w := range words[2:] {
			u.Draining = u.Draining || w == "draining"
			_, _ = fmt.Sscanf(w, "cold=%d", &u.RemainingColdMillis)
			_, _ = fmt.Sscanf(w, "born=%d", &u.StartedAt)
			_, _ = fmt.Sscanf(w, "seq=%d", &u.Sequence)
			_, _ = fmt.Sscanf(w, "encap=%d", &u.EncapID)
		}
		c.Upstream = u
	}
	return c, err
}

func item(rev replica.Revision, key, value string) replica.Item {
	return replica.Item{Key: replica.Key(key), Value: []byte(value), Revision: rev, Created: rev}
}

func removedItem(rev replica.Revision, key, value string) replica.Item {
	i := item(rev, key, value)
	i.Removed = true
	return i
}

func build(t *testing.T, now clock.Millis, items ...replica.Item) *Catalog {
	t.Helper()
	b := NewBuilder(decodeWords, func(replica.Item, error) {}, 1000)
	b.Apply(now, items, false)
	c := b.Build(99)
	assert.Assert(t, c != nil)
	return c
}

func TestBuild(t *testing.T) {
	tests := []struct {
		name     string
		items    []replica.Item
		takesNew bool
		known    bool // open flows are forwarded
		cold     clock.Millis
	}{
		{"ready", []replica.Item{item(2, "u", "web a")}, true, true, 0},
		{"draining", []replica.Item{item(2, "u", "web a draining")}, false, true, 0},
		{"cold", []replica.Item{item(2, "u", "web a cold=500")}, true, true, 1500},
		{"warmed up", []replica.Item{item(2, "u", "web a cold=500"), item(3, "u", "web a")}, true, true, 0},
		{"removed", []replica.Item{item(2, "u", "web a"), removedItem(3, "u", "")}, false, true, 0},
		{"removed before this VM learned of it", []replica.Item{removedItem(3, "u", "web a")}, false, true, 0},
		{"became malformed", []replica.Item{item(2, "u", "web a"), item(3, "u", "?")}, false, true, 0},
		{"always malformed", []replica.Item{item(2, "u", "?")}, false, false, 0},
		{"its domain out", []replica.Item{item(2, "u", "web a"), item(3, "out/a", "")}, false, true, 0},
		{"another domain out", []replica.Item{item(2, "u", "web a"), item(3, "out/b", "")}, true, true, 0},
		{"its domain back", []replica.Item{item(2, "u", "web a"), item(3, "out/a", ""), removedItem(4, "out/a", "")}, true, true, 2000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := build(t, 1000, append([]replica.Item{item(1, "config", "1")}, test.items...)...)
			list := c.Serving("web")
			assert.Equal(t, len(list) == 1, test.known)
			if !test.known {
				return
			}
			assert.Equal(t, list[0].AcceptsNewFlows(1000), test.takesNew)
			assert.Equal(t, list[0].ClosedReason(1000) == NotClosed, test.takesNew)
			assert.Equal(t, list[0].ColdUntil, test.cold)
			e, ok := c.ByToken(list[0].Token)
			assert.Assert(t, ok && e == list[0])
		})
	}
}

// TestReturnLearnedAfterTheStart learns only by a tombstone of another VM that a failure
// domain has returned to service. Its upstreams must count as cold for the rest of the
// time, as they do on VMs that saw the return.
func TestReturnLearnedAfterTheStart(t *testing.T) {
	for _, test := range []struct {
		age, coldUntil clock.Millis
	}{{0, 6000}, {300, 5700}, {1500, 4500}} {
		b := NewBuilder(decodeWords, func(replica.Item, error) {}, 1000)
		b.Apply(4000, []replica.Item{item(1, "config", "1"), item(2, "u", "web a"), item(3, "v", "web b")}, false)
		tombstone := removedItem(5, "out/a", "{}")
		tombstone.Age = test.age
		b.Apply(5000, []replica.Item{tombstone}, false)
		list := b.Build(5).Serving("web")
		assert.Equal(t, list[0].ColdUntil, test.coldUntil)
		assert.Equal(t, list[1].ColdUntil, clock.Millis(0))
	}
}

// TestRestoredDomainWithoutTheStore guards against cold upstreams of a failure domain that
// returned to service which count as warm after two heartbeats, although the publisher
// did not answer and they could not publish that they are cold.
func TestRestoredDomainWithoutTheStore(t *testing.T) {
	const returnCold, slowStart = 2000, 10_000
	tests := []struct {
		name string
		// outage is the time for which the publisher is silent after the VM learned of the
		// return, lag the age of the copy while it is not, and age that of the tombstone.
		outage, lag, age clock.Millis
		cold             clock.Millis // time for which the upstream counts as cold
	}{
		{"publisher answers", 0, 0, 0, returnCold},
		{"copy lags", 0, 900, 0, returnCold},
		{"silence shorter than a heartbeat", 800, 0, 0, returnCold},
		{"silence of 5 s", 5000, 0, 0, 5000 + returnCold},
		{"silence of 5 s, and a VM that starts in it", 5000, 0, 2000, 5000 + returnCold},
		{"silence until the slow start is over", 20_000, 0, 0, slowStart},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBuilder(decodeWords, func(replica.Item, error) {}, returnCold)
			b.Apply(4000, []replica.Item{item(1, "config", "1"), item(2, "u", "web a"), item(3, "v", "web b")}, false)
			b.config.Services = []Service{{Name: "web", SlowStartMillis: slowStart}}
			tombstone := removedItem(5, "out/a", "{}")
			tombstone.Age = test.age
			b.Apply(5000, []replica.Item{tombstone}, false)
			warm := clock.Millis(0)
			for now := clock.Millis(5000); now < 40_000; now += 50 {
				confirmed := now - test.lag
				if now-5000 < test.outage {
					confirmed = 5000 - test.age
				}
				b.ConfirmRestored(now, confirmed)
				list := b.Build(5).Serving("web")
				assert.Equal(t, list[1].ColdUntil, clock.Millis(0))
				if now >= list[0].ColdUntil && warm == 0 {
					warm = now
				}
				assert.Assert(t, warm == 0 || now >= list[0].ColdUntil, "warm at %d, cold again at %d", warm, now)
			}
			assert.Equal(t, warm-5000, test.cold)
		})
	}
}

// TestNoGraceForUpstreamsNeverPublished learns of an upstream only by its removal, from
// the copy of another VM, after the publisher was away. Open flows to it are forwarded,
// but it must get no new ones.
func TestNoGraceForUpstreamsNeverPublished(t *testing.T) {
	b := NewBuilder(decodeWords, func(replica.Item, error) {}, 0)
	b.Apply(0, []replica.Item{item(1, "config", "1")}, false)
	b.Apply(5000, []replica.Item{removedItem(4, "u", "web a")}, true)
	list := b.Build(4).Serving("web")
	assert.Equal(t, len(list), 1)
	assert.Assert(t, !list[0].AcceptsNewFlows(5000))
}

// TestRenewalGrace removes upstreams after the publisher was away. One that was ready
// must accept new flows until it has had time to renew its registration; one
// that was draining must not.
func TestRenewalGrace(t *testing.T) {
	b := NewBuilder(decodeWords, func(replica.Item, error) {}, 0)
	b.Apply(0, []replica.Item{item(1, "config", "1"), item(2, "u", "web a"), item(3, "v", "web a draining")}, false)
	b.Apply(5000, []replica.Item{removedItem(4, "u", ""), removedItem(4, "v", "")}, true)
	list := b.Build(4).Serving("web")
	assert.Assert(t, list[0].AcceptsNewFlows(5000) && list[0].AcceptsNewFlows(6999) && !list[0].AcceptsNewFlows(7000))
	assert.Assert(t, !list[1].AcceptsNewFlows(5000))
	b.Apply(6000, []replica.Item{item(5, "u", "web a")}, false)
	assert.Assert(t, b.Build(5).Serving("web")[0].AcceptsNewFlows(9000))
}

func TestConfigNeverGoesBack(t *testing.T) {
	c := build(t, 0, item(5, "config", "7"), item(6, "config", "3"))
	assert.Equal(t, c.Config.Version, ident.Version(7))
}

func TestUnreadableItemsAreReported(t *testing.T) {
	var rejected []string
	b := NewBuilder(decodeWords, func(i replica.Item, err error) { rejected = append(rejected, fmt.Sprint(i.Key, ": ", err)) }, 0)
	b.Apply(0, []replica.Item{item(1, "config", "1"), item(2, "u", "?")}, false)
	assert.DeepEqual(t, rejected, []string{"u: too few words"})
	assert.Assert(t, b.Build(2) != nil)
}

// TestTokensAgree assigns tokens to the same upstreams, listed in a different
// order, on two VMs. Both must get the same unique tokens.
func TestTokensAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "upstreams")
		entries := make([]*Entry, n)
		for i := range entries {
			entries[i] = &Entry{
				Upstream: Upstream{ID: UpstreamID(fmt.Sprint("u", i)), StartedAt: clock.Millis(rapid.IntRange(0, 3).Draw(t, "started"))},
				Created:  replica.Revision(rapid.IntRange(1, 5).Draw(t, "created")),
			}
		}
		shuffled := rapid.Permutation(entries).Draw(t, "order")
		copies := make([]*Entry, n)
		for i, e := range shuffled {
			other := *e
			copies[i] = &other
		}
		a, b := &Catalog{tokens: map[Token]*Entry{}}, &Catalog{tokens: map[Token]*Entry{}}
		a.assignTokens(entries)
		b.assignTokens(copies)
		byToken := make(map[Token]UpstreamID)
		for _, e := range entries {
			if e.Token == 0 {
				continue
			}
			assert.Equal(t, byToken[e.Token], UpstreamID(""))
			byToken[e.Token] = e.ID
			assert.Equal(t, b.tokens[e.Token].ID, e.ID)
		}
	})
}

// TestCollidingTokens gives two upstreams the same first token.
func TestCollidingTokens(t *testing.T) {
	first, second := &Entry{Upstream: Upstream{ID: "a"}, Created: 1}, &Entry{Upstream: Upstream{ID: "b"}, Created: 2}
	c := &Catalog{tokens: map[Token]*Entry{tokensOf("b")[0]: first}}
	c.assignTokens([]*Entry{second, first})
	assert.Equal(t, second.Token, tokensOf("b")[1])
	assert.Equal(t, c.tokens[tokensOf("b")[0]], first)
}

// TestTokenOwnerAfterAnOutage guards against a token that changes its owner because the
// entries of two upstreams expired and came back in another order. Open flows of the
// first owner would go to the other upstream.
func TestTokenOwnerAfterAnOutage(t *testing.T) {
	const older, newer = "i-865a44b86c", "i-3269df2fbd"
	shared := tokensOf(older)[0]
	assert.Equal(t, shared, tokensOf(newer)[0])
	registered := func(rev replica.Revision, id, started string) replica.Item {
		return item(rev, id, "web a born="+started)
	}
	known := NewBuilder(decodeWords, func(replica.Item, error) {}, 0)
	known.Apply(1000, []replica.Item{item(1, "config", "1"), registered(2, older, "100"), registered(3, newer, "200")}, false)
	known.Apply(5000, []replica.Item{removedItem(4, older, ""), removedItem(5, newer, "")}, true)
	started := NewBuilder(decodeWords, func(replica.Item, error) {}, 0) // on a VM that starts after the outage
	started.Apply(5000, []replica.Item{item(1, "config", "1")}, false)
	for name, b := range map[string]*Builder{"known": known, "started": started} {
		b.Apply(5100, []replica.Item{registered(6, newer, "200")}, false)
		b.Apply(5900, []replica.Item{registered(7, older, "100")}, false)
		c := b.Build(7)
		owner, ok := c.ByToken(shared)
		assert.Assert(t, ok)
		assert.Equal(t, string(owner.ID), older, name)
		assert.Assert(t, c.Serving("web")[0].Token != c.Serving("web")[1].Token)
	}
}

func BenchmarkBuild(b *testing.B) {
	builder := NewBuilder(decodeWords, func(replica.Item, error) {}, 0)
	builder.Apply(0, []replica.Item{item(1, "config", "1")}, false)
	for i := range 3300 {
		builder.Apply(0, []replica.Item{item(replica.Revision(2+i), fmt.Sprint("u", i), "web a")}, false)
	}
	for b.Loop() {
		builder.Build(9999)
	}
}
