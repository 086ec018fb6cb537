package claim

import (
	"sync"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// State is the state of a key at a witness.
type State uint8

// States of a key.
const (
	// Claimed means that an attempt may be running.
	Claimed State = iota + 1
	// Ran means that an attempt has run.
	Ran
	// Closed means that this witness no longer grants the key to any attempt. An
	// attempt may have run by the grants of other witnesses, unless a majority
	// has closed the key.
	Closed
)

// Record is what a witness stores for a key: the attempt that holds it, the
// gateway of that attempt, the digest of the request's body (empty if unknown)
// and the time of the last change of state by the witness's clock.
type Record struct {
	Key       Key           `json:"key"`
	VNI       config.VNI    `json:"vni"`
	Attempt   AttemptID     `json:"attempt"`
	Gateway   config.VMID   `json:"gateway"`
	Digest    config.Digest `json:"digest,omitempty"`
	State     State         `json:"state"`
	UpdatedAt clock.Millis  `json:"at"`
}

// Verdict is a witness's vote on a claim.
type Verdict uint8

// Verdicts on a claim.
const (
	// Granted means that the attempt holds the key.
	Granted Verdict = iota + 1
	// Held means that another attempt, named in the record, holds the key or
	// that the key is no longer open to claims.
	Held
	// Abstained means that the witness cannot know whether the key was used.
	Abstained
	// Mismatch means that the key was used with a different body.
	Mismatch
)

// Reply is a witness's reply to a claim. Record is set with Held and Mismatch.
type Reply struct {
	Verdict Verdict `json:"verdict"`
	Record  Record  `json:"record"`
}

const (
	shardCount = 16
	// maxClockSkewMillis is the largest tolerated difference between the
	// clocks of callers, gateways and witnesses.
	maxClockSkewMillis = 2 * clock.Second
	// ClockSkewMarginMillis is how much newer than the start of a witness's
	// records a key must be to be granted. It is twice the clock skew, because
	// gateways accept keys whose time is ahead by up to the skew and the
	// witness's own clock may differ by as much.
	ClockSkewMarginMillis = 2 * maxClockSkewMillis
)

// shard holds a subset of the keys under its own lock.
type shard struct {
	mu      sync.Mutex
	records map[Key]*Record
}

// Table stores the records of a witness. It is safe for concurrent use.
type Table struct {
	shards [shardCount]shard

	mu            sync.Mutex
	completeSince clock.Millis
}

// NewTable returns an empty table that holds all claims made from since on.
func NewTable(since clock.Millis) *Table {
	t := &Table{completeSince: since}
	for i := range t.shards {
		t.shards[i].records = make(map[Key]*Record)
	}
	return t
}

func (t *Table) shard(k Key) *shard { return &t.shards[k[15]%shardCount] }

// CompleteSince returns the time from which on the table holds all claims that
// were made at this witness.
func (t *Table) CompleteSince() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.completeSince
}

// Claim grants the key of r to its attempt unless another attempt holds it. The
// parameter witnessSince is the time since which this VM has been a witness of
// the key. Claim is idempotent: a repeated claim of an attempt is granted again
// while its state is Claimed.
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

// Close closes the key at this witness unless another attempt holds it. Once a
// majority of witnesses has closed the key, the caller can be told that the
// request did not run. Close returns Granted if the key is closed. A witness that
// abstains cannot close a key.
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

// Finish records that the attempt has run, if it holds the key.
func (t *Table) Finish(now clock.Millis, k Key, a AttemptID) { t.set(now, k, a, Ran) }

func (t *Table) set(now clock.Millis, k Key, a AttemptID, s State) {
	sh := t.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if have := sh.records[k]; have != nil && have.Attempt == a && have.State == Claimed {
		have.State, have.UpdatedAt = s, now
	}
}

// Withdraw deletes the claim of an attempt that has not run and never will.
func (t *Table) Withdraw(k Key, a AttemptID) {
	sh := t.shard(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if have := sh.records[k]; have != nil && have.Attempt == a && have.State == Claimed {
		delete(sh.records, k)
	}
}

// Expire deletes keys whose age exceeds lifetime plus ClockSkewMarginMillis.
// Gateways refuse keys older than lifetime.
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

// Export returns all records, for another VM to store while this one restarts.
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

// Import adds the records of an earlier process of the same VM. That process
// must have held all claims made from since on and must have granted nothing
// after it exported them. Import doesn't overwrite records of the table.
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
	t.completeSince = min(t.completeSince, since)
	t.mu.Unlock()
}

// Len returns the number of keys in the table.
func (t *Table) Len() (n int) {
	for i := range t.shards {
		t.shards[i].mu.Lock()
		n += len(t.shards[i].records)
		t.shards[i].mu.Unlock()
	}
	return n
}

// TooNew reports whether the time of a key is ahead of now by more than the
// tolerated clock skew.
func TooNew(now clock.Millis, k Key) bool { return k.Time() > now+maxClockSkewMillis }
