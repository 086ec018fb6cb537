package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// Recovery tells how far an upstream has recovered from a silence in which it may have
// restarted. A VM that starts learns it from another one, since published entries do not
// show it.
type Recovery struct {
	// Answered is set if the upstream answers again.
	Answered bool
	// Left is the rest of its slow start in that case.
	Left clock.Millis
}

// Recoveries returns the upstreams that have not recovered from a silence yet.
func (e *Engine) Recoveries(now clock.Millis) map[catalog.Token]Recovery {
	list := make(map[catalog.Token]Recovery)
	if v := e.view.Load(); v != nil {
		for token, t := range v.tokens {
			if r, ok := t.load.health.recoveryAt(now); ok {
				list[token] = r
			}
		}
	}
	return list
}

// SetRecoveries sets what another VM tells of upstreams. Unknown ones, and those of whose
// silence this VM knows by itself, are ignored.
func (e *Engine) SetRecoveries(now clock.Millis, list map[catalog.Token]Recovery) {
	v := e.view.Load()
	if v == nil {
		return
	}
	for token, r := range list {
		t, ok := v.tokens[token]
		if !ok {
			continue
		}
		r.Left = min(max(0, r.Left), t.slowStart)
		before, after := t.load.health.setRecovery(now, r)
		e.reportChange(now, t, HealthChange{Indirect: true}, before, after)
	}
}

// recoveryAt returns the recovery, and false if the upstream has recovered.
func (h *health) recoveryAt(now clock.Millis) (r Recovery, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recovery.slowStart(now) {
		return Recovery{Answered: true, Left: h.recovery.until - now}, true
	}
	return Recovery{}, h.recovery.silence && h.recovery.until == 0
}

// setRecovery sets the recovery that another VM tells, and returns the state before and
// after.
func (h *health) setRecovery(now clock.Millis, r Recovery) (before, after healthState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = h.state
	if !h.recovery.silence {
		h.recovery.adopt(now, r)
		h.state.slowStart = h.recovery.slowStart(now)
	}
	return before, h.state
}
