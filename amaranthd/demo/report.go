package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/amaranthswitch/amaranthswitch/fleet/clock"
	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/standin/caller"
	"github.com/amaranthswitch/amaranthswitch/standin/site"
)

// Report is the result of a demo. Its first three fields are the figures by which
// users judge the load balancer.
type Report struct {
	// BrokenFlows counts flows that broke although their failure domain stayed
	// in service.
	BrokenFlows int `json:"broken"`
	// Imbalance is the maximum number of open flows per upstream divided by
	// the mean.
	Imbalance float64 `json:"imbalance"`
	// Availability is the share of requests answered, from 0 to 1, among those sent
	// after a failure domain was taken out.
	Availability float64 `json:"service"`

	Seed    uint64 `json:"seed"`
	Daemons int    `json:"daemons"`
	// RandomImbalance is the expected Imbalance if upstreams are chosen at
	// random.
	RandomImbalance    float64      `json:"randomImbalance"`
	LoadVariation      float64      `json:"coefficientOfVariation"`
	LongestStallMillis clock.Millis `json:"longestStallMillis"`
	FlowsOpened        int          `json:"flowsOpened"`
	FlowsOpen          int          `json:"flowsOpen"`
	// FlowsEndedWithDomain counts flows that ended because their failure domain
	// was taken out.
	FlowsEndedWithDomain int `json:"flowsEndedWithDomain"`

	Requests  map[caller.Outcome]int `json:"requests"`
	P50Millis clock.Millis           `json:"requestP50Millis"`
	P99Millis clock.Millis           `json:"requestP99Millis"`
	// RequestsLost counts requests that failed or got the response of another
	// request, RequestsRunTwice those that ran twice, and RequestsFalselyNotRun
	// those that ran although they were reported to the caller as not run.
	RequestsLost          int `json:"requestsLost"`
	RequestsRunTwice      int `json:"requestsRunTwice"`
	RequestsFalselyNotRun int `json:"requestsFalselyNotRun"`
}

// report summarizes a demo whose failure domain was taken out at time left.
func report(s *site.Site, o Options, results []caller.RequestResult, left time.Time) Report {
	flows, requests := s.Flows.Summary(), caller.Summarize(results, s.Runs())
	r := Report{
		Seed: o.Seed, Daemons: len(s.VMs), BrokenFlows: flows.Broken, Availability: availability(results, left),
		LongestStallMillis: clock.FromDuration(flows.LongestStall), FlowsOpened: flows.Opened, FlowsOpen: flows.Open, FlowsEndedWithDomain: flows.ExpectedBreaks,
		Requests: requests.ByOutcome, P50Millis: clock.FromDuration(requests.P50), P99Millis: clock.FromDuration(requests.P99),
		RequestsLost:     requests.ByOutcome[caller.Failed] + requests.ByOutcome[caller.Mismatched],
		RequestsRunTwice: requests.RanTwice, RequestsFalselyNotRun: requests.FalseNotRun,
	}
	var loads []float64
	for _, u := range s.Config.Services[0].Upstreams {
		if u.State == config.UpstreamActive && u.Domain != removedDomain {
			loads = append(loads, float64(flows.ByServer[string(u.Name)]))
		}
	}
	r.Imbalance, r.LoadVariation = Imbalance(loads)
	r.RandomImbalance = randomImbalance(loads)
	return r
}

// availability returns the share of requests answered among those sent at or
// after the given time.
func availability(results []caller.RequestResult, after time.Time) float64 {
	asked, answered := 0, 0
	for i := range results {
		if results[i].Sent.Before(after) {
			continue
		}
		asked++
		if results[i].Outcome == caller.Answered {
			answered++
		}
	}
	return float64(answered) / float64(max(1, asked))
}

// Imbalance returns the maximum load divided by the mean, and the coefficient of
// variation of the loads. Both are zero if the mean is zero.
func Imbalance(loads []float64) (maxOverMean, variation float64) {
	sum, top := 0.0, 0.0
	for _, l := range loads {
		sum += l
		top = max(top, l)
	}
	mean := sum / float64(len(loads))
	if mean == 0 {
		return 0, 0
	}
	squares := 0.0
	for _, l := range loads {
		squares += (l - mean) * (l - mean)
	}
	return top / mean, math.Sqrt(squares/float64(len(loads))) / mean
}

// randomImbalance approximates the expected imbalance if each flow chose its
// upstream at random: the maximum of n Poisson counts.
func randomImbalance(loads []float64) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += l
	}
	n := float64(len(loads))
	if sum == 0 || n < 2 {
		return 1
	}
	return 1 + math.Sqrt(2*math.Log(n)*n/sum)
}

// write prints the report as JSON or as a table.
func write(w io.Writer, o Options, r Report) error {
	if o.JSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	rows := []struct {
		name, value string
	}{
		{"broken flows", fmt.Sprint(r.BrokenFlows)},
		{"imbalance, max/mean", fmt.Sprintf("%.3f (%.3f by random choice)", r.Imbalance, r.RandomImbalance)},
		{"service while a domain is away", fmt.Sprintf("%.4f", r.Availability)},
		{"flows opened", fmt.Sprint(r.FlowsOpened)},
		{"flows ended with their domain", fmt.Sprint(r.FlowsEndedWithDomain)},
		{"imbalance, coefficient of variation", fmt.Sprintf("%.3f", r.LoadVariation)},
		{"longest stall of a flow", fmt.Sprintf("%d ms", r.LongestStallMillis)},
		{"requests answered", fmt.Sprint(r.Requests[caller.Answered])},
		{"requests refused as not run", fmt.Sprint(r.Requests[caller.NotRun])},
		{"requests refused as unknown or ran", fmt.Sprint(r.Requests[caller.Unknown] + r.Requests[caller.Ran])},
		{"requests lost", fmt.Sprint(r.RequestsLost)},
		{"requests run twice", fmt.Sprint(r.RequestsRunTwice)},
		{"requests falsely called not run", fmt.Sprint(r.RequestsFalselyNotRun)},
	}
	fmt.Fprintln(w)
	for _, row := range rows {
		if _, err := fmt.Fprintf(w, "%-36s %s\n", row.name, row.value); err != nil {
			return err
		}
	}
	return nil
}
