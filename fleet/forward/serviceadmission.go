package forward

import (
	"github.com/amaranthswitch/amaranthswitch/fleet/admission"
	"github.com/amaranthswitch/amaranthswitch/fleet/catalog"
)

// serviceAdmission is the admission of new flows to a service.
type serviceAdmission struct {
	priorities []catalog.Priority // of its routes, ascending
	// controller and report are nil if the routes have one priority.
	controller *admission.Controller
	report     *admissionReport
}
