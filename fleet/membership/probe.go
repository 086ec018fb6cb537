package membership

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// probe is a probe without an answer so far.
type probe struct {
	to       config.VMID
	sent     clock.Millis
	indirect bool
	// origin is the VM that requested an indirect probe and originSeq the sequence
	// number of its request. origin is empty for the VM's own probes.
	origin    config.VMID
	originSeq uint64
}

// LastProbeSeq returns the sequence number of the last probe sent.
func (l *List) LastProbeSeq() uint64 { return l.seq }

// nextTarget returns the VM to probe next. It alternates between the local failure
// domain, the other ones and, every deadEvery rounds, the dead VMs. It returns the
// empty string if there is none.
func (l *List) nextTarget() config.VMID {
	if l.rounds%deadEvery == 0 {
		dead := l.matching(func(m *member) bool { return m.state == Dead })
		if len(dead) > 0 {
			return dead[l.rng.IntN(len(dead))]
		}
	}
	remote := l.timers.RemoteEvery > 0 && l.rounds%l.timers.RemoteEvery == 0
	if id := l.nextInQueue(remote); id != "" {
		return id
	}
	return l.nextInQueue(!remote)
}

// nextInQueue returns the next VM of a round-robin over the VMs of the local or the
// remote failure domains, shuffled anew in each cycle.
func (l *List) nextInQueue(remote bool) config.VMID {
	for range 2 {
		for len(l.probeQueue[remote]) > 0 {
			id := l.probeQueue[remote][0]
			l.probeQueue[remote] = l.probeQueue[remote][1:]
			if m := l.members[id]; m != nil && m.state != Dead {
				return id
			}
		}
		ids := l.matching(func(m *member) bool {
			return m.state != Dead && (m.vm.Domain != l.self.Domain) == remote
		})
		l.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		l.probeQueue[remote] = ids
	}
	return ""
}

func (l *List) probe(now clock.Millis, to, origin config.VMID, originSeq uint64) Envelope {
	l.seq++
	l.probes[l.seq] = &probe{to: to, sent: now, origin: origin, originSeq: originSeq}
	return Envelope{To: l.members[to].vm, Msg: l.addReceiverState(to, l.message(Ping, l.seq, origin))}
}

// checkProbes sends indirect probes for direct ones that timed out, and marks VMs as
// suspect that answer neither.
func (l *List) checkProbes(now clock.Millis, out []Envelope) []Envelope {
	for seq, p := range l.probes {
		m := l.members[p.to]
		switch {
		case m == nil:
			delete(l.probes, seq)
		case !p.indirect && now-p.sent >= l.timers.TimeoutMillis:
			p.indirect = true
			m.failedProbes++
			if m.failedProbes == unreachableProbes {
				l.changed = true
			}
			if p.origin == "" {
				out = l.probeIndirectly(p.to, seq, out)
			}
		case now-p.sent >= l.timers.TimeoutMillis+l.timers.ProbeMillis:
			delete(l.probes, seq)
			if p.origin == "" && m.state == Alive {
				l.setState(now, m, m.incarnation, Suspect, m.home)
				out = append(out, l.probe(now, p.to, "", 0)) // tells the VM, which may refute
			}
		}
	}
	return out
}

// probeIndirectly asks other living VMs to probe target.
func (l *List) probeIndirectly(target config.VMID, seq uint64, out []Envelope) []Envelope {
	others := func(m *member) bool { return m.state == Alive && m.vm.ID != target && m.failedProbes == 0 }
	for _, id := range l.sample(indirectProbes, others) {
		out = append(out, Envelope{To: l.members[id].vm, Msg: l.message(PingRequest, seq, target)})
	}
	return out
}

// handleAck completes a probe. It relays the answer to a probe that was sent on
// behalf of another VM.
func (l *List) handleAck(msg Message, from *member, out []Envelope) []Envelope {
	p := l.probes[msg.Seq]
	if p == nil {
		return out
	}
	delete(l.probes, msg.Seq)
	if p.to == msg.From && from.failedProbes > 0 {
		l.changed = l.changed || from.failedProbes >= unreachableProbes
		from.failedProbes = 0
	}
	origin := l.members[p.origin]
	if origin == nil {
		return out
	}
	reply := l.message(Ack, p.originSeq, p.to)
	reply.Updates = append([]Update{msg.Self}, reply.Updates...)
	return append(out, Envelope{To: origin.vm, Msg: reply})
}
