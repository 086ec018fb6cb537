package entry

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
)

// recoveryState is a forward.Recovery in a sinceReply.
type recoveryState struct {
	Answered bool `json:"answered"`
	// LeftMillis is the rest of the slow start of an upstream that answers.
	LeftMillis clock.Millis `json:"leftMillis"`
}

// setRecovering sets the upstreams that have not recovered from a silence yet.
func (r *sinceReply) setRecovering(list map[catalog.Token]forward.Recovery) {
	if len(list) == 0 {
		return
	}
	r.Recovering = make(map[catalog.Token]recoveryState, len(list))
	for token, recovery := range list {
		r.Recovering[token] = recoveryState{Answered: recovery.Answered, LeftMillis: recovery.Left}
	}
}

// recovering returns the upstreams that have not recovered from a silence yet.
func (r *sinceReply) recovering() map[catalog.Token]forward.Recovery {
	list := make(map[catalog.Token]forward.Recovery, len(r.Recovering))
	for token, s := range r.Recovering {
		list[token] = forward.Recovery{Answered: s.Answered, Left: s.LeftMillis}
	}
	return list
}
