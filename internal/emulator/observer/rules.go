package observer

import (
	"fmt"
	"math"
	"slices"

	"aniseloft/decide"
)

// Names of the rules, as reports have them.
const (
	RuleOneAnswer          = "one_answer"  // each request gets one final answer, in time
	RuleNoDuplicateEffects = "effects"     // a request that is not idempotent is not retried or rejected once it may have run
	RuleDrain              = "drains"      // no attempt is sent to an engine that drains or was removed
	RuleSlowStart          = "fail_back"   // no engine fails of overload while it warms up
	RuleKeyOrder           = "order"       // requests of one key run one at a time, in order of arrival
	RulePlacement          = "placement"   // attempts go to allowed zones only
	RuleRetryBudget        = "ration"      // a coordinator's retries stay within their budget
	RuleMaxAttempts        = "attempts"    // no request has more attempts than allowed
	RuleRanOnce            = "ran_twice"   // no request that is not idempotent starts twice at engines
	RuleKnownEndpoint      = "unknown_way" // no attempt is sent to an engine that was never listed
)

// RuleNames lists all rules in the order of reports.
var RuleNames = []string{RuleOneAnswer, RuleNoDuplicateEffects, RuleDrain, RuleSlowStart, RuleKeyOrder, RulePlacement, RuleRetryBudget, RuleMaxAttempts, RuleRanOnce, RuleKnownEndpoint}

// RuleViolations are the violations of one rule.
type RuleViolations struct {
	Rule  string  `json:"rule"`
	Count int     `json:"count"`
	AtMS  float64 `json:"first_at_ms,omitempty"`
	First string  `json:"first,omitempty"`
}

// String returns the rule, the number of violations, and the time and description of the first one.
func (v RuleViolations) String() string {
	return fmt.Sprintf("%s: violations: %d, first at %.1f ms: %s", v.Rule, v.Count, v.AtMS, v.First)
}

// Violate records a violation of a rule. Violations may be recorded in any order; the report names the earliest.
func (o *Observer) Violate(rule string, at float64, format string, args ...any) {
	v := o.violations[rule]
	if v == nil {
		v = &RuleViolations{Rule: rule, AtMS: math.Inf(1)}
		o.violations[rule] = v
	}
	v.Count++
	if at = round(at); at < v.AtMS {
		v.AtMS, v.First = at, fmt.Sprintf(format, args...)
	}
}

// checkPlacement checks that an attempt goes to a listed engine that does not drain, in an allowed zone.
func (o *Observer) checkPlacement(at float64, coord int, r *Request, id decide.EndpointID, zone int) {
	n, ok := o.notified[coord][id]
	switch limit := o.scenario.Rules.DrainGraceMS + o.timeSlackMS; {
	case r.excused: // the coordinator crashed or was paused meanwhile
	case !ok:
		o.Violate(RuleKnownEndpoint, at, "%s: engine %d was never listed to coordinator %d", r.Name, id, coord)
	case n.state != decide.EndpointReady && at > n.notifiedAt+limit:
		o.Violate(RuleDrain, at, "%s: sent to engine %d, %.0f ms after coordinator %d was notified that it drains or was removed", r.Name, id, at-n.notifiedAt, coord)
	}
	if zones := o.scenario.Classes[r.Class].AllowedZones; len(zones) > 0 && !slices.Contains(zones, zone) {
		o.Violate(RulePlacement, at, "%s: sent to zone %d, which its class does not allow", r.Name, zone)
	}
}

// checkKeyOrder checks that a request is the first of its key, and that the key has settled after an attempt with an unknown
// outcome.
func (o *Observer) checkKeyOrder(at float64, coord int, r *Request) {
	if !o.scenario.Classes[r.Class].OrderedByKey {
		return
	}
	if queue := o.keys[coord][r.Key]; len(queue) > 0 && queue[0] != r {
		o.Violate(RuleKeyOrder, at, "%s: sent before %s, an earlier request of its key", r.Name, queue[0].Name)
	} else if at < o.settledAt[coord][r.Key] && r.sends == 1 {
		o.Violate(RuleKeyOrder, at, "%s: sent before its key settled after an unknown outcome", r.Name)
	}
}

// checkRetryBudget checks the retries of a coordinator within the retry window against the requests it received.
func (o *Observer) checkRetryBudget(at float64, coord int, r *Request) {
	rules := o.scenario.Rules
	if rules.RetryRatio == nil {
		return
	}
	inWindow := func(times []float64) []float64 {
		for len(times) > 0 && times[0] < at-rules.RetryWindowMS {
			times = times[1:]
		}
		return times
	}
	o.retries[coord] = append(inWindow(o.retries[coord]), at)
	o.received[coord] = inWindow(o.received[coord])
	if n := float64(len(o.retries[coord])); n > rules.SpareAttempts+*rules.RetryRatio*float64(len(o.received[coord])) {
		o.Violate(RuleRetryBudget, at, "%s: retry %.0f with %d requests received, within the retry window", r.Name, n, len(o.received[coord]))
	}
}
