package forward

import "github.com/amaranthswitch/amaranthswitch/fleet/clock"

// domainStalls counts the stalled flows of a failure domain by upstream.
type domainStalls struct {
	flows      int
	sentAt     clock.Millis // sending time of the newest stalled packet
	byUpstream map[*upstreamLoad]int
	// most is the largest number of stalled flows of one upstream.
	most int
}

// add counts a stall, unless it is a repeated one. Those more than stallTTL older no
// longer count.
func (s *domainStalls) add(r *stallReport) {
	if r.sentAt-s.sentAt > stallTTL {
		*s = domainStalls{}
	}
	s.sentAt = max(s.sentAt, r.sentAt)
	if r.repeated {
		return
	}
	if s.byUpstream == nil {
		s.byUpstream = make(map[*upstreamLoad]int)
	}
	s.flows++
	s.byUpstream[r.upstream]++
	s.most = max(s.most, s.byUpstream[r.upstream])
}

// beyondOneUpstream returns the number of stalled flows without those of the upstream that
// has the most. The failure of one upstream, which explains any number of stalled flows
// to it, does not show that its failure domain is lost.
func (s *domainStalls) beyondOneUpstream() int { return s.flows - s.most }
