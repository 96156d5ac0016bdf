package decide

import (
	"fmt"
	"testing"
)

// orderedSettings returns settings whose long class runs requests with the same key in order.
func orderedSettings() Settings {
	settings := plainSettings()
	settings.Rules.KeyOrderDelay = 0
	settings.Classes[1].OrderedByKey, settings.Classes[1].Idempotency, settings.Classes[1].DedupWindow = true, IdempotentByKey, 20000
	return settings
}

// TestWaitingForKeyIsNotLackOfCapacity guards against treating a request that waits for its key as one that found no
// capacity: the queue of a key then stood still for seconds while no request of the key was running.
func TestWaitingForKeyIsNotLackOfCapacity(t *testing.T) {
	s := newScript(t, orderedSettings(), 4)
	openRequests := map[RequestID]bool{}
	for i := range 40 {
		id := RequestID(fmt.Sprint("k", i))
		s.at(1, RequestArrived{ID: id, Class: 1, Key: 7, HasKey: true, TimeLeft: 15000, EstimatedWork: 1000 - float64(20*i)})
		openRequests[id] = true
	}
	runningID, e := RequestID("k0"), EndpointID(0)
	for now := Millis(2); len(openRequests) > 1; now++ {
		if e == 0 {
			e = s.balancer.requests[runningID].current.endpoint.ID
		}
		delete(openRequests, runningID)
		s.at(now, AttemptEnded{ID: runningID, Endpoint: e, Outcome: OutcomeSucceeded, Latency: 1, RequestClosed: true})
		runningID, e = "", 0
		for id := range openRequests {
			if target := s.sentTo(id); target != 0 {
				runningID, e = id, target
			}
		}
		if runningID == "" {
			t.Fatalf("%d requests wait for one key and none runs", len(openRequests))
		}
	}
}

func TestEmptyKeyQueuesAreDropped(t *testing.T) {
	s := newScript(t, orderedSettings(), 4)
	for i := range 20 {
		id, now := RequestID(fmt.Sprint("k", i)), float64(10*i)
		s.at(now, RequestArrived{ID: id, Class: 1, Key: uint64(i), HasKey: true, TimeLeft: 4000})
		s.at(now+5, AttemptEnded{ID: id, Endpoint: s.sentTo(id), Outcome: OutcomeTimeout, RequestClosed: true})
	}
	s.at(1000, TimerFired{"tick"})
	if len(s.balancer.keyOrder.queues) > 0 {
		t.Fatalf("%d empty key queues are kept", len(s.balancer.keyOrder.queues))
	}
}
