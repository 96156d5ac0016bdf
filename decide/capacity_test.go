package decide

import (
	"fmt"
	"math"
	"testing"
)

func TestOverloadedEndpointIsNotRetriedAtOnce(t *testing.T) {
	s := newScript(t, plainSettings(), 2)
	s.at(0, RequestArrived{ID: "a", Group: 5, TimeLeft: 3000})
	overloadedID := s.sentTo("a")
	s.at(1, AttemptEnded{ID: "a", Endpoint: overloadedID, Outcome: OutcomeOverloaded})
	if e := s.sentTo("a"); e == 0 || e == overloadedID {
		t.Fatalf("overloaded endpoint %d, retry sent to %d", overloadedID, e)
	}
	s.at(2, RequestArrived{ID: "b", Group: 5, TimeLeft: 3000})
	if e := s.sentTo("b"); e == overloadedID {
		t.Fatal("the next request is sent to the overloaded endpoint after 1 ms")
	}
}

// TestLatencyPressureAdmitsPartOfSparseTraffic checks that balancers with sparse traffic send only part of it to
// endpoints under latency pressure: one request from each of hundreds of balancers would overload the fleet, none from
// any would leave it idle.
func TestLatencyPressureAdmitsPartOfSparseTraffic(t *testing.T) {
	sentCounts := [2]int{}
	for class := range 2 {
		settings := plainSettings()
		settings.Balancers = 300
		s := newScript(t, settings, 10)
		now := s.completeInSequence(10, 30, 5, class, 100)
		for _, e := range s.balancer.endpoints.sorted {
			e.latencyPressure = decayingMean{}
		}
		for range 30 {
			s.balancer.estimates.observePressure(s.balancer.endpoints.sorted[0], math.Log(4)) // four times the best latency; the pooled mean counts at endpoints without samples
		}
		for i := range 200 {
			id := RequestID(fmt.Sprint(i))
			s.at(now, RequestArrived{ID: id, Class: class, Group: uint64(i), TimeLeft: 15000})
			if e := s.sentTo(id); e != 0 {
				sentCounts[class]++
				s.at(now, AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeNotSent, RequestClosed: true})
			}
		}
	}
	if sentCounts[1] < 20 || sentCounts[1] > 120 || sentCounts[0] <= sentCounts[1] {
		t.Fatalf("of 200 short and 200 long queries, %v sent to endpoints under pressure", sentCounts)
	}
}

// TestFreshReportMovesPartOfSparseTraffic checks that a peer's report of an overloaded home moves traffic away, though
// this balancer has no attempt in flight there.
func TestFreshReportMovesPartOfSparseTraffic(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.GossipEnabled = 300, true
	s := newScript(t, settings, 10)
	home, movedCount := EndpointID(0), 0
	for i := range 200 {
		id, now := RequestID(fmt.Sprint(i)), Millis(1000+i)
		var lines []gossipLine
		for _, e := range s.balancer.endpoints.sorted {
			line := gossipLine{gossipTag(e.ID), []float64{0, 4, 0}}
			if e.ID == home {
				line.values[1] = 80
			}
			lines = append(lines, line)
		}
		s.at(now, GossipReceived{From: 1, Data: encodeGossip(gossipReports, lines, 256)})
		s.at(now, RequestArrived{ID: id, Group: 3, TimeLeft: 3000})
		e := s.sentTo(id)
		if i == 0 {
			home = e
		} else if e != home {
			movedCount++
		}
		s.at(now, AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeNotSent, RequestClosed: true})
	}
	if sentHome := 200 - movedCount; sentHome > 12 { // an equal share is 20
		t.Fatalf("only %d of 200 queries moved away from an overloaded home", movedCount)
	}
}

func TestBurstWaitsBeforeLatencyRises(t *testing.T) {
	settings := plainSettings()
	settings.Balancers = 3
	s := newScript(t, settings, 1)
	sentCount := 0
	for i := range 100 {
		id := RequestID(fmt.Sprint(i))
		s.at(0, RequestArrived{ID: id, Group: 3, TimeLeft: 3000})
		if s.sentTo(id) != 0 {
			sentCount++
		}
	}
	if fleetSentCount := sentCount * settings.Balancers; fleetSentCount < 8 || fleetSentCount > 16 { // all three balancers get the same burst
		t.Fatalf("all balancers together send %d of 100 queries each to eight cores at once", fleetSentCount)
	}
}

