package decide_test

import (
	"fmt"

	"aniseloft/decide"
)

// One gateway, one engine: a query arrives, is placed and is served.
func Example() {
	g, err := decide.New(decide.Settings{
		Gateways: 1, Tick: 5, MaxAttempts: 3,
		Classes: []decide.Class{{Aim: 500, Deadline: 2000, Worth: 1, Threads: 1}},
		Kinds:   []decide.Kind{{Cores: 8, MemoryMB: 16384}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	events := []decide.Event{
		decide.ListChanged{Kind: decide.ListCached, Entries: []decide.EngineEntry{{ID: 7, State: decide.EngineReady}}},
		decide.Arrived{ID: "a", Group: 3, Left: 2000},
		decide.AttemptEnded{ID: "a", Engine: 7, Outcome: decide.OutcomeServed, Latency: 40, Closed: true},
	}
	for i, ev := range events {
		for _, action := range g.Handle(float64(i*40), ev) {
			if send, ok := action.(decide.Send); ok {
				fmt.Printf("send %s to engine %d\n", send.ID, send.Engine)
			}
		}
	}
	// Output: send a to engine 7
}
