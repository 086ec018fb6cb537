package entry

import (
	"fmt"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/amaranthswitch/amaranthswitch/amaranthd/operator"
	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
	"github.com/amaranthswitch/amaranthswitch/fleet/ident"
	"github.com/amaranthswitch/amaranthswitch/fleet/replica"
)

// Where tells where this VM would place a flow, for operators.
type Where struct {
	VM     ident.VMID       `json:"vm"`
	Domain ident.DomainName `json:"domain"`
	// Version is the version of the configuration in force, 0 if there is none.
	Version ident.Version `json:"version"`
	// Revision is the revision of the copy of the published items, and CopyAgeMillis the
	// time since the source confirmed it.
	Revision      replica.Revision `json:"revision"`
	CopyAgeMillis clock.Millis     `json:"copyAgeMillis"`
	To            netip.AddrPort   `json:"to"`
	From          netip.AddrPort   `json:"from"`
	// FromAssumed is set if the query named no caller. From is then assumedCaller.
	FromAssumed bool                `json:"fromAssumed"`
	Placement   forward.Explanation `json:"placement"`
}

// wherePath is the path of the placement query.
const wherePath = "/where"

// assumedCaller is the caller of a query that names none. It is from a range that is
// reserved for documentation (RFC 5737).
var assumedCaller = netip.MustParseAddrPort("192.0.2.1:1024")

// where answers the placement query. Its parameters are either route, the name of a
// route, or to, the address that the caller connects to, and optionally from, the
// address of the caller. It places nothing.
func (d *Daemon) where(parameters url.Values) (any, error) {
	to, err := d.whereDestination(parameters)
	if err != nil {
		return nil, err
	}
	w := Where{
		VM: d.settings.VM, Domain: d.settings.Domain, Revision: d.replicator.localCopy().Complete, CopyAgeMillis: d.copyAge(),
		To: to, From: assumedCaller, FromAssumed: !parameters.Has("from"),
	}
	if !w.FromAssumed {
		if w.From, err = parseQueryAddress(parameters, "from"); err != nil {
			return nil, err
		}
	}
	if c := d.engine.Catalog(); c != nil {
		w.Version = c.Config.Version
	}
	w.Placement = d.engine.Explain(d.clk.Now(), &forward.Packet{Caller: w.From, Destination: to, Opening: true})
	return w, nil
}

// whereDestination returns the destination of a placement query.
func (d *Daemon) whereDestination(parameters url.Values) (to netip.AddrPort, err error) {
	if parameters.Has("to") == parameters.Has("route") {
		return to, badQuery("entry: a query needs one of to and route")
	}
	if parameters.Has("to") {
		return parseQueryAddress(parameters, "to")
	}
	name := parameters.Get("route")
	if c := d.engine.Catalog(); c != nil {
		for _, r := range c.Config.Routes {
			if r.Name == name && r.Address.Addr().Is4() {
				return r.Address, nil
			}
		}
	}
	return to, &operator.QueryError{Status: http.StatusNotFound, Message: fmt.Sprintf("entry: no route %q in the configuration of this VM", name)}
}

// parseQueryAddress parses an IPv4 address and port. Packets carry no others.
func parseQueryAddress(parameters url.Values, name string) (netip.AddrPort, error) {
	text := parameters.Get(name)
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() {
		return a, badQuery(fmt.Sprintf("entry: parameter %s: %q is not an IPv4 address and port", name, text))
	}
	return a, nil
}

func badQuery(message string) error {
	return &operator.QueryError{Status: http.StatusBadRequest, Message: message}
}
