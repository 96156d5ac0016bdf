package decide

import (
	"fmt"
	"testing"
)

func TestLastingOverloadIsNotLearnedAsBestLatency(t *testing.T) {
	s := newScript(t, plainSettings(), 1)
	now := s.completeInSequence(10, 100, 5, 0, 50)
	s.completeInSequence(now, 400, 5, 0, 300)
	if !s.balancer.capacity.saturated(s.balancer.endpoints.sorted[0]) {
		t.Fatal("a latency of six times the best, for long, does not count as saturation")
	}
}

// TestClassSizeFollowsWork guards against deriving a class's size from its latency objective. An objective of 1.5 s
// plus 2.5 times the work made a class short, with the higher queue bound and used for trial requests, at 20 times the work of
// the shortest class.
func TestClassSizeFollowsWork(t *testing.T) {
	settings := plainSettings()
	settings.Classes[1].LatencyObjective, settings.Classes[1].Threads = 900, 2
	s := newScript(t, settings, 8)
	if s.balancer.estimates.classes[1].isLong {
		t.Fatal("the class is long by its settings alone, so the test checks nothing")
	}
	for i := range 40 {
		s.at(float64(100*i), RequestArrived{ID: RequestID(fmt.Sprint(i)), Class: i % 2, TimeLeft: 3000, EstimatedWork: []float64{200, 4000}[i%2]})
	}
	if !s.balancer.estimates.classes[1].isLong || s.balancer.estimates.classes[0].isLong {
		t.Fatalf("classes long: %v, %v; want false, true", s.balancer.estimates.classes[0].isLong, s.balancer.estimates.classes[1].isLong)
	}
	for id, r := range s.balancer.requests {
		if r.current.endpoint != nil {
			s.at(5000, AttemptEnded{ID: id, Endpoint: r.current.endpoint.ID, Outcome: OutcomeSucceeded, Latency: 9, RequestClosed: true})
		}
	}
	for _, e := range s.balancer.endpoints.sorted {
		if e.inFlight.threads != [2]float64{} {
			t.Fatalf("no attempt in flight, but %v threads counted", e.inFlight.threads)
		}
	}
}

// TestEstimatesAreCorrectedByBestLatency guards against using estimates uncorrected where answers don't report actual
// work. Estimates are too high or too low by class: a class estimated at a quarter of its work made every endpoint
// appear at four times its best latency.
func TestEstimatesAreCorrectedByBestLatency(t *testing.T) {
	underTwoSettings(t, func(t *testing.T, base Settings, start func(Settings, int) *script) {
		for _, estimatedWork := range []float64{1000, 4000, 16000} {
			settings := base
			settings.ActualCostReported = false
			s := start(settings, 1)
			now := Millis(0)
			for i := range 40 { // all take 1,000 ms on four threads, 4,000 ms of work
				id := RequestID(fmt.Sprint("r", i))
				s.at(now, RequestArrived{ID: id, Class: 1, Group: 1, TimeLeft: 15000, EstimatedWork: estimatedWork})
				s.at(now+1000, AttemptEnded{ID: id, Endpoint: 1, Outcome: OutcomeSucceeded, Latency: 1000, RequestClosed: true})
				now += 1000
			}
			r := &request{RequestArrived: RequestArrived{Class: 1, EstimatedWork: estimatedWork}}
			if unloadedLatency := s.balancer.estimates.unloadedLatency(r); unloadedLatency < 900 || unloadedLatency > 1100 {
				t.Errorf("estimate of %.0f ms of work: %.0f ms expected at an idle endpoint, 1,000 taken", estimatedWork, unloadedLatency)
			}
			if pressure := s.balancer.EndpointStatuses(now)[0].LatencyPressure; pressure > 0.3 {
				t.Errorf("estimate of %.0f ms of work: latency pressure %.2f at an endpoint with one query at a time", estimatedWork, pressure)
			}
		}
	})
}
