package drill

import "fmt"

// The rules that runs are checked against. The values stand in results.
const (
	RuleFence        = "fence"   // no write under a lower fencing token after one under a higher
	RuleSingleOwner  = "one"     // no two processes own a job at one time, each by its own lease
	RuleLinearizable = "order"   // admitted and rejected writes are linearizable over a register that only grows
	RuleRequest      = "request" // no request is lost, and no rule of the protocol violated
	RuleProgress     = "owned"   // the jobs are done at all
	RuleRefusal      = "refused" // no grant is renewed for longer than a few keep-alives while its target refuses it
)

// Violation is one violation of a rule.
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
