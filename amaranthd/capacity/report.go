package capacity

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/configfile"
)

// roundTrip encodes f as JSON and returns the parsed result and the JSON text.
func roundTrip(f *config.File) (parsed *config.File, body []byte, err error) {
	defer func() { err = eris.Wrap(err, "capacity: encode a file") }()
	if body, err = json.MarshalIndent(f, "", " "); err != nil {
		return nil, nil, err
	}
	parsed, err = configfile.Parse(body)
	return parsed, body, err
}

// targetSizes maps the unit of Row.ScaledBy to its count at the target size.
var targetSizes = map[string]float64{
	"flows":                8300,
	"VMs":                  470,
	"upstreams":            3300,
	"upstreams with flows": 3300,
	"keys":                 10_000,
	"slots":                160,
	// 46,000 new flows per second over 8 failure domains, with 4 packets each
	// and 0.2 % packet loss.
	"losses a second": 46,
}

// Slope returns the slope and the intercept of the least-squares line through the
// row's points.
func (r Row) Slope() (perUnit, base float64) {
	n := float64(len(r.Sizes))
	var sx, sy, sxx, sxy float64
	for i, size := range r.Sizes {
		x, y := float64(size), r.Values[i]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	perUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return perUnit, (sy - perUnit*sx) / n
}

// AtTarget returns the value extrapolated to the target size.
func (r Row) AtTarget() float64 {
	perUnit, base := r.Slope()
	return base + perUnit*targetSizes[r.ScaledBy]
}

// Run takes all measurements and writes them to w as a Markdown table or as JSON.
func Run(w io.Writer, asJSON bool) (err error) {
	rows := append(MeasureFlows(), MeasureMembership()...)
	configRows, err := MeasureConfig()
	if err != nil {
		return err
	}
	rows = append(rows, configRows...)
	rows = append(rows, MeasureTally()...)
	rows = append(rows, MeasureClaims()...)
	rows = append(rows, MeasureSlots()...)
	rows = append(rows, MeasureEntryDaemon()...)
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(rows)
	}
	fmt.Fprintln(w, "| role | quantity | unit | measured (size: value) | slope | at the aim |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		points := ""
		for i, size := range r.Sizes {
			points += fmt.Sprintf("%d: %.3g, ", size, r.Values[i])
		}
		perUnit, _ := r.Slope()
		fmt.Fprintf(w, "| %s | %s | %s | %s | %.3g for each 1000 %s | %.3g at %.0f %s |\n",
			r.Role, r.Quantity, r.Unit, points[:len(points)-2], 1000*perUnit, r.ScaledBy, r.AtTarget(), targetSizes[r.ScaledBy], r.ScaledBy)
	}
	return nil
}
