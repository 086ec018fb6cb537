package entry

import (
	"errors"

	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// errLate means that the source answered from an era that is over.
var errLate = errors.New("entry: source answered from an earlier era")

// checkEra returns errLate if u belongs to an era before that of the copy. Another VM may
// have passed on the new era while this one waited for the response.
func (r *replicator) checkEra(u *replica.Update) error {
	if u.Complete.Era() < r.localCopy().Complete.Era() {
		return errLate
	}
	return nil
}

// expireKept ends what was kept in force long enough since the source came back from an
// older copy. It may wait for a build or make one, which would delay the ticks of the engine.
func (r *replicator) expireKept() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.builder.Expire(r.clk.Now()) {
		r.scheduleBuild()
	}
}

// keptItems returns the items that this VM keeps in force since the source came back from
// an older copy.
func (r *replicator) keptItems() []catalog.Kept {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.builder.Kept(r.clk.Now())
}

// kept decodes the items that the sender keeps in force.
func (r *sinceReply) kept() ([]catalog.Kept, error) {
	if len(r.Kept) == 0 {
		return nil, nil
	}
	u, err := decodeUpdate(r.Kept)
	list := make([]catalog.Kept, 0, len(u.Items))
	for _, item := range u.Items {
		list = append(list, catalog.Kept{Item: item, Left: r.KeptLeft[item.Key]})
	}
	return list, err
}

// setKept encodes the items that this VM keeps in force.
func (r *sinceReply) setKept(kept []catalog.Kept) (err error) {
	if len(kept) == 0 {
		return nil
	}
	var u replica.Update
	r.KeptLeft = make(map[replica.Key]clock.Millis)
	for _, k := range kept {
		u.Items = append(u.Items, k.Item)
		if k.Left > 0 {
			r.KeptLeft[k.Item.Key] = k.Left
		}
	}
	r.Kept, err = encodeUpdate(&u)
	return err
}
