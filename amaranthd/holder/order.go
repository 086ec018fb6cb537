package holder

import (
	"math/rand/v2"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// weighted is a manager with the chance that it is asked first.
type weighted struct {
	key   managerKey
	score float64
}

// managerOrder returns the managers of a service's slots in the order in
// which they are asked: by waiting requests for each slot as last told, and at
// random in proportion to their slots where none wait.
func (h *Holder) managerOrder(vni config.VNI) (order []managerKey) {
	h.mu.Lock()
	slots := make(map[managerKey]int)
	if s := h.service(vni); s != nil {
		for i := range s.Upstreams {
			u := &s.Upstreams[i]
			if k := (managerKey{vni: vni, domain: u.Domain}); h.file.AcceptsNewTraffic(u) && len(h.live[u.Domain]) > 0 {
				slots[k] += u.Slots
			}
		}
	}
	h.mu.Unlock()
	list := make([]weighted, 0, len(slots))
	h.leaseMu.Lock()
	for k, n := range slots {
		list = append(list, weighted{key: k, score: (float64(h.hints[k]) + rand.ExpFloat64()) / float64(n)})
		h.hints[k] = h.hints[k] * 3 / 4 // An old hint fades.
	}
	h.leaseMu.Unlock()
	slices.SortFunc(list, func(a, b weighted) int {
		if a.score < b.score {
			return -1
		}
		return 1
	})
	for _, w := range list {
		order = append(order, w.key)
	}
	return order
}
