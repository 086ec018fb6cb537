package main

import (
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"

	"github.com/amaranthswitch/amaranthswitch/fleet/forward"
)

// whereAnswer holds the fields of a VM's answer that the table shows.
type whereAnswer struct {
	VM            string              `json:"vm"`
	Domain        string              `json:"domain"`
	Version       uint64              `json:"version"`
	Revision      uint64              `json:"revision"`
	CopyAgeMillis int64               `json:"copyAgeMillis"`
	To            netip.AddrPort      `json:"to"`
	From          netip.AddrPort      `json:"from"`
	FromAssumed   bool                `json:"fromAssumed"`
	Placement     forward.Explanation `json:"placement"`
}

// ruleTexts describes the rules by which an upstream is chosen.
var ruleTexts = map[forward.Rule]string{
	forward.RuleProbe:       "a probe, to see whether it answers again",
	forward.RuleCold:        "lowest cost, cold, and this VM has some of its rate left",
	forward.RuleLowestCost:  "lowest cost of those that answer",
	forward.RuleUnconfirmed: "lowest cost, as all others may have restarted or do not answer",
	forward.RulePanic:       "lowest cost, as no upstream is known to answer",
}

// print writes the answer as text with a table of the candidates.
func (a *whereAnswer) print(w io.Writer) error {
	fmt.Fprintf(w, "%s in failure domain %s: configuration %d, revision %d, copy confirmed %d ms ago\n",
		a.VM, a.Domain, a.Version, a.Revision, a.CopyAgeMillis)
	p := &a.Placement
	fmt.Fprintf(w, "flow from %s to %s: %s\n", a.From, a.To, decisionText(p))
	if a.FromAssumed {
		fmt.Fprintln(w, "--from is missing, so the caller is an example. The caller decides among upstreams of equal cost (tie break) and among the services of a route.")
	}
	if p.Service == "" {
		return nil
	}
	length := "one request"
	if p.Long {
		length = "many requests"
	}
	fmt.Fprintf(w, "route %s, priority %d, service %s, %s expected\n", p.Route, p.Priority, p.Service, length)
	if text := admissionText(&p.Admission); text != "" {
		fmt.Fprintln(w, "admission:", text)
	}
	fmt.Fprintln(w)
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "UPSTREAM\tADDRESS\tDOMAIN\tCOST\tIN FLIGHT\tEXPECTED\tSLOTS\tSLOWNESS\tOWN REJECTIONS\tEXCESS REJECTIONS\tHEALTH\tCLASS\tNEW FLOWS")
	for i := range p.Candidates {
		c := &p.Candidates[i]
		fmt.Fprintf(tw, "%s\t%s\t%s\t%.4f\t%.2f\t%.2f\t%d\t%.2f\t%.2f\t%.2f\t%s\t%s\t%s\n",
			c.ID, c.Address, c.Domain, c.Cost, c.InFlight, c.Expected, c.Slots,
			c.Slowness, c.OwnRejections, c.ExcessRejections, c.Health, c.Class, newFlowsText(c, p))
	}
	return tw.Flush()
}

// decisionText describes what would become of the flow.
func decisionText(p *forward.Explanation) string {
	if p.Upstream == "" {
		return fmt.Sprintf("%s (%s)", p.Action, p.Reason)
	}
	text, ok := ruleTexts[p.Rule]
	if !ok { // a later version of the VM
		text = string(p.Rule)
	}
	return fmt.Sprintf("%s to %s (%s)", p.Action, p.Upstream, text)
}

// admissionText describes the decision of the admission control with the figures that
// decided. It is empty if the flow has no route, or if an earlier version of the VM tells
// nothing about it.
func admissionText(x *forward.ExplainedAdmission) string {
	if x.Verdict == "" {
		return ""
	}
	if !x.Controlled {
		return "all flows are placed, since the routes of the service have one priority"
	}
	text := x.Verdict
	if x.RoomOverrides {
		text += ", but placed since the upstream of lowest cost has room"
	}
	return fmt.Sprintf("%s (share %.2f of such flows is admitted, pressure %.2f, limit %.2f)", text, x.Share, x.Pressure, x.Limit)
}

// newFlowsText describes whether a candidate gets new flows.
func newFlowsText(c *forward.ExplainedCandidate, p *forward.Explanation) string {
	switch {
	case c.ID == p.Upstream:
		return "this one"
	case !c.Accepts:
		return "no: " + string(c.Closed)
	case c.Cold && !c.ColdShare:
		return "no share of the rate left"
	case c.Cold:
		return "at a limited rate"
	case c.ProbeDue:
		return "probe due"
	case c.Class != "answering":
		return "probes only"
	}
	return "yes"
}
