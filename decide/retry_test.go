package decide

import (
	"slices"
	"testing"
)

// TestRetryPastDedupWindowFailsAtOnce checks that a retry that endpoints no longer deduplicate is answered on arrival,
// with a failure: a rejection would permit the client another retry.
func TestRetryPastDedupWindowFailsAtOnce(t *testing.T) {
	settings := plainSettings()
	settings.Classes[1].Idempotency, settings.Classes[1].DedupWindow = IdempotentByKey, 500
	s := newScript(t, settings, 3)
	s.at(1000, RequestArrived{ID: "in time", Class: 1, TimeLeft: 3000, EarlierRun: &EarlierRun{StartedAt: 501}})
	if s.sentTo("in time") == 0 {
		t.Fatalf("a retry within the deduplication window is not sent: %v", s.actions)
	}
	s.at(1001, RequestArrived{ID: "late", Class: 1, TimeLeft: 3000, EarlierRun: &EarlierRun{StartedAt: 501}})
	if s.sentTo("late") != 0 || !slices.Contains(s.actions, Action(Fail{"late"})) {
		t.Fatalf("a retry past the deduplication window is not failed: %v", s.actions)
	}
}
