package decide

import (
	"fmt"
	"sort"
	"testing"
)

func TestRestartedBalancerSparesWarmingEndpointsForOneWindow(t *testing.T) {
	s := newScript(t, plainSettings(), 0)
	s.balancer.estimates.classes[0].meanWork = 60
	s.at(1000, EndpointUpdate{Kind: UpdateCached, Entries: []EndpointInfo{{ID: 9, State: EndpointReady, StartedAt: 990}}})
	s.at(1000, RequestArrived{ID: "a", Group: 3, TimeLeft: 3000})
	if s.sentTo("a") != 0 {
		t.Fatal("sent at once, though this balancer may have used its share of the budget before a restart")
	}
	s.at(2600, TimerFired{"tick"})
	s.at(2600, RequestArrived{ID: "b", Group: 3, TimeLeft: 3000})
	if s.sentTo("b") == 0 {
		t.Fatal("not sent after the overload window")
	}
}

// TestSlowStartSharesSumToTheBudget lets each balancer use its complete share of a warming endpoint's budget and
// compares the sum with the budget of all balancers together.
func TestSlowStartSharesSumToTheBudget(t *testing.T) {
	for _, n := range []int{1, 2, 5, 10} {
		settings := plainSettings()
		settings.Balancers = n
		rules := settings.Rules
		totalWork, longSent := 0.0, 0
		for index := range n {
			settings.BalancerIndex = index
			s := newScript(t, settings, 0)
			s.balancer.estimates.classes[0].meanWork, s.balancer.estimates.classes[1].meanWork = 60, 2000
			s.at(1000, EndpointUpdate{Kind: UpdateIncremental, Entries: []EndpointInfo{{ID: 9, State: EndpointReady, StartedAt: 990}}})
			for i := range 300 {
				id := RequestID(fmt.Sprint(i))
				s.at(1000, RequestArrived{ID: id, Class: 1 - min(i, 1), Group: 3, TimeLeft: 14000})
				if s.sentTo(id) != 0 {
					totalWork += []float64{2000, 60}[min(i, 1)]
					longSent += 1 - min(i, 1)
				}
			}
		}
		if allowed := rules.OverloadRatio * rules.SlowStartCapacityRatio * 0.85 * 8 * rules.OverloadWindow; totalWork > allowed || totalWork < allowed/5 {
			t.Errorf("%d balancers send %.0f ms of work at once, %.0f ms allowed", n, totalWork, allowed)
		}
		if n > 1 && longSent != 1 {
			t.Errorf("%d balancers send %d long queries to a warming endpoint, want 1", n, longSent)
		}
	}
}

// TestWarmingEndpointsAreNotAssumedOverloaded guards against counting the fleet's mean load at endpoints that have just
// started. When a zone came back while the other one was overloaded, half of that mean counted at each endpoint of the
// zone: 15 of 30 endpoints got almost nothing while queries were rejected. A new endpoint doesn't carry that load yet,
// and slow start limits the work that it gets.
func TestWarmingEndpointsAreNotAssumedOverloaded(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.GossipEnabled = 300, true
	settings.Rules.OverloadRatio = 2000 // a budget with room for a query of every balancer
	s := newScript(t, settings, 10)
	startedID := s.balancer.endpoints.sorted[0].ID
	s.at(900, EndpointUpdate{Entries: []EndpointInfo{{ID: startedID, State: EndpointReady, StartedAt: 900}}})
	sentCount := s.sendsPastOverloaded(startedID)
	if sentCount < 20 {
		t.Fatalf("%d of 200 queries to the only endpoint without load", sentCount)
	}
}