// TestNoRequestWaitsBelowSaturation guards against a queue bound on long classes that applies as soon as latency is 1.7
// times the best. Queries that spend half their time in I/O reach that ratio on lightly loaded endpoints, and a quarter
// of the long queries was rejected while cores were idle.
func TestNoRequestWaitsBelowSaturation(t *testing.T) {
	underTwoSettings(t, func(t *testing.T, base Settings, start func(Settings, int) *script) {
		for _, loadedLatency := range []Millis{1000, 2500} {
			s := start(base, 1)
			now := Millis(0)
			for i := range 20 { // one at a time: the best latency, then the latency under more load
				id := RequestID(fmt.Sprint("t", i))
				s.at(now, RequestArrived{ID: id, Class: 1, Group: 1, TimeLeft: 15000, EstimatedWork: 4000})
				queryLatency := Millis(1000)
				if i > 9 {
					queryLatency = loadedLatency
				}
				s.at(now+queryLatency, AttemptEnded{ID: id, Endpoint: 1, Outcome: OutcomeSucceeded, Latency: queryLatency, RequestClosed: true})
				now += queryLatency
			}
			sentCount := 0
			for i := range 8 {
				id := RequestID(fmt.Sprint(i))
				s.at(now, RequestArrived{ID: id, Class: 1, Group: 1, TimeLeft: 15000, EstimatedWork: 4000})
				if s.sentTo(id) != 0 {
					sentCount++
				}
			}
			if sentCount != 4 { // 12 threads are below 1.75 per core at 8 cores, 16 are above it
				t.Fatalf("%d queries of 4 threads sent to eight cores, at a latency of %.0f ms", sentCount, loadedLatency)
			}
		}
	})
}

func TestReaderAvoidsLockOfItsGroup(t *testing.T) {
	settings := plainSettings()
	settings.Classes[0].WaitsForLocks, settings.Classes[1].LocksGroup = true, true
	s := newScript(t, settings, 3)
	s.at(0, RequestArrived{ID: "load", Class: 1, Group: 3, TimeLeft: 15000})
	s.at(1, RequestArrived{ID: "reader", Group: 3, TimeLeft: 3000})
	if readerAt, loadAt := s.sentTo("reader"), s.balancer.requests["load"].current.endpoint.ID; readerAt == 0 || readerAt == loadAt {
		t.Fatalf("reader sent to endpoint %d, load that locks the group runs at %d", readerAt, loadAt)
	}
}

func TestSharedQueueKeepsSlackForPeers(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.Kinds = 4, []EndpointKind{{16, 65536}}
	s := newScript(t, settings, 1)
	e := s.balancer.endpoints.byID[1]
	s.balancer.outliers.applyReports(s.balancer.gossip.receive(GossipReceived{From: 1, Data: encodeGossip(gossipInFlight, []gossipLine{{gossipTag(e.ID), []float64{8, 0}}}, 256)})) // leaves 12 threads of the bound of 20
	e.overloadedAt = -600                                                                                                                                                           // saturated: recently rejected for overload
	sentCount := 0
	for i := range 5 {
		id := RequestID(fmt.Sprint(i))
		s.at(1, RequestArrived{ID: id, Class: 1, Group: 3, TimeLeft: 15000})
		if s.sentTo(id) != 0 {
			sentCount++
		}
	}
	if sentCount != 2 {
		t.Fatalf("%d queries of four threads sent where three fit and other balancers see the same free capacity, want 2", sentCount)
	}
}

