package decide

import (
	"fmt"
	"testing"
)

// TestSparseTrafficProbesEndpoints guards against placement without current load: each of hundreds of balancers had an
// answer from an endpoint only once in many seconds, and endpoints had from 1 to 65 queries in flight. Of the probed
// endpoints, the one that reports the least load gets the request.
func TestSparseTrafficProbesEndpoints(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.ProbesEnabled, settings.LoadReportsEnabled = 300, true, true
	s := newScript(t, settings, 20)
	s.at(10, RequestArrived{ID: "a", Group: 5, TimeLeft: 3000})
	var probedEndpoints []EndpointID
	for _, a := range s.actions {
		if p, ok := a.(Probe); ok {
			probedEndpoints = append(probedEndpoints, p.Endpoint)
		}
	}
	if len(probedEndpoints) < 2 || s.sentTo("a") != 0 {
		t.Fatalf("probed %v, sent to %d", probedEndpoints, s.sentTo("a"))
	}
	for i, e := range probedEndpoints {
		if s.sentTo("a") != 0 {
			t.Fatal("sent before all probes were answered")
		}
		s.at(12+float64(i), ProbeEnded{Endpoint: e, Outcome: OutcomeSucceeded, Load: &LoadReport{InFlight: float64(40 - 10*i)}})
	}
	if target := s.sentTo("a"); target != probedEndpoints[len(probedEndpoints)-1] {
		t.Fatalf("sent to %d of %v, the last one reports the least load", target, probedEndpoints)
	}
}

// TestUnansweredProbesDoNotBlockRequests checks that a request waits for a probe for one housekeeping period at most,
// and that the end of a probe reported twice, or for an unknown endpoint, changes nothing.
func TestUnansweredProbesDoNotBlockRequests(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.ProbesEnabled, settings.LoadReportsEnabled = 300, true, true
	s := newScript(t, settings, 5)
	s.at(10, RequestArrived{ID: "a", Group: 5, TimeLeft: 3000})
	s.at(11, ProbeEnded{Endpoint: 77, Outcome: OutcomeTimeout})
	if s.sentTo("a") != 0 {
		t.Fatal("sent without waiting for probes")
	}
	s.at(10+10*5+1, TimerFired{"tick"})
	target := s.sentTo("a")
	if target == 0 {
		t.Fatal("still pending after one housekeeping period")
	}
	for range 2 {
		s.at(62, ProbeEnded{Endpoint: target, Outcome: OutcomeConnectFailed})
	}
	if e := s.balancer.endpoints.byID[target]; !e.health.processDown || e.health.failedTrials > 0 {
		t.Fatalf("process down %v, %d failed trials after one failed probe reported twice", e.health.processDown, e.health.failedTrials)
	}
}

// TestProbesStayWithinBudget checks that the cost of probes stays within probeBudget.
func TestProbesStayWithinBudget(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.ProbesEnabled, settings.LoadReportsEnabled, settings.ProbeCost = 300, true, true, 0.05
	s := newScript(t, settings, 40)
	probeCount := 0
	for i := range 400 {
		id, now := RequestID(fmt.Sprint("p", i)), float64(400*i)
		s.at(now, RequestArrived{ID: id, Group: uint64(i), TimeLeft: 3000})
		for _, a := range s.actions {
			if p, ok := a.(Probe); ok {
				probeCount++
				s.at(now+1, ProbeEnded{Endpoint: p.Endpoint, Outcome: OutcomeSucceeded, Load: &LoadReport{}})
			}
		}
		if r := s.balancer.requests[id]; r != nil && r.current.endpoint != nil {
			s.at(now+2, AttemptEnded{ID: id, Endpoint: r.current.endpoint.ID, Outcome: OutcomeSucceeded, Latency: 5, RequestClosed: true})
		}
	}
	if cost := float64(probeCount) / 400 * settings.ProbeCost; probeCount == 0 || cost > probeBudget*1.05 {
		t.Fatalf("%d probes for 400 queries cost %.4f of the result", probeCount, cost)
	}
}

// TestExpensiveProbesAreForLongQueries guards against short queries that use up the probe budget where probes are
// expensive: most long queries of 80 balancers then went, without a probe, to endpoints with 40 or more in flight. Long
// queries get nearly the complete budget.
func TestExpensiveProbesAreForLongQueries(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.ProbesEnabled, settings.LoadReportsEnabled, settings.ProbeCost = 80, true, true, 0.08
	s := newScript(t, settings, 30)
	var probeCounts [2]int
	for i := range 500 {
		id, now, class := RequestID(fmt.Sprint("p", i)), float64(150*i), 0
		if i%5 == 4 {
			class = 1
		}
		s.at(now, RequestArrived{ID: id, Class: class, Group: uint64(i % 72), TimeLeft: 3000})
		for _, a := range s.actions {
			if p, ok := a.(Probe); ok {
				probeCounts[class]++
				s.at(now+1, ProbeEnded{Endpoint: p.Endpoint, Outcome: OutcomeSucceeded, Load: &LoadReport{}})
			}
		}
		if r := s.balancer.requests[id]; r != nil && r.current.endpoint != nil {
			s.at(now+2, AttemptEnded{ID: id, Endpoint: r.current.endpoint.ID, Outcome: OutcomeSucceeded, Latency: 5, RequestClosed: true})
		}
	}
	if probeCounts[0] > probeCounts[1]/10 || probeCounts[1] < 50 {
		t.Fatalf("%d probes for 400 short queries, %d for 100 long ones", probeCounts[0], probeCounts[1])
	}
}

// TestAbsentReportFieldsStayUnknown guards against counting an attempt on top of an absent number in flight: -1 and one
// more made 0, the endpoint seemed idle, and all requests of sparse traffic went there.
func TestAbsentReportFieldsStayUnknown(t *testing.T) {
	underTwoSettings(t, func(t *testing.T, base Settings, start func(Settings, int) *script) {
		s := start(base, 8)
		s.at(0, RequestArrived{ID: "a", Group: 1, TimeLeft: 3000, EstimatedWork: 100, EstimatedMemoryMB: 10})
		e := s.sentTo("a")
		s.at(100, AttemptEnded{ID: "a", Endpoint: e, Outcome: OutcomeSucceeded, Latency: 100, RequestClosed: true,
			Load: &LoadReport{InFlight: -1, Queue: 0, Utilization: -1, Latency: -1, Memory: -1, Disk: 0.2}})
		s.at(110, RequestArrived{ID: "b", Group: 1, TimeLeft: 3000, EstimatedWork: 100, EstimatedMemoryMB: 10})
		for _, b := range s.balancer.EndpointStatuses(110) {
			if b.ID == e && (b.Report.InFlight >= 0 || b.Report.Memory >= 0) {
				t.Fatalf("after a report without them: in flight %.1f, memory %.2f", b.Report.InFlight, b.Report.Memory)
			}
		}
	})
}
