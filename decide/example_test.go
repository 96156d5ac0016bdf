package decide_test

import (
	"fmt"

	"aniseloft/decide"
)

// One balancer and one endpoint: a request arrives, is sent to the endpoint and succeeds.
func Example() {
	balancer, err := decide.New(decide.Settings{
		Balancers: 1, TickInterval: 5, MaxAttempts: 3,
		Classes: []decide.Class{{LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, Threads: 1}},
		Kinds:   []decide.EndpointKind{{Cores: 8, MemoryMB: 16384}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	events := []decide.Event{
		decide.EndpointUpdate{Kind: decide.UpdateCached, Entries: []decide.EndpointInfo{{ID: 7, State: decide.EndpointReady}}},
		decide.RequestArrived{ID: "a", Group: 3, TimeLeft: 2000},
		decide.AttemptEnded{ID: "a", Endpoint: 7, Outcome: decide.OutcomeSucceeded, Latency: 40, RequestClosed: true},
	}
	for i, ev := range events {
		for _, action := range balancer.Handle(float64(i*40), ev) {
			if start, ok := action.(decide.StartAttempt); ok {
				fmt.Printf("send %s to endpoint %d\n", start.ID, start.Endpoint)
			}
		}
	}
	// Output: send a to endpoint 7
}
