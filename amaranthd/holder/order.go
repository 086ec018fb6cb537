package holder

import (
	"math/rand/v2"
	"slices"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// scoredManager is a manager with its score. The lowest score is asked first.
type scoredManager struct {
	key   managerKey
	score float64
}

// managerOrder returns the managers of a service's slots in the order in which
// they are asked: by queue length per slot, as the managers last reported it, and
// in random order weighted by slots where the queues are empty.
func (h *Holder) managerOrder(vni config.VNI) (order []managerKey) {
	h.mu.Lock()
	slots := make(map[managerKey]int)
	if s := h.service(vni); s != nil {
		for i := range s.Upstreams {
			u := &s.Upstreams[i]
			if k := (managerKey{vni: vni, domain: u.Domain}); h.file.AcceptsNewTraffic(u) && len(h.liveVMs[u.Domain]) > 0 {
				slots[k] += u.Slots
			}
		}
	}
	h.mu.Unlock()
	list := make([]scoredManager, 0, len(slots))
	h.leaseMu.Lock()
	for k, n := range slots {
		list = append(list, scoredManager{key: k, score: (float64(h.queueLengths[k]) + rand.ExpFloat64()) / float64(n)})
		h.queueLengths[k] = h.queueLengths[k] * 3 / 4 // Reported lengths decay as they age.
	}
	h.leaseMu.Unlock()
	slices.SortFunc(list, func(a, b scoredManager) int {
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
