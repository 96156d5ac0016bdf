package decide

import (
	"fmt"
	"testing"
)

// script drives a Balancer with events at given times.
type script struct {
	test          *testing.T
	balancer      *Balancer
	actions       []Action // of the last event
	answersProbes bool     // each probe is answered at once, as by an idle endpoint
}

// plainSettings returns the settings of one balancer with a short and a long class and no optional feature except
// cancellation.
func plainSettings() Settings {
	return Settings{Balancers: 1, TickInterval: 5, MaxAttempts: 4, CancellationEnabled: true, Kinds: []EndpointKind{{8, 16384}},
		Classes: []Class{{LatencyObjective: 500, Deadline: 3000, ObjectivePerWork: 2, PriorityWeight: 1, LateWeightRatio: 0.1, Threads: 1},
			{LatencyObjective: 2000, Deadline: 15000, ObjectivePerWork: 2.5, PriorityWeight: 10, LateWeightRatio: 0.3, Threads: 4}},
		Rules: Rules{AnswerSlack: 20, SlowStartCapacityRatio: 0.3, SlowStartDuration: 12000, OverloadRatio: 2.5, OverloadWindow: 1500,
			DrainGrace: 1000, SubscribeInterval: 10000, KeyOrderDelay: 200}}
}

// newScript starts a balancer with n ready endpoints, numbered from 1.
func newScript(t *testing.T, settings Settings, n int) *script {
	t.Helper()
	b, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := &script{test: t, balancer: b}
	var entries []EndpointInfo
	for i := 1; i <= n; i++ {
		entries = append(entries, EndpointInfo{ID: EndpointID(i), State: EndpointReady})
	}
	s.at(0, EndpointUpdate{Kind: UpdateCached, Entries: entries})
	return s
}

// at handles an event, without a pause of the balancer before it.
func (s *script) at(now Millis, ev Event) {
	s.balancer.timerDue = now
	s.actions = s.balancer.Handle(now, ev)
	for i := 0; s.answersProbes && i < len(s.actions); i++ {
		if p, ok := s.actions[i].(Probe); ok {
			s.actions = append(s.actions, s.balancer.Handle(now, ProbeEnded{Endpoint: p.Endpoint, Outcome: OutcomeSucceeded, Load: &LoadReport{Queue: -1, Latency: -1}})...)
		}
	}
}

// underTwoSettings runs a test under two settings that differ in every optional feature, because a fix has to hold for
// any settings. A test overrides only the feature that it is about.
func underTwoSettings(t *testing.T, test func(t *testing.T, settings Settings, start func(settings Settings, n int) *script)) {
	t.Helper()
	withProbes := plainSettings()
	withProbes.ProbesEnabled, withProbes.LoadReportsEnabled, withProbes.ProbeCost = true, true, 0.001
	withProbes.MemoryGrantsEnabled, withProbes.MaxGrantRatio, withProbes.PrioritiesEnabled, withProbes.ActualCostReported = true, 0.4, true, true
	withProbes.MemoryExhaustion, withProbes.MaxRetryAfter, withProbes.GossipEnabled, withProbes.ProgressInterval = MemoryExhaustionQueues, 500, false, 0
	withProbes.Classes[1].Idempotency = NotIdempotent
	withGossip := plainSettings()
	withGossip.ProbesEnabled, withGossip.LoadReportsEnabled, withGossip.GossipCost = false, true, 0.012
	withGossip.MemoryGrantsEnabled, withGossip.MaxGrantRatio, withGossip.PrioritiesEnabled, withGossip.ActualCostReported = false, 0.4, false, false
	withGossip.MemoryExhaustion, withGossip.MaxRetryAfter, withGossip.GossipEnabled, withGossip.ProgressInterval = MemoryExhaustionOvercommits, 0, true, 1000
	withGossip.Classes[1].Idempotency, withGossip.Classes[1].DedupWindow, withGossip.Classes[1].DedupScope = IdempotentByKey, 12000, DedupFleet
	withGossip.Rules.RetryBudgetEnabled, withGossip.Rules.RetryBudgetMin, withGossip.Rules.RetryBudgetRatio, withGossip.Rules.RetryBudgetWindow = true, 2, 0.1, 5000
	for name, settings := range map[string]Settings{"probes and grants": withProbes, "gossip and deduplication": withGossip} {
		t.Run(name, func(t *testing.T) {
			test(t, settings, func(settings Settings, n int) *script {
				s := newScript(t, settings, n)
				s.answersProbes = true
				return s
			})
		})
	}
}

// sentTo returns the endpoint that the last event sent the request to; 0: none.
func (s *script) sentTo(id RequestID) EndpointID {
	for _, a := range s.actions {
		if send, ok := a.(StartAttempt); ok && send.ID == id {
			return send.Endpoint
		}
	}
	return 0
}

func (s *script) rejected(id RequestID) bool {
	for _, a := range s.actions {
		if r, ok := a.(Reject); ok && r.ID == id {
			return true
		}
	}
	return false
}

func (s *script) cancelled(id RequestID) bool {
	for _, a := range s.actions {
		if c, ok := a.(CancelAttempt); ok && c.ID == id {
			return true
		}
	}
	return false
}

// completeInSequence runs n requests of one group and class in sequence, each with the given latency, and returns the
// time after them.
func (s *script) completeInSequence(from Millis, n int, group uint64, class int, latency Millis) Millis {
	s.test.Helper()
	for i := range n {
		id := RequestID(fmt.Sprintf("teach-%v-%d-%d", from, group, i))
		s.at(from, RequestArrived{ID: id, Class: class, Group: group, TimeLeft: 3000})
		e := s.sentTo(id)
		if e == 0 {
			s.test.Fatalf("%s not sent to any endpoint", id)
		}
		from += latency
		s.at(from, AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeSucceeded, Latency: latency, RequestClosed: true})
	}
	return from
}
