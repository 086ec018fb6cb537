package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

// admissionReportInterval is the shortest interval between two reports of changed
// shares of a service.
const admissionReportInterval = 1 * clock.Second

// admissionReport is what was last reported of a service. Only Tick uses it.
type admissionReport struct {
	shares map[catalog.Priority]float64
	at     clock.Millis
}
