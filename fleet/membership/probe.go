package membership

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// probe is a probe that waits for an answer.
type probe struct {
	to       config.VMID
	sent     clock.Millis
	indirect bool
	// origin is the VM on whose behalf the probe was sent, with its number.
	origin    config.VMID
	originSeq uint64
}

// LastProbeSeq returns the number of the last probe sent.
func (l *List) LastProbeSeq() uint64 { return l.seq }

// nextTarget takes turns over the VMs of the own failure domain, of the other
// ones and, rarely, the dead ones.
func (l *List) nextTarget() config.VMID {
	if l.rounds%deadEvery == 0 {
		dead := l.matching(func(m *member) bool { return m.state == Dead })
		if len(dead) > 0 {
			return dead[l.rng.IntN(len(dead))]
		}
	}
	remote := l.timers.RemoteEvery > 0 && l.rounds%l.timers.RemoteEvery == 0
	if id := l.fromSweep(remote); id != "" {
		return id
	}
	return l.fromSweep(!remote)
}

func (l *List) fromSweep(remote bool) config.VMID {
	for range 2 {
		for len(l.sweep[remote]) > 0 {
			id := l.sweep[remote][0]
			l.sweep[remote] = l.sweep[remote][1:]
			if m := l.members[id]; m != nil && m.state != Dead {
				return id
			}
		}
		ids := l.matching(func(m *member) bool {
			return m.state != Dead && (m.vm.Domain != l.self.Domain) == remote
		})
		l.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		l.sweep[remote] = ids
	}
	return ""
}

func (l *List) probe(now clock.Millis, to, origin config.VMID, originSeq uint64) Envelope {
	l.seq++
	l.probes[l.seq] = &probe{to: to, sent: now, origin: origin, originSeq: originSeq}
	return Envelope{To: l.members[to].vm, Msg: l.tell(to, l.message(Ping, l.seq, origin))}
}

// checkProbes asks helpers about silent probes and suspects VMs that stay
// silent.
func (l *List) checkProbes(now clock.Millis, out []Envelope) []Envelope {
	for seq, p := range l.probes {
		m := l.members[p.to]
		switch {
		case m == nil:
			delete(l.probes, seq)
		case !p.indirect && now-p.sent >= l.timers.TimeoutMillis:
			p.indirect = true
			m.silent++
			if m.silent == silentProbes {
				l.changed = true
			}
			if p.origin == "" {
				out = l.askHelpers(p.to, seq, out)
			}
		case now-p.sent >= l.timers.TimeoutMillis+l.timers.ProbeMillis:
			delete(l.probes, seq)
			if p.origin == "" && m.state == Alive {
				l.set(now, m, m.incarnation, Suspect, m.home)
			}
		}
	}
	return out
}

func (l *List) askHelpers(about config.VMID, seq uint64, out []Envelope) []Envelope {
	ids := l.matching(func(m *member) bool { return m.state == Alive && m.vm.ID != about && m.silent == 0 })
	l.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(helpers, len(ids))] {
		out = append(out, Envelope{To: l.members[id].vm, Msg: l.message(PingRequest, seq, about)})
	}
	return out
}

// acked ends a probe. An answer to a probe made for another VM is passed on.
func (l *List) acked(msg Message, from *member, out []Envelope) []Envelope {
	p := l.probes[msg.Seq]
	if p == nil {
		return out
	}
	delete(l.probes, msg.Seq)
	if p.to == msg.From && from.silent > 0 {
		l.changed = l.changed || from.silent >= silentProbes
		from.silent = 0
	}
	origin := l.members[p.origin]
	if origin == nil {
		return out
	}
	reply := l.message(Ack, p.originSeq, p.to)
	reply.Updates = append([]Update{msg.Self}, reply.Updates...)
	return append(out, Envelope{To: origin.vm, Msg: reply})
}
