package decide

import (
	"fmt"
	"testing"
)

func TestBalancersAgreeOnHomes(t *testing.T) {
	for group := range uint64(20) {
		a := newScript(t, plainSettings(), 5)
		settings := plainSettings()
		settings.Balancers, settings.BalancerIndex = 3, 2
		b := newScript(t, settings, 5)
		a.at(1, RequestArrived{ID: "a", Group: group, TimeLeft: 3000})
		b.at(9, RequestArrived{ID: "b", Group: group, TimeLeft: 3000})
		if homeA, homeB := a.sentTo("a"), b.sentTo("b"); homeA == 0 || homeA != homeB {
			t.Fatalf("group %d: homes %d and %d", group, homeA, homeB)
		}
	}
}

func TestBandSpreadsHotGroup(t *testing.T) {
	s := newScript(t, plainSettings(), 4)
	usedEndpoints := map[EndpointID]bool{}
	for i := range 12 {
		id := RequestID(fmt.Sprint(i))
		s.at(1, RequestArrived{ID: id, Group: 3, TimeLeft: 3000})
		usedEndpoints[s.sentTo(id)] = true
	}
	if len(usedEndpoints) < 3 {
		t.Fatalf("12 queries of one group sent to only %d endpoints", len(usedEndpoints))
	}
}

// TestSparseTrafficSpreadsHotGroup guards against a home that gets all requests of a hot group: none of hundreds of
// balancers has enough in flight there to exceed the band.
func TestSparseTrafficSpreadsHotGroup(t *testing.T) {
	settings := plainSettings()
	settings.Balancers = 300
	s := newScript(t, settings, 10)
	sentCountByEndpoint := map[EndpointID]int{}
	for i := range 100 { // never two in flight at once; one group has half of the traffic
		id, group := RequestID(fmt.Sprint(i)), uint64(i)
		if i%2 == 0 {
			group = 777
		}
		s.at(Millis(i*200), RequestArrived{ID: id, Group: group, TimeLeft: 3000})
		e := s.sentTo(id)
		sentCountByEndpoint[e]++
		s.at(Millis(i*200+100), AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeSucceeded, Latency: 100, RequestClosed: true})
	}
	for e, n := range sentCountByEndpoint {
		if n > 20 {
			t.Fatalf("endpoint %d gets %d of 100 queries, an equal share is 10: %v", e, n, sentCountByEndpoint)
		}
	}
}

// TestHomesFollowCores checks that an endpoint with twice the cores is the home of twice as many groups, since the band
// doesn't balance the load of sparse traffic.
func TestHomesFollowCores(t *testing.T) {
	s := zonedScript(t, 300, 4)
	homeCounts := [2]int{}
	for group := range uint64(4000) {
		homeCounts[s.balancer.endpoints.rendezvousOrder(group)[0].Kind]++
	}
	if ratio := float64(homeCounts[1]) / float64(homeCounts[0]); ratio < 1.7 || ratio > 2.3 {
		t.Fatalf("16-core endpoints are the home of %.2f times as many groups as 8-core ones", ratio)
	}
}
