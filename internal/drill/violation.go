package drill

import "fmt"

// The rules that runs are checked against. The values are written to results.
const (
	RuleFence        = "fence"   // no target admits a write whose fencing token is lower than that of an earlier write
	RuleSingleOwner  = "one"     // no two processes hold the lease of a job at the same time, each by its own clock
	RuleLinearizable = "order"   // writes are linearizable over a register whose fencing token never decreases
	RuleRequest      = "request" // no request is lost, no rule of package observer is violated, and each process starts
	RuleProgress     = "owned"   // the owner of lease.JobPruneRecord writes to the query record
	RuleRefusal      = "refused" // no grant is renewed for more than maxRefusedKeepAlives while its target rejects its writes
)

// Violation describes one violation of a rule, with its evidence.
type Violation struct {
	Rule     string   `json:"rule"`
	Process  string   `json:"process"`
	AtMS     float64  `json:"at_ms"`
	Detail   string   `json:"says"`
	Evidence []string `json:"evidence,omitempty"`
}

// String returns the rule, the process, the time and the detail.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s at %.0f ms: %s", v.Rule, v.Process, v.AtMS, v.Detail)
}
