package membership

import (
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// message builds a message with the latest news.
func (l *List) message(kind Kind, seq uint64, target config.VMID) Message {
	return Message{
		Kind: kind, From: l.self.ID, Seq: seq, Target: target,
		Self:    Update{ID: l.self.ID, Incarnation: l.incarnation, State: l.state, Home: l.home},
		Updates: l.news(), Version: l.version, Digest: l.digest,
	}
}

// tell adds what is believed of the receiver, if it must refute that.
func (l *List) tell(to config.VMID, msg Message) Message {
	if m := l.members[to]; m.state == Suspect || m.state == Dead {
		msg.Updates = append([]Update{{ID: to, Incarnation: m.incarnation, State: m.state, Home: m.home}}, msg.Updates...)
	}
	return msg
}

// news picks the statements that were passed on least. A statement is passed
// on a number of times that grows with the logarithm of the fleet.
func (l *List) news() (list []Update) {
	limit := 3
	for n := len(l.members); n > 0; n /= 2 {
		limit++
	}
	ids := l.matching(func(m *member) bool { return m.state != Unknown && m.sends < limit })
	slices.SortStableFunc(ids, func(a, b config.VMID) int { return l.members[a].sends - l.members[b].sends })
	for _, id := range ids[:min(updatesPerPacket, len(ids))] {
		m := l.members[id]
		m.sends++
		list = append(list, Update{ID: id, Incarnation: m.incarnation, State: m.state, Home: m.home})
	}
	return list
}

// Receive handles a message and returns the answers. Messages of VMs that are
// not listed are ignored, and ok is false.
func (l *List) Receive(now clock.Millis, msg Message) (out []Envelope, ok bool) {
	m := l.members[msg.From]
	if m == nil || msg.Self.ID != msg.From {
		return nil, false
	}
	l.changed = l.changed || m.heard == 0
	m.heard = now
	l.mergeUpdate(now, msg.Self)
	l.Merge(now, msg.Updates)
	switch msg.Kind {
	case Ping:
		out = append(out, Envelope{To: m.vm, Msg: l.tell(msg.From, l.message(Ack, msg.Seq, msg.Target))})
	case PingRequest:
		if l.members[msg.Target] != nil {
			out = append(out, l.probe(now, msg.Target, msg.From, msg.Seq))
		}
	case Ack:
		out = l.acked(msg, m, out)
	}
	return out, true
}

// mergeUpdate takes a statement if it is newer than what is known.
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
		l.set(now, m, u.Incarnation, u.State, u.Home)
	}
}

// refute raises the own incarnation above a false statement.
func (l *List) refute(u Update) {
	if u.Incarnation >= l.incarnation && (u.State != l.state || u.Home != l.home) {
		l.incarnation = u.Incarnation + 1
	}
}

// Updates returns what is believed of all VMs, self included, for a VM that
// starts.
func (l *List) Updates() (list []Update) {
	list = append(list, Update{ID: l.self.ID, Incarnation: l.incarnation, State: l.state, Home: l.home})
	for _, id := range l.matching(func(m *member) bool { return m.state != Unknown }) {
		m := l.members[id]
		list = append(list, Update{ID: id, Incarnation: m.incarnation, State: m.state, Home: m.home})
	}
	return list
}

// Merge takes what another VM believes of all.
func (l *List) Merge(now clock.Millis, list []Update) {
	for _, u := range list {
		l.mergeUpdate(now, u)
	}
}
