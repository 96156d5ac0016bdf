package decide

import (
	"fmt"
	"testing"
)

func TestRequestWithoutTimeLeftIsAnsweredAtOnce(t *testing.T) {
	settings := plainSettings()
	s := newScript(t, settings, 0)
	s.at(100, RequestArrived{ID: "a", TimeLeft: 12})
	if !s.rejected("a") {
		t.Fatalf("not rejected with 12 ms left: %v", s.actions)
	}
}

// TestLongPendingQueueIsNotRetriedCompletely guards against ranking all endpoints for each pending request: the
// pending queue is examined at every outcome.
func TestLongPendingQueueIsNotRetriedCompletely(t *testing.T) {
	settings := plainSettings()
	settings.Balancers = 300
	s := newScript(t, settings, 10)
	for _, e := range s.balancer.endpoints.sorted {
		e.overloadedAt = 1 // every endpoint has just rejected a request for overload
	}
	for i := range 300 {
		s.at(2, RequestArrived{ID: RequestID(fmt.Sprint(i)), Group: 5, TimeLeft: 3000})
	}
	if n := testing.AllocsPerRun(5, func() { s.balancer.dispatchPending(false) }); n > 300 {
		t.Fatalf("%.0f allocations to examine 300 pending requests", n)
	}
	s.at(500, TimerFired{"tick"})
	if len(s.balancer.admission.pending) > 290 {
		t.Fatalf("%d of 300 requests still pending with capacity at ten endpoints", len(s.balancer.admission.pending))
	}
}

// TestPriorityFollowsWeightPerWork guards against attempts of equal priority: requests with the highest weight per ms
// of work then waited at overloaded endpoints like all others.
func TestPriorityFollowsWeightPerWork(t *testing.T) {
	settings := plainSettings()
	settings.PrioritiesEnabled = true
	s := newScript(t, settings, 8)
	priorityByClass := map[int]int{}
	for i := range 40 {
		class := i % 2
		id := RequestID(fmt.Sprint("p", i))
		s.at(float64(100*i), RequestArrived{ID: id, Class: class, TimeLeft: 3000, EstimatedWork: []float64{100, 4000}[class]})
		priorityByClass[class] = 1
		for _, a := range s.actions {
			if resources, ok := a.(SetAttemptResources); ok {
				priorityByClass[class] = resources.Priority
			}
		}
	}
	if priorityByClass[0] <= priorityByClass[1] {
		t.Fatalf("priority %d for weight 1 in 100 ms of work, %d for weight 10 in 4000 ms", priorityByClass[0], priorityByClass[1])
	}
}

// TestRandomDrawsFollowWeightPerWork guards against draws that ignore a request's weight per ms of work: where only a
// share of the traffic is admitted, short and long queries were then rejected at the same rate.
func TestRandomDrawsFollowWeightPerWork(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.MaxAttempts = 300, 1
	s := newScript(t, settings, 8)
	var drawSums, counts [2]float64
	for i := range 400 {
		class := i % 2
		id := RequestID(fmt.Sprint("w", i))
		s.at(float64(50*i), RequestArrived{ID: id, Class: class, TimeLeft: 3000, EstimatedWork: []float64{100, 8000}[class]})
		if r := s.balancer.requests[id]; r != nil {
			drawSums[class], counts[class] = drawSums[class]+r.draw, counts[class]+1
			if r.current.endpoint != nil {
				s.at(float64(50*i+1), AttemptEnded{ID: id, Endpoint: r.current.endpoint.ID, Outcome: OutcomeSucceeded, Latency: []float64{100, 2000}[class], RequestClosed: true})
			}
		}
	}
	if drawSums[0]/counts[0]+0.1 > drawSums[1]/counts[1] {
		t.Fatalf("mean draws %.2f for weight 1 in 100 ms of work, %.2f for weight 10 in 8000 ms", drawSums[0]/counts[0], drawSums[1]/counts[1])
	}
}