// TestSlowStartBudgetRotatesBetweenBalancers guards against equal shares of the budget: the share of one of 300
// balancers has no room for a query, and a third of a fleet stayed idle after its restart. With turns, all balancers
// together have to stay below the overload limit in any window and still use the budget.
func TestSlowStartBudgetRotatesBetweenBalancers(t *testing.T) {
	settings := plainSettings()
	settings.Balancers = 300
	requestWork := settings.Classes[0].LatencyObjective
	overloadLimit := settings.Rules.OverloadRatio * settings.Rules.SlowStartCapacityRatio * usableCores * 8 * settings.Rules.OverloadWindow
	var attemptTimes []Millis // times of the attempts at the warming endpoint
	for index := range settings.Balancers {
		settings.BalancerIndex = index
		s := newScript(t, settings, 2)
		s.at(1000, EndpointUpdate{Kind: UpdateIncremental, Entries: []EndpointInfo{{ID: 1, State: EndpointReady, StartedAt: 1000}}})
		for now := Millis(1000 + index%200); now < 12000; now += 200 {
			id := RequestID(fmt.Sprint(now))
			s.at(now, RequestArrived{ID: id, Group: uint64(now), TimeLeft: 3000})
			if e := s.sentTo(id); e != 0 {
				if e == 1 {
					attemptTimes = append(attemptTimes, now)
				}
				s.at(now+100, AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeNotSent, RequestClosed: true})
			}
		}
	}
	sort.Float64s(attemptTimes)
	for i := range attemptTimes {
		attemptsInWindow := sort.SearchFloat64s(attemptTimes, attemptTimes[i]+settings.Rules.OverloadWindow) - i
		if float64(attemptsInWindow)*requestWork > overloadLimit {
			t.Fatalf("%d attempts in one window, overload above %.0f", attemptsInWindow, overloadLimit/requestWork)
		}
	}
	if len(attemptTimes) < 10 {
		t.Fatalf("only %d attempts at a warming endpoint in 11 s", len(attemptTimes))
	}
}

// TestWarmingEndpointsOfSparseFleetCarryLongQueries guards against shares of the budget with no room for a long query.
// When 18 of 30 endpoints behind 80 balancers were replaced within 5 s, the new ones got work for 0.8 cores during
// their slow start of 15 s, and the other 12 endpoints carried all long queries of the fleet. The work of all balancers
// also has to stay below the overload limit in any window.
func TestWarmingEndpointsOfSparseFleetCarryLongQueries(t *testing.T) {
	fixedSpeedTotal, fixedSpeedLongCount := simulateWarmingFleet(t, func(Millis) float64 { return 0.3 })
	_, growingSpeedLongCount := simulateWarmingFleet(t, func(age Millis) float64 { return min(0.3+0.7*age/8000, 1) })
	if fixedSpeedLongCount < 8 { // at least one in each turn
		t.Fatalf("%d long queries from all balancers in 10 s, %d queries in total", fixedSpeedLongCount, fixedSpeedTotal)
	}
	if float64(growingSpeedLongCount) < 1.4*float64(fixedSpeedLongCount) { // the throughput that all balancers have observed raises the budget
		t.Fatalf("%d long queries where the throughput of endpoints grows with age, %d where it doesn't", growingSpeedLongCount, fixedSpeedLongCount)
	}
}

// startedEndpoints returns ready endpoints that started at the given time, numbered from firstID.
func startedEndpoints(firstID, count int, startedAt Millis) (entries []EndpointInfo) {
	for i := range count {
		entries = append(entries, EndpointInfo{ID: EndpointID(firstID + i), State: EndpointReady, StartedAt: startedAt})
	}
	return entries
}

// workBefore returns the work of the attempts that were sent before the given time.
func workBefore(sends []sentWork, until Millis) (totalWork float64) {
	for _, s := range sends {
		if s.sentAt < until {
			totalWork += s.work
		}
	}
	return totalWork
}

