package observer_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/emulator/observer"
)

// Operators read violations as a line of text. Reports store them as JSON, which the text must not change.
func TestRuleViolationsTextAndJSON(t *testing.T) {
	violations := observer.RuleViolations{Rule: observer.RuleOneAnswer, Count: 2, AtMS: 3545.4486, First: "request 1.1: not answered"}
	require.Equal(t, "one_answer: violations: 2, first at 3545.4 ms: request 1.1: not answered", violations.String())
	raw, err := json.Marshal(violations)
	require.NoError(t, err)
	require.JSONEq(t, `{"rule":"one_answer","count":2,"first_at_ms":3545.4486,"first":"request 1.1: not answered"}`, string(raw))
}
