package catalog

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// back returns an item as the publisher has it in an era.
func back(era replica.Era, i replica.Item) replica.Item {
	i.Revision = replica.RevisionOf(era, i.Revision.Number())
	return i
}

// describe returns the configuration version, whether each upstream accepts new flows and
// for how long it is cold, and the failure domains that are out of service.
func describe(b *Builder, now clock.Millis) string {
	c := b.Build(99)
	text := fmt.Sprint("v", c.Config.Version)
	for _, e := range c.Serving("web") {
		text += fmt.Sprintf(" %s:%t:%d", e.ID, e.AcceptsNewFlows(now), max(0, e.ColdUntil-now))
	}
	return text + fmt.Sprint(" out", c.DomainsOut())
}

// TestRollback guards against a stale entry that takes effect again after the publisher
// came back from an older copy, and against one that stays without effect for too long.
func TestRollback(t *testing.T) {
	ready, older, left := item(3, "u", "web a seq=5"), back(1, item(2, "u", "web a seq=4")), removedItem(5, "u", "web a seq=5")
	draining, outA := item(4, "u", "web a seq=5 draining"), item(4, "out/a", "")
	for _, test := range []struct {
		name                 string
		before, after, later []replica.Item
		at                   clock.Millis
		want                 string
	}{
		{"removed", []replica.Item{ready, left}, []replica.Item{older}, nil, 1999, "v2 u:false:0 out[]"},
		{"removed, but published for long", []replica.Item{ready, left}, []replica.Item{older}, nil, 2000, "v2 u:true:0 out[]"},
		{"removed, then written again", []replica.Item{ready, left}, []replica.Item{older}, []replica.Item{back(1, item(3, "u", "web a seq=6"))}, 0, "v2 u:true:0 out[]"},
		{"removed, then its entry expires", []replica.Item{ready, left}, []replica.Item{older}, []replica.Item{back(1, removedItem(6, "u", ""))}, 9000, "v2 u:false:0 out[]"},
		{"draining", []replica.Item{draining}, []replica.Item{older}, nil, 90_000, "v2 u:false:0 out[]"},
		{"missing", []replica.Item{ready}, []replica.Item{back(1, removedItem(2, "u", "web a seq=5"))}, nil, 1999, "v2 u:true:0 out[]"},
		{"missing for long", []replica.Item{ready}, []replica.Item{back(1, removedItem(2, "u", "web a seq=5"))}, nil, 2000, "v2 u:false:0 out[]"},
		{"slow start does not begin again", []replica.Item{item(2, "u", "web a cold=900 seq=1"), ready}, []replica.Item{back(1, item(2, "u", "web a cold=900 seq=1"))}, nil, 0, "v2 u:true:0 out[]"},
		{"older configuration", []replica.Item{item(6, "config", "7")}, []replica.Item{back(1, item(3, "config", "3"))}, nil, 90_000, "v7 out[]"},
		{"missing domain out", []replica.Item{outA}, []replica.Item{back(1, removedItem(3, "out/a", ""))}, nil, 2999, "v2 out[a]"},
		{"domain out missing for long", []replica.Item{outA, ready}, []replica.Item{back(1, removedItem(3, "out/a", ""))}, nil, 3000, "v2 u:true:1000 out[]"},
		{"domain in", []replica.Item{outA, removedItem(5, "out/a", "")}, []replica.Item{back(1, outA)}, nil, 2999, "v2 out[]"},
		{"domain in, but out for long", []replica.Item{outA, removedItem(5, "out/a", "")}, []replica.Item{back(1, outA)}, nil, 3000, "v2 out[a]"},
		{"domain in, then removed again", []replica.Item{outA, removedItem(5, "out/a", ""), ready}, []replica.Item{back(1, outA)}, []replica.Item{back(1, removedItem(6, "out/a", ""))}, 9000, "v2 u:true:0 out[]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBuilder(decodeWords, func(replica.Item, error) {}, 1000)
			b.SetHeartbeat(500)
			b.Apply(0, append([]replica.Item{item(1, "config", "2")}, test.before...), false)
			b.ApplyRollback(10_000, test.after)
			b.Apply(10_100, test.later, false)
			b.Expire(10_000 + test.at)
			assert.Equal(t, describe(b, 10_000+test.at), test.want)
		})
	}
}

// TestSecondRollback guards against a time limit that runs on from an earlier rollback, so
// that an evacuation or an upstream is lost before it can be written again.
func TestSecondRollback(t *testing.T) {
	b := NewBuilder(decodeWords, func(replica.Item, error) {}, 1000)
	b.Apply(0, []replica.Item{item(1, "config", "2"), item(2, "u", "web a"), item(3, "out/b", "")}, false)
	b.ApplyRollback(10_000, []replica.Item{back(1, removedItem(1, "u", "")), back(1, removedItem(1, "out/b", ""))})
	b.ApplyRollback(11_500, nil) // both are still missing
	b.Expire(13_499)
	assert.Equal(t, describe(b, 13_499), "v2 u:true:0 out[b]")
	b.Expire(14_500)
	assert.Equal(t, describe(b, 14_500), "v2 u:false:0 out[]")
}

