package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Counts holds the number of requests by result: answered within the latency target,
// answered late, or failed.
type Counts struct {
	OnTime int `json:"inAim"`
	Late   int `json:"late"`
	Failed int `json:"failed"`
}

func (c Counts) minus(other Counts) Counts {
	return Counts{OnTime: c.OnTime - other.OnTime, Late: c.Late - other.Late, Failed: c.Failed - other.Failed}
}

func (c Counts) plus(other Counts) Counts {
	return Counts{OnTime: c.OnTime + other.OnTime, Late: c.Late + other.Late, Failed: c.Failed + other.Failed}
}

// OnTimeShare returns the fraction of the requests that were answered within the
// latency target, or 1 if there were none.
func (c Counts) OnTimeShare() float64 { return share(c.OnTime, c) }

// ServedShare returns the fraction of the requests that were answered, or 1 if there
// were none.
func (c Counts) ServedShare() float64 { return share(c.OnTime+c.Late, c) }

func share(n int, of Counts) float64 {
	all := of.OnTime + of.Late + of.Failed
	if all == 0 {
		return 1
	}
	return float64(n) / float64(all)
}

// Result holds the callers' results under one policy, summed over all seeds.
type Result struct {
	Policy string `json:"policy"`
	Sum    Counts `json:"sum"`
	// Steps holds the counts of each second after the warm-up.
	Steps []Counts `json:"steps"`
	// P99Millis is the 99th percentile of the latencies of answered requests, of the seed
	// for which it is highest.
	P99Millis clock.Millis `json:"p99Millis"`
	// Resets counts the open flows that VMs reset, and SpuriousResets those whose
	// upstream was alive and reachable.
	Resets         int `json:"resets"`
	SpuriousResets int `json:"wrongResets"`
}

func (r *Result) add(step int, c Counts) {
	for len(r.Steps) <= step {
		r.Steps = append(r.Steps, Counts{})
	}
	r.Steps[step] = r.Steps[step].plus(c)
	r.Sum = r.Sum.plus(c)
}

// worstStepShare returns the lowest OnTimeShare of any second.
func (r *Result) worstStepShare() float64 {
	least := 1.0
	for _, c := range r.Steps {
		least = min(least, c.OnTimeShare())
	}
	return least
}

// Report holds the results of all policies.
type Report struct {
	Results []Result `json:"results"`
}

// Table writes the report as a table.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "policy\tin aim\tserved\tworst second\tin aim\tlate\tfailed\tp99 ms\tresets\twrong")
	for i := range r.Results {
		x := &r.Results[i]
		_, _ = fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\n", x.Policy, x.Sum.OnTimeShare(), x.Sum.ServedShare(),
			x.worstStepShare(), x.Sum.OnTime, x.Sum.Late, x.Sum.Failed, x.P99Millis, x.Resets, x.SpuriousResets)
	}
	return eris.Wrap(t.Flush(), "experiment: write table")
}

// JSON writes the report with its steps as JSON.
func (r *Report) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(r), "experiment: write JSON")
}

// Plot draws the fraction of requests on time in each second to a file, whose
// extension selects the format (svg, png or pdf).
func (r *Report) Plot(path string) (err error) {
	defer func() { err = eris.Wrapf(err, "experiment: plot %s", path) }()
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", "share in aim"
	p.Legend.Top = false
	var lines []any
	for i := range r.Results {
		points := make(plotter.XYs, len(r.Results[i].Steps))
		for j, c := range r.Results[i].Steps {
			points[j] = plotter.XY{X: float64(j + 1), Y: c.OnTimeShare()}
		}
		lines = append(lines, r.Results[i].Policy, points)
	}
	if err = plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