// simulateWarmingFleet simulates 20 s of 80 balancers with 30 endpoints. Four of these restart after 10 s; their speed,
// relative to full speed, then depends on their age. It counts the queries sent to one of the four and fails if their
// work exceeds the overload limit in any window.
func simulateWarmingFleet(t *testing.T, speed func(age Millis) float64) (queries, longQueries int) {
	settings := plainSettings()
	settings.Balancers, settings.ActualCostReported, settings.Kinds = 80, true, []EndpointKind{{16, 32768}}
	classWork, rules, restartAt := []float64{80, 3000}, settings.Rules, Millis(10000)
	var sentToEndpoint9 []sentWork
	for index := range settings.Balancers {
		settings.BalancerIndex = index
		s := newScript(t, settings, 30)
		for i := range 150 { // one fifth of them are long
			id, now, class := RequestID(fmt.Sprint(i)), Millis(i)*133+Millis(index), 0
			if i%5 == 4 {
				class = 1
			}
			if i == 76 {
				s.at(now, EndpointUpdate{Kind: UpdateIncremental, Entries: startedEndpoints(9, 4, restartAt)})
			}
			s.at(now, RequestArrived{ID: id, Class: class, Group: uint64(i*7+index) % 72, TimeLeft: 3000 * float64(1+3*class), EstimatedWork: classWork[class]})
			e, endpointSpeed := s.sentTo(id), 1.0
			if e >= 9 && e < 13 && now > restartAt {
				endpointSpeed = speed(now - restartAt)
			}
			if e == 9 && i > 76 {
				sentToEndpoint9 = append(sentToEndpoint9, sentWork{now, classWork[class]})
				longQueries += class
			}
			s.at(now+100, AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeSucceeded, RequestClosed: true, ActualWork: classWork[class],
				Latency: classWork[class] / float64(settings.Classes[class].Threads) / endpointSpeed})
		}
	}
	sort.Slice(sentToEndpoint9, func(i, j int) bool { return sentToEndpoint9[i].sentAt < sentToEndpoint9[j].sentAt })
	for i := range sentToEndpoint9 {
		windowWork, overloadLimit := workBefore(sentToEndpoint9[i:], sentToEndpoint9[i].sentAt+rules.OverloadWindow), rules.OverloadRatio*speed(sentToEndpoint9[i].sentAt-restartAt)*usableCores*16*rules.OverloadWindow
		if windowWork > overloadLimit {
			t.Fatalf("%.0f ms of work in one window, overload above %.0f", windowWork, overloadLimit)
		}
	}
	return len(sentToEndpoint9), longQueries
}

// TestSlowStartCountsMeanWorkOfClass guards against counting each query's own estimate against the slow-start budget:
// estimates are rough, and most long queries were then not admitted at endpoints that had capacity for them.
func TestSlowStartCountsMeanWorkOfClass(t *testing.T) {
	s := newScript(t, plainSettings(), 0)
	s.balancer.estimates.classes[1].meanWork = 2000
	s.at(5000, EndpointUpdate{Kind: UpdateIncremental, Entries: []EndpointInfo{{ID: 9, State: EndpointReady, StartedAt: 4990}}})
	s.at(5000, RequestArrived{ID: "a", Class: 1, Group: 3, TimeLeft: 14000, EstimatedWork: 9000})
	if s.sentTo("a") != 9 {
		t.Fatal("a query with a high estimate is not sent to a warming endpoint whose budget allows the class's mean work")
	}
	s.at(5000, RequestArrived{ID: "b", Class: 1, Group: 3, TimeLeft: 14000, EstimatedWork: 10})
	if s.sentTo("b") != 0 {
		t.Fatal("a query with a low estimate is sent where the budget doesn't allow the class's mean work a second time")
	}
}

// TestRotationHasAsManyBalancersAsItsBudgetAllows guards against sizing turns by the most expensive class. With loads
// of about half the budget, only one balancer at a time could send to a warming endpoint, and it has only two or three
// long queries in its turn. A turn has as many balancers as the budget allows queries of the cheapest long class, since
// these use most of it.
func TestRotationHasAsManyBalancersAsItsBudgetAllows(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.Kinds = 80, []EndpointKind{{16, 32768}}
	settings.Classes = append(settings.Classes, Class{LatencyObjective: 4000, Deadline: 20000, PriorityWeight: 20, Threads: 2, LocksGroup: true, Idempotency: NotIdempotent})
	rules := settings.Rules
	halfBudget := rules.OverloadRatio * rules.SlowStartCapacityRatio * usableCores * 16 * rules.OverloadWindow / 2
	totalSentWork, classWorks := 0.0, []float64{80, halfBudget / 3.2, halfBudget / 1.2}
	for index := range settings.Balancers {
		settings.BalancerIndex = index
		s := newScript(t, settings, 0)
		for i, classWork := range classWorks {
			s.balancer.estimates.classes[i].meanWork = classWork
		}
		s.at(5000, EndpointUpdate{Kind: UpdateIncremental, Entries: []EndpointInfo{{ID: 9, State: EndpointReady, StartedAt: 4990}}})
		for i := range 2 { // each balancer has only two long queries
			id := RequestID(fmt.Sprint(i))
			s.at(5000, RequestArrived{ID: id, Class: 1 + i%2, Group: uint64(i), TimeLeft: 14000})
			if s.sentTo(id) != 0 {
				totalSentWork += classWorks[1+i%2]
			}
		}
	}
	if totalSentWork > halfBudget || totalSentWork < 0.9*halfBudget {
		t.Fatalf("all balancers send %.0f of %.0f ms of work to a warming endpoint in one turn", totalSentWork, halfBudget)
	}
}
