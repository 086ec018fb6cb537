package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// AdmissionChange is a change of the share of new flows that is admitted.
type AdmissionChange struct {
	Service  ident.ServiceName
	Priority catalog.Priority
	// Share is the admitted share of the openings of the priority, and Pressure the
	// share of rejections among the recent answers of the service.
	Share, Pressure float64
}
