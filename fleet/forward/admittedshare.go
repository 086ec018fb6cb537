package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
)

// AdmittedShare is the share of the new flows of a priority that is admitted to a
// service.
type AdmittedShare struct {
	Service  ident.ServiceName
	Priority catalog.Priority
	Share    float64
}