// TestReportedMemoryLimitsSparseTraffic checks that the memory in load reports limits sparse traffic: each of hundreds
// of balancers has granted nothing at an endpoint whose memory is granted several times over.
func TestReportedMemoryLimitsSparseTraffic(t *testing.T) {
	settings := plainSettings()
	settings.Balancers = 300
	for grantedRatio, wantSent := range map[float64]bool{0.3: true, 3: false} {
		s := newScript(t, settings, 4)
		for _, e := range s.balancer.endpoints.sorted {
			e.report = loadReport{LoadReport{InFlight: 2, Memory: grantedRatio}, 0}
		}
		s.at(1, RequestArrived{ID: "a", Group: 5, TimeLeft: 3000, EstimatedMemoryMB: 500})
		if isSent := s.sentTo("a") != 0; isSent != wantSent {
			t.Errorf("ratio of memory granted %v: sent %v", grantedRatio, isSent)
		}
	}
}

// sendsPastOverloaded reports all endpoints but one as overloaded and counts how many of 200 short queries go to that
// one.
func (s *script) sendsPastOverloaded(target EndpointID) (sentCount int) {
	for i := range 200 {
		now, id := Millis(1000+i*50), RequestID(fmt.Sprint(i))
		var lines []gossipLine
		for _, e := range s.balancer.endpoints.sorted {
			if e.ID != target {
				lines = append(lines, gossipLine{gossipTag(e.ID), []float64{0, 1 + 7*8, 0}})
			}
		}
		s.at(now, GossipReceived{From: 1, Data: encodeGossip(gossipReports, lines, maxMessageBytes)})
		s.balancer.estimates.meanThreads = 2
		s.at(now, RequestArrived{ID: id, Group: uint64(i), TimeLeft: 3000})
		if e := s.sentTo(id); e != 0 {
			s.at(now, AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeNotSent, RequestClosed: true})
			if e == target {
				sentCount++
			}
		}
	}
	return sentCount
}

// TestUnknownEndpointIsNotAssumedIdle guards against sending to an endpoint without a load report all requests that the
// others have no capacity for: overloaded endpoints answer seldom, so the fleet's mean load counts there.
func TestUnknownEndpointIsNotAssumedIdle(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.GossipEnabled = 300, true
	s := newScript(t, settings, 10)
	sentToUnknown := s.sendsPastOverloaded(s.balancer.endpoints.sorted[0].ID)
	if sentToUnknown > 60 {
		t.Fatalf("%d of 200 queries to the only endpoint without a load report", sentToUnknown)
	}
}

// TestMemoryReportFadesGradually checks that a report of overcommitted memory keeps its effect for some time, fading
// out, after its number of queries in flight is too old to use: an endpoint that pages answers seldom.
func TestMemoryReportFadesGradually(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.GossipEnabled = 300, true
	s := newScript(t, settings, 2)
	s.at(1000, RequestArrived{ID: "a", Group: 3, TimeLeft: 3000, EstimatedMemoryMB: 100})
	home := s.sentTo("a")
	s.at(1100, AttemptEnded{ID: "a", Endpoint: home, Outcome: OutcomeSucceeded, Latency: 100, RequestClosed: true,
		Load: &LoadReport{InFlight: 2, Memory: 4}})
	for _, c := range []struct {
		at           Millis
		wantHomeUsed bool
	}{{4500, false}, {30000, true}} {
		homeUsed := false
		for i := range 20 {
			id := RequestID(fmt.Sprint(c.at, i))
			s.at(c.at, RequestArrived{ID: id, Group: 3, TimeLeft: 3000, EstimatedMemoryMB: 100})
			e := s.sentTo(id)
			homeUsed = homeUsed || e == home
			s.at(c.at, AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeNotSent, RequestClosed: true})
		}
		if homeUsed != c.wantHomeUsed {
			t.Fatalf("at %v: sent to the endpoint that pages: %v", c.at, homeUsed)
		}
	}
}

