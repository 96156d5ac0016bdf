package decide

import (
	"errors"
	"fmt"
)

// ErrInvalidSettings is wrapped by the error that New returns for settings that can't be used.
var ErrInvalidSettings = errors.New("invalid settings")

// SettingsError names the first field that makes settings unusable. It wraps ErrInvalidSettings.
type SettingsError struct{ Problem SettingsProblem }

// Error returns the path of the field and the description of its problem.
func (e *SettingsError) Error() string { return e.Problem.Field + ": " + e.Problem.Message }

// Unwrap returns ErrInvalidSettings.
func (e *SettingsError) Unwrap() error { return ErrInvalidSettings }

// SettingsProblem describes one field of Settings that is invalid or can't take effect as given.
type SettingsProblem struct {
	Field       string // path in Settings, such as Classes[1].LatencyObjective
	Message     string // description of the problem
	Consequence string // effect on the balancer; empty if Fatal
	Fatal       bool   // the settings can't be used
}

// checkSettings returns a *SettingsError for the first fatal problem.
func checkSettings(s *Settings) error {
	for _, p := range ValidateSettings(s) {
		if p.Fatal {
			return &SettingsError{p}
		}
	}
	return nil
}

// Messages used for several fields.
const (
	mustBeAboveZero   = "must be above 0"
	mustNotBeNegative = "must be 0 or more"
	mustBeAtLeastOne  = "must be at least 1"
	mustBeRatio       = "must be from 0 to 1"
	usedUnchanged     = "the value is used unchanged"
)

// problemList collects problems in the order of the checks.
type problemList []SettingsProblem

// fatal adds a problem that makes the settings unusable if isInvalid is true. fieldFormat is a format
// string for the indexes.
func (l *problemList) fatal(isInvalid bool, message, fieldFormat string, indexes ...any) {
	if isInvalid {
		*l = append(*l, SettingsProblem{
			Field: fmt.Sprintf(fieldFormat, indexes...), Message: message, Fatal: true,
		})
	}
}

// warn adds a problem with its consequence if isInvalid is true.
func (l *problemList) warn(isInvalid bool, message, consequence, fieldFormat string, indexes ...any) {
	if isInvalid {
		*l = append(*l, SettingsProblem{
			Field: fmt.Sprintf(fieldFormat, indexes...), Message: message, Consequence: consequence,
		})
	}
}

// ValidateSettings returns all problems of the settings, in the order of the checks.
func ValidateSettings(s *Settings) []SettingsProblem {
	var l problemList
	l.checkFleet(s)
	l.checkBudgets(s)
	for i, k := range s.Kinds {
		l.fatal(!(k.Cores > 0), mustBeAboveZero, "Kinds[%d].Cores", i)
		l.warn(k.MemoryMB < 0, mustNotBeNegative, "the kind's memory is treated as unlimited",
			"Kinds[%d].MemoryMB", i)
	}
	for i := range s.Classes {
		l.checkClass(s, i)
	}
	l.checkFeatures(s)
	l.checkSlowStart(s)
	l.checkObservation(s)
	return l
}

func (l *problemList) checkFleet(s *Settings) {
	l.fatal(s.Balancers < 1, mustBeAtLeastOne, "Balancers")
	l.fatal(s.Balancers >= 1 && (s.BalancerIndex < 0 || s.BalancerIndex >= s.Balancers),
		"must be from 0 to Balancers-1", "BalancerIndex")
	l.fatal(len(s.Classes) == 0, "at least one is required", "Classes")
	l.fatal(len(s.Kinds) == 0, "at least one is required", "Kinds")
	l.fatal(s.MaxAttempts < 1, mustBeAtLeastOne, "MaxAttempts")
	l.fatal(!(s.TickInterval > 0), mustBeAboveZero, "TickInterval")
}

func (l *problemList) checkBudgets(s *Settings) {
	rules := s.Rules
	l.fatal(s.SubscriptionRequired && !(rules.SubscribeInterval > 0), mustBeAboveZero,
		"Rules.SubscribeInterval")
	l.fatal(rules.RetryBudgetEnabled && !(rules.RetryBudgetWindow > 0), mustBeAboveZero,
		"Rules.RetryBudgetWindow")
	l.fatal(rules.RetryBudgetRatio < 0, mustNotBeNegative, "Rules.RetryBudgetRatio")
	l.fatal(rules.RetryBudgetMin < 0, mustNotBeNegative, "Rules.RetryBudgetMin")
}

