package steering

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

const (
	// shardsPerTick is the part of the table that one tick scans.
	shardsPerTick = 8
	// maxResetsPerTick bounds unprompted resets.
	maxResetsPerTick = 500
	// handoverRepeatMillis is the time between handovers of one flow.
	handoverRepeatMillis = 15 * clock.Second
	// maxCredit bounds, in seconds, how much of the rate of copies a burst
	// may use.
	maxCredit = 10
)

// Tick ends waits and silent flows, copies exceptions, and returns the resets
// that are due. It is called every 100 milliseconds by one caller.
func (e *Engine) Tick(now clock.Millis) (resets []ResetOrder) {
	rate := float64(e.limits.CopiesPerSecond)
	e.credit = min(maxCredit*rate, e.credit+rate*(now-e.tickAt).Seconds())
	e.learns.Store(min(e.learns.Load()+max(1, int64(e.limits.LearnsPerSecond)*int64(now-e.tickAt)/int64(clock.Second)), int64(e.limits.LearnsPerSecond)))
	e.tickAt = now
	if e.pendings.Load() > 0 {
		e.expirePending(now)
	}
	for range shardsPerTick {
		sh := &e.shards[e.scanned&shardMask]
		e.scanned++
		resets = e.scan(now, sh, resets)
	}
	return resets
}

func (e *Engine) expirePending(now clock.Millis) {
	r := e.routes.Load()
	for i := range e.shards {
		sh := &e.shards[i]
		sh.mu.Lock()
		for id, pd := range sh.pending {
			if now < pd.deadline {
				continue
			}
			pd.missed = true
			if s := r.services[pd.vni]; s != nil {
				e.conclude(now, sh, s, id, pd)
				continue
			}
			delete(sh.pending, id)
			e.release(Release{ID: id, Discard: true, Reason: UnknownService})
		}
		sh.mu.Unlock()
	}
}

// discardPending ends all waits and discards their packets.
func (e *Engine) discardPending() {
	for i := range e.shards {
		sh := &e.shards[i]
		sh.mu.Lock()
		for id := range sh.pending {
			delete(sh.pending, id)
			e.release(Release{ID: id, Discard: true, Reason: Paused})
		}
		sh.mu.Unlock()
	}
}

// scan visits the flows of one shard.
func (e *Engine) scan(now clock.Millis, sh *shard, resets []ResetOrder) []ResetOrder {
	m, r := e.members.Load(), e.routes.Load()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for id, en := range sh.flows {
		atHome := m.view.Home(id) == e.self
		if !en.up.keeps() && atHome && en.is(flagTCP) && !en.is(flagReset) && len(resets) < maxResetsPerTick {
			if s := r.services[en.up.VNI]; s != nil && en.is(flagEstablished) && en.ports[0] != 0 {
				en.flags |= flagReset
				en.uncount()
				resets = append(resets, ResetOrder{Segment: en.resetSegment(s)})
				e.stats.Resets.Add(1)
			}
		}
		if e.expired(now, en, atHome) {
			e.remove(sh, id, en)
			continue
		}
		if e.credit >= 1 {
			e.copyException(now, m, r, id, en, atHome)
		}
	}
	return resets
}

// expired reports whether an entry has been silent for long enough.
func (e *Engine) expired(now clock.Millis, en *entry, atHome bool) bool {
	idle := clock.Millis(e.seconds(now)-en.seen) * clock.Second
	l := &e.limits
	switch {
	case en.is(flagClosing):
		return idle >= l.LingerMillis
	case !en.is(flagEstablished):
		return idle >= l.HalfOpenMillis && (en.is(flagTCP) || idle >= l.UDPIdleMillis)
	case !en.is(flagTCP):
		return idle >= l.UDPIdleMillis
	case atHome || en.is(flagCounted):
		return idle >= l.TCPIdleMillis
	case en.is(flagCopy):
		return idle >= 3*l.CopyRepeatMillis
	}
	return idle >= l.CacheIdleMillis
}

