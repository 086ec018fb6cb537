package entry

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
)

// sendSuspicions sends new suspicions about upstreams to VMs of the own failure
// domain.
func (p *peers) sendSuspicions() {
	now := p.clk.Now()
	list := p.engine.Suspicions(now)
	if len(list) == 0 {
		return
	}
	p.suspicionsSent.Add(int64(len(list)))
	local := p.replicator.localCopy()
	p.mu.Lock()
	out := p.group.DisseminateSuspicions(now, local, suspicionsToGossip(now, list), forward.Aggregators)
	p.mu.Unlock()
	p.send(out)
}

// receiveSuspicions applies the suspicions of a VM of the own failure domain and
// ignores those of others. waited is an upper bound on how long the message waited
// in the socket.
func (p *peers) receiveSuspicions(msg *gossip.Message, waited clock.Millis) {
	if msg.From.Domain != p.domain || len(msg.Suspicions) == 0 {
		return
	}
	p.suspicionsReceived.Add(int64(len(msg.Suspicions)))
	now := p.clk.Now()
	p.engine.MergeSuspicions(now, suspicionsFromGossip(now, waited, msg.Suspicions))
}

// suspicionsToGossip converts times of this VM's clock to ages, since clocks of
// VMs differ.
func suspicionsToGossip(now clock.Millis, list []forward.Suspicion) []gossip.Suspicion {
	shared := make([]gossip.Suspicion, len(list))
	for i, s := range list {
		shared[i] = gossip.Suspicion{Token: s.Token, Broadcast: s.Broadcast, Answered: s.AckedAt != 0, AnsweredAge: now - s.AckedAt}
		for _, stall := range s.Stalls {
			shared[i].Stalls = append(shared[i].Stalls, gossip.Stall{Flow: gossip.MakeFlowTag(stall.Flow, stall.Open), Age: now - stall.SentAt})
		}
	}
	return shared
}

// suspicionsFromGossip converts ages to times of this VM's clock. waited is an
// upper bound on how long the message waited in the socket.
func suspicionsFromGossip(now, waited clock.Millis, shared []gossip.Suspicion) []forward.Suspicion {
	list := make([]forward.Suspicion, len(shared))
	for i, s := range shared {
		list[i] = forward.Suspicion{Token: s.Token, Broadcast: s.Broadcast}
		if s.Answered {
			list[i].AckedAt = now - waited - max(0, s.AnsweredAge)
		}
		for _, stall := range s.Stalls {
			list[i].Stalls = append(list[i].Stalls, forward.Stall{
				Flow: stall.Flow.Hash(), Open: stall.Flow.Open(), SentAt: now - waited - max(0, stall.Age),
			})
		}
	}
	return list
}
