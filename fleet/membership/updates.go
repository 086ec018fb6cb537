package membership

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// message returns a message with piggybacked updates.
func (l *List) message(kind Kind, seq uint64, target config.VMID) Message {
	return Message{
		Kind: kind, From: l.self.ID, Seq: seq, Target: target,
		Self:    Update{ID: l.self.ID, Incarnation: l.incarnation, State: l.state, Home: l.home},
		Updates: l.piggyback(), Version: l.version, Digest: l.digest,
	}
}

// addReceiverState puts the receiver's own state first in msg if this VM considers it
// suspect or dead, so that the receiver can refute it.
func (l *List) addReceiverState(to config.VMID, msg Message) Message {
	if m := l.members[to]; m.state == Suspect || m.state == Dead {
		msg.Updates = append([]Update{{ID: to, Incarnation: m.incarnation, State: m.state, Home: m.home}}, msg.Updates...)
	}
	return msg
}

// piggyback picks the updates with the fewest transmissions. The number of
// transmissions of an update is limited to a multiple of the logarithm of the fleet
// size, as in SWIM.
func (l *List) piggyback() (list []Update) {
	limit := 3
	for n := len(l.members); n > 0; n /= 2 {
		limit++
	}
	ids := l.matching(func(m *member) bool { return m.state != Unknown && m.transmissions < limit })
	slices.SortStableFunc(ids, func(a, b config.VMID) int { return l.members[a].transmissions - l.members[b].transmissions })
	for _, id := range ids[:min(updatesPerPacket, len(ids))] {
		m := l.members[id]
		m.transmissions++
		list = append(list, Update{ID: id, Incarnation: m.incarnation, State: m.state, Home: m.home})
	}
	return list
}

// Receive handles a message and returns the messages to send in response. It ignores
// messages of VMs that are not members, and ok is then false.
func (l *List) Receive(now clock.Millis, msg Message) (out []Envelope, ok bool) {
	m := l.members[msg.From]
	if m == nil || msg.Self.ID != msg.From {
		return nil, false
	}
	l.changed = l.changed || m.lastHeard == 0
	m.lastHeard = now
	l.mergeUpdate(now, msg.Self)
	l.Merge(now, msg.Updates)
	switch msg.Kind {
	case Ping:
		out = append(out, Envelope{To: m.vm, Msg: l.addReceiverState(msg.From, l.message(Ack, msg.Seq, msg.Target))})
	case PingRequest:
		if l.members[msg.Target] != nil {
			out = append(out, l.probe(now, msg.Target, msg.From, msg.Seq))
		}
	case Ack:
		out = l.handleAck(msg, m, out)
	}
	return l.sendRefutation(now, out), true
}

// mergeUpdate applies an update about a member if it overrides the known state. An
// update about this VM is refuted if it is wrong.
func (l *List) mergeUpdate(now clock.Millis, u Update) {
	if u.ID == l.self.ID {
		l.refute(u)
		return
	}
	m := l.members[u.ID]
	if m == nil {
		return
	}
	newer := u.Incarnation > m.incarnation
	worse := u.Incarnation == m.incarnation && u.State > m.state
	if newer || worse {
		l.setState(now, m, u.Incarnation, u.State, u.Home)
	}
}

// refute raises the incarnation of this VM above that of a wrong update.
func (l *List) refute(u Update) {
	if u.Incarnation >= l.incarnation && (u.State != l.state || u.Home != l.home) {
		l.incarnation = u.Incarnation + 1
		l.refuted = true
	}
}

// sendRefutation probes up to refutationProbes random VMs if a wrong update was refuted.
// Within the time to refute a suspicion, the periodic probes alone may not reach the
// VMs that share it.
func (l *List) sendRefutation(now clock.Millis, out []Envelope) []Envelope {
	if !l.refuted || now < l.nextRefutationAt {
		return out
	}
	l.refuted, l.nextRefutationAt = false, now+l.timers.ProbeMillis
	for _, id := range l.sample(refutationProbes, mayHear) {
		out = append(out, l.probe(now, id, "", 0))
	}
	return out
}

// Updates returns the known state of all VMs, including this one, for a VM that
// starts.
func (l *List) Updates() (list []Update) {
	list = append(list, Update{ID: l.self.ID, Incarnation: l.incarnation, State: l.state, Home: l.home})
	for _, id := range l.matching(func(m *member) bool { return m.state != Unknown }) {
		m := l.members[id]
		list = append(list, Update{ID: id, Incarnation: m.incarnation, State: m.state, Home: m.home})
	}
	return list
}

// Merge applies updates received from another VM.
func (l *List) Merge(now clock.Millis, list []Update) {
	for _, u := range list {
		l.mergeUpdate(now, u)
	}
}
