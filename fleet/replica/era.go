package replica

import (
	"fmt"
	"log/slog"
	"strconv"
)

// Era counts how often the publisher has come back from an older copy of its items. The
// publisher gives out revisions again after that, so that they are ordered by era first.
type Era uint16

// Revision numbers the changes of the published items, starting above 0. The upper 16
// bits hold the era and the lower 48 the publisher's own number, so that revisions are
// ordered by era, then number.
type Revision uint64

// numberBits is the number of bits of a revision that hold the publisher's number.
const numberBits = 48

// MaxNumber is the largest number of the publisher that a revision holds.
const MaxNumber = 1<<numberBits - 1

// RevisionOf returns the revision of the publisher's number in an era. A number above
// MaxNumber counts as MaxNumber.
func RevisionOf(era Era, number uint64) Revision {
	return Revision(uint64(era)<<numberBits | min(number, MaxNumber))
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> numberBits) }

// Number returns the publisher's own number of the revision.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// String returns the number, preceded by the era and a dot unless the era is 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Number(), 10)
	}
	return fmt.Sprintf("%d.%d", r.Era(), r.Number())
}

// LogValue returns the number, or the text that String returns unless the era is 0.
func (r Revision) LogValue() slog.Value {
	if r.Era() == 0 {
		return slog.Uint64Value(r.Number())
	}
	return slog.StringValue(r.String())
}
