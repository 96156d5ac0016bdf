package decide

import (
	"fmt"
	"testing"
)

func TestAttemptThatCannotEndInTimeIsCancelled(t *testing.T) {
	settings := plainSettings()
	settings.ProgressInterval, settings.MaxAttempts = 500, 1
	s := newScript(t, settings, 2)
	s.at(0, RequestArrived{ID: "heavy", Class: 1, Group: 5, TimeLeft: 15000})
	s.at(1000, AttemptProgress{ID: "heavy", Kind: ProgressRatio, Value: 0.01})
	if !s.rejected("heavy") || !s.cancelled("heavy") {
		t.Fatalf("attempt projected to take 100 s goes on with 15 s left: %v", s.actions)
	}
}

func TestSlowPlanIsRetriedElsewhere(t *testing.T) {
	settings := plainSettings()
	settings.ProgressInterval = 500
	s := newScript(t, settings, 2)
	s.at(0, RequestArrived{ID: "r", Class: 1, Group: 5, TimeLeft: 15000, EstimatedWork: 3000})
	s.at(500, AttemptProgress{ID: "r", Kind: ProgressRatio, Value: 0.05})
	if !s.cancelled("r") || s.rejected("r") {
		t.Fatalf("attempt projected to take 10 s instead of 0.75 s is not cancelled for a retry: %v", s.actions)
	}
}

// TestUniformSlownessCancelsNoAttempt checks that slow progress counts as latency pressure of the endpoint before it
// counts as a bad query plan: an attempt as slow as all others is not cancelled for a retry.
func TestUniformSlownessCancelsNoAttempt(t *testing.T) {
	settings := plainSettings()
	settings.ProgressInterval = 500
	s := newScript(t, settings, 1)
	now := s.completeInSequence(10, 30, 5, 0, 50)
	cancelCount := 0
	for i := range 40 {
		id := RequestID(fmt.Sprint(i))
		s.at(now, RequestArrived{ID: id, Group: 5, TimeLeft: 3000})
		if s.sentTo(id) == 0 {
			continue
		}
		now += 500
		s.at(now, AttemptProgress{ID: id, Kind: ProgressRatio, Value: 0.9}) // projected to over ten times the usual latency
		if s.cancelled(id) && i >= 20 {
			cancelCount++
		}
		s.at(now, AttemptEnded{ID: id, Endpoint: 1, Outcome: OutcomeSucceeded, Latency: 500, RequestClosed: true})
	}
	if cancelCount > 0 {
		t.Fatalf("%d of the last attempts cancelled though all are equally slow", cancelCount)
	}
}

// TestReplansStayWithinBudget checks that few attempts are cancelled for slow progress where overloaded endpoints make
// many of them slow, and that a rare bad plan is still cancelled.
func TestReplansStayWithinBudget(t *testing.T) {
	for _, c := range []struct{ slowEvery, minCancels, maxCancels int }{{4, 4, 25}, {50, 4, 4}} {
		settings := plainSettings()
		settings.ProgressInterval = 500
		s := newScript(t, settings, 4)
		cancelCount := 0
		for i := range 200 {
			id, now := RequestID(fmt.Sprint(i)), Millis(1000+i*1000)
			s.at(now, RequestArrived{ID: id, Class: 1, Group: uint64(i), TimeLeft: 15000, EstimatedWork: 3000})
			e := s.sentTo(id)
			progress := 0.5
			if i%c.slowEvery == 0 {
				progress = 0.06
			}
			s.at(now+500, AttemptProgress{ID: id, Kind: ProgressRatio, Value: progress})
			if s.cancelled(id) {
				cancelCount++
			}
			s.at(now+900, AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeSucceeded, Latency: 900, RequestClosed: true})
		}
		if cancelCount < c.minCancels || cancelCount > c.maxCancels {
			t.Fatalf("every %dth attempt slow: %d of 200 cancelled for slow progress", c.slowEvery, cancelCount)
		}
	}
}

// TestGrantsFollowSpills guards against grants that ignore spill notices: where estimates of memory are too low by
// class and answers don't report actual memory, half of the queries spilled.
func TestGrantsFollowSpills(t *testing.T) {
	settings := plainSettings()
	settings.MemoryGrantsEnabled, settings.ProgressInterval, settings.MaxGrantRatio = true, 1000, 0.4
	s := newScript(t, settings, 4)
	var grantMB float64
	for i := range 40 {
		id, now := RequestID(fmt.Sprint("m", i)), float64(3000*i)
		s.at(now, RequestArrived{ID: id, Class: 1, TimeLeft: 15000, EstimatedWork: 4000, EstimatedMemoryMB: 200})
		e := s.sentTo(id)
		grantMB = 250 // MB, the default grant of an endpoint
		for _, a := range s.actions {
			if resources, ok := a.(SetAttemptResources); ok {
				grantMB = resources.GrantMB
			}
		}
		if grantMB < 600 {
			s.at(now+1000, AttemptProgress{ID: id, Kind: ProgressSpilled, Value: 600 - grantMB})
		}
		s.at(now+2000, AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeSucceeded, Latency: 2000, RequestClosed: true})
	}
	if grantMB < 550 || grantMB > 900 {
		t.Fatalf("last grant is %.0f MB, 600 MB are needed", grantMB)
	}
}
