package admission

import (
	"cmp"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// recentOpenings is the time for which a class counts as in use after an opening. A VM
// of a large fleet sees some openings of a class in each second at the usual load.
const recentOpenings = 5 * clock.Second

// class holds the requests that are admitted alike. At equal priority, flows that
// carry many requests form the lower class, since they bring more work.
type class struct {
	priority catalog.Priority
	long     bool
	share    float64 // of the openings that are admitted
	openedAt clock.Millis
}

// newClass returns a class whose openings are all admitted.
func newClass(p catalog.Priority, long bool) *class { return &class{priority: p, long: long, share: 1} }

// compare orders classes from the highest to the lowest.
func (k *class) compare(other *class) int {
	if order := cmp.Compare(k.priority, other.priority); order != 0 {
		return order
	}
	return cmp.Compare(asInt(k.long), asInt(other.long))
}

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (k *class) inUse(now clock.Millis) bool { return now-k.openedAt <= recentOpenings }

// admits compares a hash of a flow with the admitted share.
func (k *class) admits(flow uint64) bool { return k.share >= 1 || fraction(flow) < k.share }

// fraction maps a hash to [0, 1). It mixes the hash, as its bits also choose the
// service of a route and break ties among upstreams.
func fraction(hash uint64) float64 {
	hash = (hash ^ hash>>32) * 0xd6e8feb86659fd93
	hash = (hash ^ hash>>32) * 0xd6e8feb86659fd93
	return float64((hash^hash>>32)>>11) / (1 << 53)
}
