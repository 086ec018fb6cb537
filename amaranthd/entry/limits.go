package entry

import (
	"errors"
	"fmt"
	"math"

	"github.com/amaranthswitch/amaranthswitch/fleet/vmload"
)

// limitsFile is the JSON form of vmload.Limits. A platform may give null or 0 for no limit,
// or the processor time as the share of a number of cores; if only one of these two is
// given, there is no limit of the processor time.
type limitsFile struct {
	LinkMbps *float64 `json:"linkMbps"`
	Cores    *float64 `json:"cores"`
	CPUShare *float64 `json:"cpuShare"`
	CPUCores *float64 `json:"cpuCores"`
}

// limits returns the limits that the file gives. f may be nil.
func (f *limitsFile) limits() (l vmload.Limits, err error) {
	if f == nil {
		return l, nil
	}
	if f.Cores != nil && (f.CPUShare != nil || f.CPUCores != nil) {
		return l, errors.New("field limits.cores: cpuShare or cpuCores is given too")
	}
	cores := f.Cores
	if f.CPUShare != nil && f.CPUCores != nil {
		product := *f.CPUShare * *f.CPUCores
		cores = &product
	}
	for _, v := range []struct {
		field string
		value *float64
		set   *float64
	}{
		{"linkMbps", f.LinkMbps, &l.LinkMbps},
		{"cpuShare", f.CPUShare, nil},
		{"cpuCores", f.CPUCores, nil},
		{"cores", cores, &l.Cores},
	} {
		switch {
		case v.value == nil:
		case *v.value < 0 || math.IsInf(*v.value, 0):
			return l, fmt.Errorf("field limits.%s: %g is negative or infinite", v.field, *v.value)
		case v.set != nil:
			*v.set = *v.value
		}
	}
	return l, nil
}