func (l *problemList) checkClass(s *Settings, i int) {
	c := s.Classes[i]
	l.fatal(c.Threads < 1, mustBeAtLeastOne, "Classes[%d].Threads", i)
	l.fatal(!(c.LatencyObjective > 0), mustBeAboveZero, "Classes[%d].LatencyObjective", i)
	l.fatal(!(c.Deadline > 0), mustBeAboveZero, "Classes[%d].Deadline", i)
	l.fatal(c.ObjectivePerWork < 0, mustNotBeNegative, "Classes[%d].ObjectivePerWork", i)
	l.fatal(c.PriorityWeight < 0, mustNotBeNegative, "Classes[%d].PriorityWeight", i)
	l.warn(c.PriorityWeight == 0, "the weight is 0",
		"pending requests of the class are started after all others", "Classes[%d].PriorityWeight", i)
	l.warn(c.LateWeightRatio < 0 || c.LateWeightRatio > 1, mustBeRatio, usedUnchanged,
		"Classes[%d].LateWeightRatio", i)
	l.warn(c.LatencyObjective > c.Deadline && c.Deadline > 0, "above the deadline",
		"an answer earns the complete weight up to the deadline", "Classes[%d].LatencyObjective", i)
	l.warn(c.Idempotency == IdempotentByKey && !(c.DedupWindow > 0),
		"must be above 0 for deduplication by key", "requests that may have run are not retried",
		"Classes[%d].DedupWindow", i)
	l.warn(c.Zones != nil && countValid(c.Zones, len(s.ZoneNames)) == 0, "contains no configured zone",
		"no endpoint may run the class: its requests wait and are rejected", "Classes[%d].Zones", i)
	l.warn(c.Kinds != nil && countValid(c.Kinds, len(s.Kinds)) == 0, "contains no configured kind",
		"no endpoint may run the class: its requests wait and are rejected", "Classes[%d].Kinds", i)
}

func (l *problemList) checkFeatures(s *Settings) {
	l.warn(s.MemoryGrantsEnabled && !(s.MaxGrantRatio > 0), "must be above 0 if memory grants are enabled",
		"no grant is requested", "MaxGrantRatio")
	l.warn(s.MaxGrantRatio < 0 || s.MaxGrantRatio > 1, mustBeRatio, usedUnchanged, "MaxGrantRatio")
	l.warn(s.ProgressInterval < 0, mustNotBeNegative, "treated as 0: no progress notices",
		"ProgressInterval")
	l.warn(s.MaxRetryAfter < 0, mustNotBeNegative, "treated as 0: rejections give no retry time",
		"MaxRetryAfter")
	l.warn(s.ProbeCost < 0, mustNotBeNegative, "treated as 0: no cost", "ProbeCost")
	l.warn(s.GossipCost < 0, mustNotBeNegative, "treated as 0: no cost", "GossipCost")
}

func (l *problemList) checkSlowStart(s *Settings) {
	rules := s.Rules
	budget := rules.SlowStartCapacityRatio * rules.OverloadRatio * rules.OverloadWindow
	l.warn(rules.SlowStartDuration > 0 && !(budget > 0),
		"the slow-start budget, its product with OverloadRatio and OverloadWindow, must be above 0",
		"an endpoint gets no requests until it has warmed up", "Rules.SlowStartCapacityRatio")
	l.warn(rules.SlowStartCapacityRatio > 1, "must be at most 1", usedUnchanged,
		"Rules.SlowStartCapacityRatio")
}

func (l *problemList) checkObservation(s *Settings) {
	l.warn(s.ProbesEnabled && !s.LoadReportsEnabled, "probes are enabled but return no load reports",
		"no probe is sent", "ProbesEnabled")
	l.warn(s.Zone < 0 || s.Zone > 0 && s.Zone >= len(s.ZoneNames), "not an index of a configured zone",
		"the zone is only used in logs", "Zone")
}

// normalizeSettings returns a copy in which negative values that ValidateSettings accepts are set to 0.
func normalizeSettings(s Settings) Settings {
	for _, v := range []*float64{&s.ProgressInterval, &s.MaxRetryAfter, &s.ProbeCost, &s.GossipCost} {
		*v = max(*v, 0)
	}
	s.Kinds = append([]EndpointKind(nil), s.Kinds...)
	for i := range s.Kinds {
		s.Kinds[i].MemoryMB = max(s.Kinds[i].MemoryMB, 0)
	}
	return s
}

// countValid counts the indexes in the list that are at least 0 and below size.
func countValid(indexes []int, size int) (valid int) {
	for _, index := range indexes {
		if index >= 0 && index < size {
			valid++
		}
	}
	return valid
}
