package forward

// Rule is why an upstream was chosen for a new flow.
type Rule string

// Rules by which an upstream is chosen.
const (
	// RuleNone means that no upstream was chosen.
	RuleNone Rule = ""
	// RuleProbe means that the flow tests whether a silent upstream answers again.
	RuleProbe Rule = "probe"
	// RuleCold means that a cold upstream has the lowest cost and this VM has some of
	// its rate of new flows left.
	RuleCold Rule = "cold"
	// RuleLowestCost means that no answering upstream costs less.
	RuleLowestCost Rule = "lowestCost"
	// RuleUnconfirmed means that all upstreams that answer may have restarted, and that
	// none of them costs less.
	RuleUnconfirmed Rule = "unconfirmed"
	// RulePanic means that only silent and avoided upstreams accept the flow, and none
	// of them costs less (panic threshold).
	RulePanic Rule = "panic"
)
