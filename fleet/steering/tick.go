package steering

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/homes"
)

const (
	// shardsPerTick is the number of shards that one tick scans.
	shardsPerTick = 8
	// maxResetsPerTick is the maximum number of resets issued in one tick.
	maxResetsPerTick = 500
	// handoverRepeatMillis is the time between handovers of one flow.
	handoverRepeatMillis = 15 * clock.Second
	// maxCopyBurstSeconds is the burst size of the limit on copies, in seconds
	// at its rate.
	maxCopyBurstSeconds = 10
)

// Tick expires queries and idle flows, copies exceptions and returns the resets
// that are due. It is called every 100 milliseconds by a single caller.
func (e *Engine) Tick(now clock.Millis) (resets []ResetOrder) {
	rate := float64(e.limits.CopiesPerSecond)
	e.copyTokens = min(maxCopyBurstSeconds*rate, e.copyTokens+rate*(now-e.lastTick).Seconds())
	e.learnTokens.Store(min(e.learnTokens.Load()+max(1, int64(e.limits.LearnsPerSecond)*int64(now-e.lastTick)/int64(clock.Second)), int64(e.limits.LearnsPerSecond)))
	e.lastTick = now
	if e.pendingCount.Load() > 0 {
		e.expirePending(now)
	}
	for range shardsPerTick {
		sh := &e.shards[e.nextShard&shardMask]
		e.nextShard++
		resets = e.scan(now, sh, resets)
	}
	return resets
}

func (e *Engine) expirePending(now clock.Millis) {
	r := e.routes.Load()
	for i := range e.shards {
		sh := &e.shards[i]
		sh.mu.Lock()
		for id, query := range sh.pending {
			if now < query.deadline {
				continue
			}
			if s := r.services[query.vni]; s != nil {
				e.finishQuery(now, sh, s, id, query)
				continue
			}
			delete(sh.pending, id)
			e.release(Release{ID: id, Discard: true, Reason: UnknownService})
		}
		sh.mu.Unlock()
	}
}

// discardPending ends all queries and discards the held packets.
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

// scan processes the flows of one shard and appends due resets to resets.
func (e *Engine) scan(now clock.Millis, sh *shard, resets []ResetOrder) []ResetOrder {
	m, r := e.members.Load(), e.routes.Load()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for id, en := range sh.flows {
		atHome := m.view.Home(id) == e.self
		if !en.upstream.servesFlows() && atHome && en.hasAny(flagTCP) && !en.hasAny(flagReset) && len(resets) < maxResetsPerTick {
			if s := r.services[en.upstream.VNI]; s != nil && en.hasAny(flagEstablished) && en.ports[0] != 0 {
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
		if e.copyTokens >= 1 {
			e.copyException(now, m, r, id, en, atHome)
		}
	}
	return resets
}

// expired reports whether the idle timeout of an entry has passed.
func (e *Engine) expired(now clock.Millis, en *entry, atHome bool) bool {
	idle := e.elapsed(now, en.lastSeen)
	l := &e.limits
	switch {
	case en.hasAny(flagClosing):
		return idle >= l.LingerMillis
	case !en.hasAny(flagEstablished):
		return idle >= l.HalfOpenMillis && (en.hasAny(flagTCP) || idle >= l.UDPIdleMillis)
	case !en.hasAny(flagTCP):
		return idle >= l.UDPIdleMillis
	case atHome || en.hasAny(flagCounted):
		return idle >= l.TCPIdleMillis
	case en.hasAny(flagCopy):
		return idle >= 3*l.CopyRepeatMillis
	}
	return idle >= l.CacheIdleMillis
}

// copyException sends an exception to the VMs that keep copies if this VM is the
// home, or else to the new home.
func (e *Engine) copyException(now clock.Millis, m *members, r *routes, id flow.ID, en *entry, atHome bool) {
	if en.hasAny(flagClosing) || !en.hasAny(flagEstablished) || !en.upstream.servesFlows() || !en.hasAny(flagHome|flagCopy) {
		return
	}
	s := r.services[en.upstream.VNI]
	if s == nil || s.history.Current().Pick(id) == en.upstream.ID {
		return
	}
	if !atHome {
		e.handOverException(now, m, id, en)
		return
	}
	if e.elapsed(now, en.createdAt) <= e.limits.CopyAfterMillis {
		return // Times are truncated to seconds, so equality does not ensure the age.
	}
	hash := shortHash(m.view.Copy(id, 0)) ^ shortHash(m.view.Copy(id, 1)) ^ shortHash(m.view.Copy(id, 2))
	if en.homeHash == hash && e.elapsed(now, en.syncedAt) < e.limits.CopyRepeatMillis {
		return
	}
	en.homeHash, en.syncedAt = hash, e.seconds(now)
	for n := range homes.MaxCopies {
		to := m.view.Copy(id, n)
		switch {
		case to == "":
		case m.reachable(to):
			e.sendException(Message{To: to, Kind: Copy, ID: id, Upstream: en.upstream.ID})
		default:
			en.homeHash = 0 // The next scan retries.
		}
	}
}

// handOverException sends an exception to the current home of the flow. It repeats
// this, since the message may be lost, unless the entry is a copy.
func (e *Engine) handOverException(now clock.Millis, m *members, id flow.ID, en *entry) {
	to := m.view.Home(id)
	hash := shortHash(to)
	if to == "" || !m.reachable(to) || en.hasAny(flagCopy) && en.homeHash == hash {
		return
	}
	if en.homeHash == hash && e.elapsed(now, en.syncedAt) < handoverRepeatMillis {
		return
	}
	en.homeHash, en.syncedAt = hash, e.seconds(now)
	e.sendException(Message{To: to, Kind: Handover, ID: id, Upstream: en.upstream.ID})
}

// sendException sends an exception, takes a token for it and counts it.
func (e *Engine) sendException(m Message) {
	e.copyTokens--
	e.countException(m.Kind)
	e.send(m)
}

func (e *Engine) countException(kind MessageKind) {
	if kind == Copy {
		e.stats.Copies.Add(1)
		return
	}
	e.stats.Handovers.Add(1)
}

// evict removes a cached entry of the shard to make room in a full flow table. It
// examines up to 64 entries and reports whether it removed one.
func (e *Engine) evict(sh *shard) bool {
	tries := 0
	for id, en := range sh.flows {
		if !en.hasAny(flagCounted | flagCopy) {
			e.remove(sh, id, en)
			return true
		}
		if tries++; tries == 64 {
			break
		}
	}
	return false
}

// HandoverMessages returns a message for each exception and each flow with several
// candidates in the table history, to the home that takes over when this VM
// leaves. It includes cached flows, since earlier messages may have been lost.
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
	s := r.services[en.upstream.VNI]
	if s == nil || !en.upstream.servesFlows() || en.hasAny(flagClosing) || !en.hasAny(flagEstablished) {
		return msg, false
	}
	var buf [maxQueryTargets + 1]config.UpstreamID
	candidates := s.history.Candidates(id, buf[:0])
	if len(candidates) == 1 && candidates[0] == en.upstream.ID {
		return msg, false
	}
	to := e.nextHome(m, id)
	if to == "" {
		return msg, false
	}
	return Message{To: to, Kind: Handover, ID: id, Upstream: en.upstream.ID}, true
}

// nextHome returns the first reachable VM in rank other than self, or the empty
// identifier if there is none.
func (e *Engine) nextHome(m *members, id flow.ID) config.VMID {
	for n := range 3 {
		if vm := m.view.Rank(id, n); vm != "" && vm != e.self && m.reachable(vm) {
			return vm
		}
	}
	return ""
}
