package claim

import (
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// State is what a witness knows of a key.
type State uint8

// States of a key.
const (
	// Claimed means that an attempt may be running.
	Claimed State = iota + 1
	// Ran means that an attempt ran.
	Ran
	// Closed means that no attempt ran and none may.
	Closed
)

// Record is a witness's memory of a key.
type Record struct {
	Key       Key           `json:"key"`
	VNI       config.VNI    `json:"vni"`
	Attempt   AttemptID     `json:"attempt"`
	Gateway   config.VMID   `json:"gateway"`
	Digest    config.Digest `json:"digest,omitempty"`
	State     State         `json:"state"`
	UpdatedAt clock.Millis  `json:"at"`
}

// Verdict is a witness's answer.
type Verdict uint8

// Verdicts on a claim.
const (
	// Granted means that the key belongs to the attempt.
	Granted Verdict = iota + 1
	// Held means that the key belongs to another attempt; the record tells
	// which.
	Held
	// Abstained means that the witness cannot know whether the key was used.
	Abstained
	// Mismatch means that the key was used with another body.
	Mismatch
)

// Reply is the answer to a claim. Record is set with Held and Mismatch.
type Reply struct {
	Verdict Verdict `json:"verdict"`
	Record  Record  `json:"record"`
}

const (
	shardCount = 16
	// skewMillis bounds the difference of clocks between callers, gateways
	// and witnesses.
	skewMillis = 2 * clock.Second
	// ClockSkewMarginMillis is how much newer than a witness's memory a key must
	// be: gateways accept keys up to the skew ahead, and clocks differ.
	ClockSkewMarginMillis = 2 * skewMillis
)

// shard holds a part of the keys under its own lock.
type shard struct {
	mu      sync.Mutex
	records map[Key]*Record
}

// Table is the memory of a witness. It is safe for concurrent use.
type Table struct {
	shards [shardCount]shard

	mu    sync.Mutex
	since clock.Millis
}

// NewTable returns the table of a witness that knows all from since on.
func NewTable(since clock.Millis) *Table {
	t := &Table{since: since}
	for i := range t.shards {
		t.shards[i].records = make(map[Key]*Record)
	}
	return t
}

func (t *Table) shard(k Key) *shard { return &t.shards[k[15]%shardCount] }

// CompleteSince returns from when on the table knows all claims.
func (t *Table) CompleteSince() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.since
}

// Claim grants the key of r to its attempt unless another has it. witnessSince
// tells since when this VM has been a witness of the key. Repeating a claim is
// harmless.
func (t *Table) Claim(now, witnessSince clock.Millis, r Record) Reply {
	known := max(witnessSince, t.CompleteSince())
	sh := t.shard(r.Key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	have := sh.records[r.Key]
	switch {
	case have == nil && r.Key.Time() <= known+ClockSkewMarginMillis:
		return Reply{Verdict: Abstained}
	case have == nil:
		r.State, r.UpdatedAt = Claimed, now
		sh.records[r.Key] = &r
		return Reply{Verdict: Granted}
	case have.Digest != r.Digest && have.Digest != "" && r.Digest != "":
		return Reply{Verdict: Mismatch, Record: *have}
	case have.Attempt == r.Attempt && have.State == Claimed:
		return Reply{Verdict: Granted}
	}
	return Reply{Verdict: Held, Record: *have}
}

// Close ends the key for good if no other attempt has it, so that it can be
// said that it did not run. An abstaining witness cannot close a key.
func (t *Table) Close(now, witnessSince clock.Millis, r Record) Reply {
	reply := t.Claim(now, witnessSince, r)
	if reply.Verdict == Granted {
		t.set(now, r.Key, r.Attempt, Closed)
	}
	if reply.Verdict == Held && reply.Record.State == Closed {
		reply.Verdict = Granted
	}
	return reply
}

// Finish records that the attempt ran.
func (t *Table) Finish(now clock.Millis, k Key, a AttemptID) { t.set(now, k, a, Ran) }

func (t *Table) set(now clock.Millis, k Key, a AttemptID, s State) {
	sh := t.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if have := sh.records[k]; have != nil && have.Attempt == a && have.State == Claimed {
		have.State, have.UpdatedAt = s, now
	}
}

// Withdraw forgets a claim whose attempt never ran and never will.
func (t *Table) Withdraw(k Key, a AttemptID) {
	sh := t.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if have := sh.records[k]; have != nil && have.Attempt == a && have.State == Claimed {
		delete(sh.records, k)
	}
}

// Expire forgets keys whose time is more than lifetime ago. Gateways refuse
// such keys.
func (t *Table) Expire(now, lifetime clock.Millis) {
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for k := range sh.records {
			if now-k.Time() > lifetime+ClockSkewMarginMillis {
				delete(sh.records, k)
			}
		}
		sh.mu.Unlock()
	}
}

// Export returns all records, for a VM that keeps them over a restart.
func (t *Table) Export() (list []Record) {
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for _, r := range sh.records {
			list = append(list, *r)
		}
		sh.mu.Unlock()
	}
	return list
}

// Import takes the records of an earlier process of the same VM that knew all
// from since on and granted nothing after it exported them. Records that the
// table has already are kept.
func (t *Table) Import(since clock.Millis, list []Record) {
	for _, r := range list {
		sh := t.shard(r.Key)
		sh.mu.Lock()
		if sh.records[r.Key] == nil {
			sh.records[r.Key] = &r
		}
		sh.mu.Unlock()
	}
	t.mu.Lock()
	t.since = min(t.since, since)
	t.mu.Unlock()
}

// Len returns the number of keys on record.
func (t *Table) Len() (n int) {
	for i := range t.shards {
		t.shards[i].mu.Lock()
		n += len(t.shards[i].records)
		t.shards[i].mu.Unlock()
	}
	return n
}

// TooNew reports whether a key's time is further ahead than clocks differ.
func TooNew(now clock.Millis, k Key) bool { return k.Time() > now+skewMillis }