// TestSpillsDoNotCloseEndpointsWithoutGrants guards against learning the memory need from spill notices where endpoints
// don't obey requested grants: each notice then raised the need of its class by a fifth or more, until 8 of 10 queries
// under low load found no free memory at any endpoint.
func TestSpillsDoNotCloseEndpointsWithoutGrants(t *testing.T) {
	underTwoSettings(t, func(t *testing.T, base Settings, start func(Settings, int) *script) {
		settings := base
		settings.MemoryGrantsEnabled, settings.ProgressInterval, settings.MaxGrantRatio = false, 1000, 1
		s := start(settings, 2)
		now := Millis(0)
		for i := range 30 { // one at a time, each with a spill notice
			id := RequestID(fmt.Sprint("r", i))
			s.at(now, RequestArrived{ID: id, Class: 1, Group: 1, TimeLeft: 15000, EstimatedWork: 4000, EstimatedMemoryMB: 800})
			e := s.sentTo(id)
			if e == 0 {
				t.Fatalf("query %d not sent to either of two idle endpoints", i)
			}
			for sec := 1; sec <= 2; sec++ {
				s.at(now+Millis(sec)*1000, AttemptProgress{ID: id, Kind: ProgressSpilled, Value: 900})
			}
			s.at(now+2100, AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeSucceeded, Latency: 2100, RequestClosed: true})
			now += 2200
		}
		for i := range 5 { // default grants still count: 16 GB hold two queries of 7,500 MB
			id := RequestID(fmt.Sprint("m", i))
			s.at(now, RequestArrived{ID: id, Class: 1, Group: 1, TimeLeft: 15000, EstimatedWork: 4000, EstimatedMemoryMB: 6000})
			if sent := s.sentTo(id) != 0; sent != (i < 4) {
				t.Fatalf("query %d at two endpoints: sent %t", i, sent)
			}
		}
	})
}

// TestClassWithoutSpillsNeedsLessMemory guards against counting default grants completely for a class that doesn't
// spill: such queries hold less than their grant, and with estimates too high by class the fleet's memory seemed full
// at half its load.
func TestClassWithoutSpillsNeedsLessMemory(t *testing.T) {
	underTwoSettings(t, func(t *testing.T, base Settings, start func(Settings, int) *script) {
		for _, c := range []struct {
			spills        bool
			wantSentCount int
		}{{true, 2}, {false, 4}} {
			settings := base
			settings.MemoryGrantsEnabled, settings.ProgressInterval, settings.MaxGrantRatio = false, 1000, 0.5
			s := start(settings, 1)
			now := Millis(0)
			for i := range 80 {
				id := RequestID(fmt.Sprint("r", i))
				s.at(now, RequestArrived{ID: id, Class: 1, Group: 1, TimeLeft: 15000, EstimatedWork: 4000, EstimatedMemoryMB: 6000})
				if c.spills {
					s.at(now+1000, AttemptProgress{ID: id, Kind: ProgressSpilled, Value: 900})
				}
				s.at(now+1100, AttemptEnded{ID: id, Endpoint: 1, Outcome: OutcomeSucceeded, Latency: 1100, RequestClosed: true})
				now += 1200
			}
			sentCount := 0
			for i := range 6 {
				id := RequestID(fmt.Sprint("m", i))
				s.at(now, RequestArrived{ID: id, Class: 1, Group: 1, TimeLeft: 15000, EstimatedWork: 4000, EstimatedMemoryMB: 6000})
				if s.sentTo(id) != 0 {
					sentCount++
				}
			}
			if sentCount != c.wantSentCount {
				t.Errorf("spills %t: %d queries granted 7,500 MB sent to an endpoint of 16 GB, want %d", c.spills, sentCount, c.wantSentCount)
			}
		}
	})
}

// TestNeedAboveLargestGrantIsStillSent guards against leaving a query pending whose estimated memory is more than an
// endpoint has. With estimates too high by class, such a query waited past its objective and was rejected while
// endpoints were idle; no endpoint grants more than a part of its memory.
func TestNeedAboveLargestGrantIsStillSent(t *testing.T) {
	underTwoSettings(t, func(t *testing.T, settings Settings, start func(Settings, int) *script) {
		for _, estimatedMB := range []float64{6000, 20000, 90000} {
			s := start(settings, 4)
			s.at(0, RequestArrived{ID: "a", Class: 1, Group: 1, TimeLeft: 15000, EstimatedWork: 4000, EstimatedMemoryMB: estimatedMB})
			if s.sentTo("a") == 0 {
				t.Errorf("estimated at %.0f MB: not sent to any of four idle endpoints of 16,384 MB", estimatedMB)
			}
		}
	})
}
