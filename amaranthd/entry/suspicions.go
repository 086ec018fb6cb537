package entry

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/gossip"
)

// spread tells VMs of the own failure domain what is new of upstreams that may be
// silent.
func (p *peers) spread() {
	now := p.clk.Now()
	list := p.engine.Suspicions(now)
	if len(list) == 0 {
		return
	}
	p.told.Add(int64(len(list)))
	held := p.keeper.held()
	p.mu.Lock()
	out := p.group.DisseminateSuspicions(now, held, agesOf(now, list), forward.Aggregators)
	p.mu.Unlock()
	p.send(out)
}

// takeSuspicions takes what a VM of the own failure domain tells. waited is how long
// the message may have waited for this VM.
func (p *peers) takeSuspicions(msg *gossip.Message, waited clock.Millis) {
	if msg.From.Domain != p.domain || len(msg.Suspicions) == 0 {
		return
	}
	p.heard.Add(int64(len(msg.Suspicions)))
	now := p.clk.Now()
	p.engine.MergeSuspicions(now, timesOf(now, waited, msg.Suspicions))
}

// agesOf turns times of this VM's clock into ages.
func agesOf(now clock.Millis, list []forward.Suspicion) []gossip.Suspicion {
	told := make([]gossip.Suspicion, len(list))
	for i, s := range list {
		told[i] = gossip.Suspicion{Token: s.Token, DomainWide: s.Broadcast, Answered: s.AckedAt != 0, AnsweredAge: now - s.AckedAt}
		for _, stall := range s.Stalls {
			told[i].Stalls = append(told[i].Stalls, gossip.Stall{Flow: stall.Flow, Age: now - stall.SentAt})
		}
	}
	return told
}

// timesOf turns ages into times of this VM's clock. waited is how long the message
// may have waited for this VM.
func timesOf(now, waited clock.Millis, told []gossip.Suspicion) []forward.Suspicion {
	list := make([]forward.Suspicion, len(told))
	for i, s := range told {
		list[i] = forward.Suspicion{Token: s.Token, Broadcast: s.DomainWide}
		if s.Answered {
			list[i].AckedAt = now - waited - max(0, s.AnsweredAge)
		}
		for _, stall := range s.Stalls {
			list[i].Stalls = append(list[i].Stalls, forward.Stall{Flow: stall.Flow, SentAt: now - waited - max(0, stall.Age)})
		}
	}
	return list
}
