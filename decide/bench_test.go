package decide

import (
	"fmt"
	"testing"
)

// BenchmarkHandle measures the cost of one request, with its outcome and a gossip message, by the number of endpoints
// and balancers. Only the ratios between the sizes matter.
func BenchmarkHandle(b *testing.B) {
	for _, size := range []struct{ balancers, endpoints int }{{3, 8}, {3, 64}, {300, 8}, {300, 64}, {3, 10}, {3, 1000}} {
		b.Run(fmt.Sprintf("%dgateways-%dengines", size.balancers, size.endpoints), func(b *testing.B) {
			settings := plainSettings()
			settings.Balancers, settings.GossipEnabled, settings.GossipCost = size.balancers, true, 0.01
			balancer, err := New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			var entries []EndpointInfo
			var lines []gossipLine
			for i := range size.endpoints {
				id := EndpointID(i + 1)
				entries = append(entries, EndpointInfo{ID: id, State: EndpointReady})
				lines = append(lines, gossipLine{gossipTag(id), []float64{1, 4, 0}})
			}
			balancer.Handle(0, EndpointUpdate{Kind: UpdateCached, Entries: entries})
			data := encodeGossip(gossipReports, lines[:min(len(lines), maxReportLines)], maxMessageBytes)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now, id := Millis(i)*50, RequestID(fmt.Sprint(i))
				balancer.Handle(now, TimerFired{"tick"})
				balancer.Handle(now, GossipReceived{From: 1, Data: data})
				for _, a := range balancer.Handle(now, RequestArrived{ID: id, Group: uint64(i % 200), TimeLeft: 3000}) {
					if start, ok := a.(StartAttempt); ok {
						balancer.Handle(now+40, AttemptEnded{ID: id, Endpoint: start.Endpoint, Outcome: OutcomeSucceeded, Latency: 40,
							RequestClosed: true, Load: &LoadReport{InFlight: 4}})
					}
				}
			}
		})
	}
}