// copyException sends an exception to the VMs that must know it: those that
// keep copies while this VM is home, or the new home after it ceased to be.
func (e *Engine) copyException(now clock.Millis, m *members, r *routes, id flow.ID, en *entry, atHome bool) {
	if en.is(flagClosing) || !en.is(flagEstablished) || !en.up.keeps() || !en.is(flagOwned|flagCopy) {
		return
	}
	s := r.services[en.up.VNI]
	if s == nil || s.history.Current().Pick(id) == en.up.ID {
		return
	}
	at := e.seconds(now)
	if !atHome {
		e.passOn(m, id, en, at)
		return
	}
	if at-en.since <= uint32(e.limits.CopyAfterMillis/clock.Second) {
		return // Times are whole seconds, so the flow may be just that old.
	}
	mark := shortHash(m.view.Copy(id, 0)) ^ shortHash(m.view.Copy(id, 1)) ^ shortHash(m.view.Copy(id, 2))
	if en.home == mark && at-en.synced < uint32(e.limits.CopyRepeatMillis/clock.Second) {
		return
	}
	en.home, en.synced = mark, at
	for n := range homes.MaxCopies {
		to := m.view.Copy(id, n)
		switch {
		case to == "":
		case m.usable(to):
			e.transfer(Message{To: to, Kind: Copy, ID: id, Upstream: en.up.ID})
		default:
			en.home = 0 // The next scan tries again.
		}
	}
}

// passOn gives an exception to the flow's present home, a few times since the
// message may be lost.
func (e *Engine) passOn(m *members, id flow.ID, en *entry, at uint32) {
	to := m.view.Home(id)
	mark := shortHash(to)
	if to == "" || !m.usable(to) || en.is(flagCopy) && en.home == mark {
		return
	}
	if en.home == mark && at-en.synced < uint32(handoverRepeatMillis/clock.Second) {
		return
	}
	en.home, en.synced = mark, at
	e.transfer(Message{To: to, Kind: Handover, ID: id, Upstream: en.up.ID})
}

// transfer sends an exception and counts it.
func (e *Engine) transfer(m Message) {
	e.credit--
	e.countTransfer(m.Kind)
	e.send(m)
}

func (e *Engine) countTransfer(kind MessageKind) {
	if kind == Copy {
		e.stats.Copies.Add(1)
		return
	}
	e.stats.Handovers.Add(1)
}

// evict makes room in a full table by dropping a cached entry of the shard.
// It reports whether it found one.
func (e *Engine) evict(sh *shard) bool {
	tries := 0
	for id, en := range sh.flows {
		if !en.is(flagCounted | flagCopy) {
			e.remove(sh, id, en)
			return true
		}
		if tries++; tries == 64 {
			break
		}
	}
	return false
}

// HandoverMessages returns every exception and every flow on an ambiguous slot that
// this VM knows, cached ones included, since what it told others may have been
// lost. Each is a message to the home that takes over when this VM leaves.
func (e *Engine) HandoverMessages() (list []Message) {
	m, r := e.members.Load(), e.routes.Load()
	for i := range e.shards {
		sh := &e.shards[i]
		sh.mu.Lock()
		for id, en := range sh.flows {
			if msg, ok := e.handOverEntry(m, r, id, en); ok {
				list = append(list, msg)
			}
		}
		sh.mu.Unlock()
	}
	e.stats.Handovers.Add(int64(len(list)))
	return list
}

func (e *Engine) handOverEntry(m *members, r *routes, id flow.ID, en *entry) (msg Message, ok bool) {
	s := r.services[en.up.VNI]
	if s == nil || !en.up.keeps() || en.is(flagClosing) || !en.is(flagEstablished) {
		return msg, false
	}
	var buf [maxAsked + 1]config.UpstreamID
	options := s.history.Candidates(id, buf[:0])
	if len(options) == 1 && options[0] == en.up.ID {
		return msg, false
	}
	to := e.nextHome(m, id)
	if to == "" {
		return msg, false
	}
	return Message{To: to, Kind: Handover, ID: id, Upstream: en.up.ID}, true
}

// nextHome returns the first VM in rank that is not self and can be reached.
func (e *Engine) nextHome(m *members, id flow.ID) config.VMID {
	for n := range 3 {
		if vm := m.view.Rank(id, n); vm != "" && vm != e.self && m.usable(vm) {
			return vm
		}
	}
	return ""
}