// model is a publisher that goes back to earlier copies, with the last write of each key.
type model struct {
	era    replica.Era
	copies []map[replica.Key]replica.Item // by number
	wanted map[replica.Key]replica.Item
}

func (m *model) write(key, value string) {
	next := maps.Clone(m.copies[len(m.copies)-1])
	i := item(replica.Revision(len(m.copies)), key, value)
	if i.Removed = value == ""; i.Removed {
		delete(next, i.Key)
	} else {
		next[i.Key] = i
	}
	m.wanted[i.Key], m.copies = back(m.era, i), append(m.copies, next)
}

func (m *model) read() replica.Update {
	u := replica.Update{Full: true, Complete: replica.RevisionOf(m.era, uint64(len(m.copies)-1))}
	for _, i := range m.copies[len(m.copies)-1] {
		u.Items = append(u.Items, back(m.era, i))
	}
	return u
}

// modelVM is a VM with the last writes that it has seen.
type modelVM struct {
	copy *replica.Replica
	b    *Builder
	seen map[replica.Key]replica.Item
}

// check fails if a last write that the VM saw is no longer in force. A ready upstream need
// not be open.
func (v *modelVM) check(t *rapid.T, m *model, now clock.Millis) {
	for key, i := range m.wanted {
		e, inForce := v.b.upstreams[key], true
		switch {
		case key == "config":
			inForce = string(i.Value) <= fmt.Sprint(v.b.config.Version)
		case key == "out/a":
			inForce = len(v.b.domainsOut) == 0 == i.Removed
		case i.Removed || strings.Contains(string(i.Value), "draining"):
			inForce = e == nil || e.Draining || e.Removed && e.GraceUntil <= now
		}
		assert.Assert(t, inForce || v.seen[key].Revision != i.Revision, "%s %s", key, i.Revision)
		if known := v.b.known[key]; known.settled && known.item.Revision == i.Revision && inForce {
			v.seen[key] = i
		}
	}
}

// TestRollbacksUndoNothing lets the publisher go back again and again while VMs read, pull
// from each other and start. It guards against a VM on which a configuration, a removal, a
// drain or an evacuation that it saw is undone, and against VMs that differ in the end.
func TestRollbacksUndoNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{copies: []map[replica.Key]replica.Item{{}}, wanted: make(map[replica.Key]replica.Item)}
		m.write("config", "1000")
		m.write("u", "web a seq=1")
		vms := make([]*modelVM, 3)
		for n := range vms {
			vms[n] = &modelVM{replica.New(), NewBuilder(decodeWords, func(replica.Item, error) {}, 0), map[replica.Key]replica.Item{}}
			vms[n].b.Merge(0, vms[n].copy, m.read(), nil, false)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			v, from := vms[rapid.IntRange(0, 2).Draw(t, "to")], vms[rapid.IntRange(0, 2).Draw(t, "from")]
			switch step := rapid.SampledFrom([]string{"configure", "web a seq=2 draining", "", "{}", "in", "back", "read", "pull", "start"}).Draw(t, "step"); step {
			case "back":
				m.era++
				m.copies = m.copies[:rapid.IntRange(max(3, len(m.copies)-8), len(m.copies)).Draw(t, "copies")]
			case "start":
				old := *from
				*v = modelVM{replica.New(), NewBuilder(decodeWords, func(replica.Item, error) {}, 0), map[replica.Key]replica.Item{"config": old.seen["config"]}}
				v.b.Merge(0, v.copy, m.read(), nil, false)
				v.b.Merge(0, v.copy, old.copy.Since(0), old.b.Kept(0), false)
			case "read":
				v.b.Merge(0, v.copy, m.read(), nil, false)
			case "pull":
				if from.copy.Complete() > v.copy.Complete() {
					v.b.Merge(0, v.copy, from.copy.Since(v.copy.Complete()), from.b.Kept(0), false)
				}
			case "configure":
				m.write("config", fmt.Sprint(1000+len(m.copies)+100*int(m.era)))
			case "{}", "in":
				m.write("out/a", strings.TrimPrefix(step, "in"))
			default:
				if !m.wanted["u"].Removed { // it never returns
					m.write("u", step)
				}
			}
			v.check(t, m, 0)
		}
		for key, i := range m.wanted {
			m.write(string(key), string(i.Value))
		}
		for _, v := range vms {
			v.b.Merge(0, v.copy, m.read(), nil, false)
			v.b.Expire(90_000)
			v.seen = m.wanted
			v.check(t, m, 90_000)
		}
	})
}
