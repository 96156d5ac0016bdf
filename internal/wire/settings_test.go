package wire

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
)

// TestEveryFieldOfTheSettingsIsDecoded reads testdata/settings.json, which sets each decoded field to a distinct value,
// under the JSON names of commit d9ce9f6.
func TestEveryFieldOfTheSettingsIsDecoded(t *testing.T) {
	raw, err := os.ReadFile("testdata/settings.json")
	require.NoError(t, err)
	got, err := Settings(raw)
	require.NoError(t, err)
	require.Equal(t, decide.Settings{
		Balancers:     3,
		BalancerIndex: 1,
		Classes: []decide.Class{
			{
				Name: "look", LatencyObjective: 500, ObjectivePerWork: 1.5, Deadline: 2000, PriorityWeight: 3, LateWeightRatio: 0.2,
				Threads: 1, Idempotency: decide.IdempotentAlways, DedupScope: decide.DedupFleet,
				Zones: []int{0}, Kinds: []int{1}, WaitsForLocks: true,
			},
			{
				Name: "load", LatencyObjective: 4000, ObjectivePerWork: 2.5, Deadline: 20000, PriorityWeight: 30, LateWeightRatio: 0.1,
				Threads: 4, Idempotency: decide.IdempotentByKey, DedupScope: decide.DedupCell, DedupWindow: 1500, OrderedByKey: true,
				LocksGroup: true,
			},
		},
		Tenants: []decide.Tenant{{QuotaPerSecond: 40, WeightShare: 0.75}, {QuotaPerSecond: 10, WeightShare: 0.25}},
		Kinds:   []decide.EndpointKind{{Cores: 16, MemoryMB: 65536}, {Cores: 32, MemoryMB: 131072}},
		Rules: decide.Rules{
			AnswerSlack: 20, SlowStartCapacityRatio: 0.3, SlowStartDuration: 12000, OverloadRatio: 2.5, OverloadWindow: 1500,
			DrainGrace: 1000, SubscribeInterval: 9000, KeyOrderDelay: 200,
			RetryBudgetEnabled: true, RetryBudgetMin: 2, RetryBudgetRatio: 0.1, RetryBudgetWindow: 5000,
		},
		TickInterval: 5, MaxAttempts: 4,
		CancellationEnabled: true, ConcurrentAttemptsEnabled: true, ProbesEnabled: true, LoadReportsEnabled: true, GossipEnabled: true,
		SubscriptionRequired: true, MemoryGrantsEnabled: true, PrioritiesEnabled: true, ActualCostReported: true,
		ProbeCost: 0.02, GossipCost: 0.01, MaxRetryAfter: 501, ProgressInterval: 1000,
		MemoryExhaustion: decide.MemoryExhaustionOvercommits, MaxGrantRatio: 0.4, OverQuotaWeightRatio: 0.25,
		KindNames: []string{"std-16", "big-32"}, ZoneNames: []string{"a", "b"}, Zone: 1,
		ConnectTimeout: 251, IdleConnectionTimeout: 10001, MaxOpenRequests: 12001, LoadReportFields: []string{"inflight", "x0"},
	}, got)
}
