package decide

import (
	"fmt"
	"testing"
)

func TestOverdueAttemptIsRetriedElsewhere(t *testing.T) {
	s := newScript(t, plainSettings(), 3)
	now := s.completeInSequence(10, 30, 5, 0, 50)
	s.at(now, RequestArrived{ID: "stuck", Group: 5, TimeLeft: 3000})
	firstEndpoint := s.sentTo("stuck")
	for ; !s.cancelled("stuck"); now += 50 {
		if now > 3000+1500 {
			t.Fatal("overdue attempt is never cancelled")
		}
		s.at(now, TimerFired{"tick"})
	}
	s.at(now, AttemptEnded{ID: "stuck", Endpoint: firstEndpoint, Outcome: OutcomeCancelled})
	if retryEndpoint := s.sentTo("stuck"); retryEndpoint == 0 || retryEndpoint == firstEndpoint {
		t.Fatalf("sent to endpoint %d, retried at %d", firstEndpoint, retryEndpoint)
	}
}

func TestUniformSlownessEjectsNoEndpoint(t *testing.T) {
	s := newScript(t, plainSettings(), 4)
	now := Millis(10)
	for group := range uint64(8) {
		now = s.completeInSequence(now, 10, group, 0, 50)
	}
	for group := range uint64(8) {
		now = s.completeInSequence(now, 10, group, 0, 400)
	}
	s.at(now, TimerFired{"tick"})
	for _, e := range s.balancer.endpoints.sorted {
		if e.health.isEjected {
			t.Fatalf("endpoint %d ejected though all are equally slow", e.ID)
		}
	}
}

func TestDeadEndpointIsEjectedAndReturnsInSlowStart(t *testing.T) {
	s := newScript(t, plainSettings(), 3)
	s.at(0, RequestArrived{ID: "a", Group: 5, TimeLeft: 3000})
	deadID := s.sentTo("a")
	s.at(10, AttemptEnded{ID: "a", Endpoint: deadID, Outcome: OutcomeReset})
	e := s.balancer.endpoints.byID[deadID]
	if !e.health.isEjected {
		t.Fatal("a lost connection does not eject the endpoint")
	}
	s.at(5000, RequestArrived{ID: "b", Group: 5, TimeLeft: 3000})
	if s.sentTo("b") != deadID {
		t.Fatal("no trial request is sent after the ejection")
	}
	s.at(5050, AttemptEnded{ID: "b", Endpoint: deadID, Outcome: OutcomeSucceeded, Latency: 50, RequestClosed: true})
	if e.health.isEjected || !s.balancer.slowStart.warming(e) {
		t.Fatalf("after a successful trial: ejected %v, warming %v", e.health.isEjected, s.balancer.slowStart.warming(e))
	}
}

func TestSoftEvidenceEjectsOnlyPartOfTheFleet(t *testing.T) {
	s := newScript(t, plainSettings(), 4)
	for _, e := range s.balancer.endpoints.sorted {
		e.health.lastActivityAt = 0
	}
	for _, e := range s.balancer.endpoints.sorted {
		s.balancer.outliers.eject(e, EjectedErrors)
	}
	ejectedCount := 0
	for _, e := range s.balancer.endpoints.sorted {
		if e.health.isEjected {
			ejectedCount++
		}
	}
	if ejectedCount == 0 || ejectedCount > 3 {
		t.Fatalf("%d of 4 ejected on soft evidence", ejectedCount)
	}
}

func TestUnresponsiveFleetEjectsNoEndpoint(t *testing.T) {
	s := newScript(t, plainSettings(), 3)
	for i := range 12 {
		s.at(0, RequestArrived{ID: RequestID(fmt.Sprint(i)), Group: uint64(i), TimeLeft: 60000})
	}
	for now := Millis(0); now < 20000; now += 50 {
		s.at(now, TimerFired{"tick"})
	}
	for _, e := range s.balancer.endpoints.sorted {
		if e.health.isEjected {
			t.Fatalf("endpoint %d ejected though none answers", e.ID)
		}
	}
}

func TestMissedProgressNoticesEjectEndpoint(t *testing.T) {
	settings := plainSettings()
	settings.ProgressInterval = 500
	s := newScript(t, settings, 4)
	now := s.completeInSequence(10, 30, 5, 0, 50)
	s.at(now, RequestArrived{ID: "a", Group: 5, TimeLeft: 1500})
	s.at(now, RequestArrived{ID: "b", Group: 5, TimeLeft: 1500})
	home := s.balancer.endpoints.byID[s.sentTo("b")]
	if r := s.balancer.requests["a"]; r.current.endpoint != home { // sparse traffic spreads: move both attempts to one endpoint
		s.balancer.endpoints.detach(r, r.current.endpoint, s.balancer.estimates.class(r))
		r.current.endpoint, home.inFlight.attempts[r] = home, struct{}{}
	}
	other := s.balancer.endpoints.sorted[0]
	if other == home {
		other = s.balancer.endpoints.sorted[1]
	}
	other.health.lastActivityAt = now + 800
	s.at(now+850, TimerFired{"tick"})
	if !home.health.isEjected || !s.cancelled("b") {
		t.Fatalf("ejected %v, actions %v", home.health.isEjected, s.actions)
	}
}

// TestOwnPauseIsNotUnresponsiveness checks that a balancer that was paused itself doesn't blame endpoints for missed
// progress notices and late answers.
func TestOwnPauseIsNotUnresponsiveness(t *testing.T) {
	for _, pause := range []Millis{2000, 0} {
		settings := plainSettings()
		settings.ProgressInterval = 500
		s := newScript(t, settings, 4)
		now := s.completeInSequence(10, 30, 5, 0, 50)
		s.at(now, TimerFired{"tick"})
		s.at(now, RequestArrived{ID: "a", Class: 1, Group: 5, TimeLeft: 15000})
		for ; pause == 0 && now < 4000; now += 50 {
			s.at(now, TimerFired{"tick"})
			if s.cancelled("a") {
				break
			}
		}
		now += pause
		pressureBefore := s.balancer.estimates.pressure(s.balancer.endpoints.sorted[0])
		if pause > 0 {
			s.actions = s.balancer.Handle(now, TimerFired{"tick"})
			s.balancer.estimates.observePressure(s.balancer.endpoints.sorted[0], 5)
		}
		if s.cancelled("a") != (pause == 0) || s.balancer.estimates.pressure(s.balancer.endpoints.sorted[0]) > pressureBefore {
			t.Fatalf("after a pause of %v: actions %v, latency pressure %v", pause, s.actions, s.balancer.estimates.pressure(s.balancer.endpoints.sorted[0]))
		}
	}
}

// zonedScript starts one balancer of several with n endpoints in each of three zones, of two kinds. Endpoint i+1 is in
// zone i%3.
func zonedScript(t *testing.T, balancers, n int) *script {
	t.Helper()
	settings := plainSettings()
	settings.Balancers, settings.GossipEnabled, settings.GossipCost = balancers, true, 0.01
	settings.Kinds = []EndpointKind{{8, 16384}, {16, 32768}}
	s := newScript(t, settings, 0)
	var entries []EndpointInfo
	for i := range 3 * n {
		entries = append(entries, EndpointInfo{ID: EndpointID(i + 1), State: EndpointReady, Zone: i % 3, Kind: i / 3 % 2, Cell: i})
	}
	s.at(0, EndpointUpdate{Kind: UpdateCached, Entries: entries})
	return s
}

// runTraffic sends five short requests per second between two times. Endpoints for which isDead is true refuse connections,
// the others succeed. It returns the number of refused attempts.
func (s *script) runTraffic(from, to Millis, isDead func(EndpointID) bool) (refusedCount int) {
	for now := from; now < to; now += 200 {
		id := RequestID(fmt.Sprint(now))
		s.at(now, RequestArrived{ID: id, Group: uint64(now), TimeLeft: 3000})
		for e, attemptIndex := s.sentTo(id), 0; e != 0; e, attemptIndex = s.sentTo(id), attemptIndex+1 {
			if isDead(e) {
				refusedCount++
				s.at(now+5, AttemptEnded{ID: id, Endpoint: e, Attempt: attemptIndex, Outcome: OutcomeConnectFailed})
				continue
			}
			s.at(now+100, AttemptEnded{ID: id, Endpoint: e, Attempt: attemptIndex, Outcome: OutcomeSucceeded, Latency: 95, RequestClosed: true})
			break
		}
		s.at(now+150, TimerFired{"tick"})
	}
	return refusedCount
}

// TestConnectFailuresEjectTheirFailureDomain checks a zone that refuses connections while the endpoint list has its
// endpoints as ready. A balancer with five requests per second must neither lose attempts at each of them nor use up
// its requests as trial requests to them, and must use the zone again once it is back.
func TestConnectFailuresEjectTheirFailureDomain(t *testing.T) {
	for _, balancers := range []int{3, 300} {
		s := zonedScript(t, balancers, 10)
		inRefusingZone := func(e EndpointID) bool { return int(e-1)%3 == 1 }
		s.runTraffic(1000, 5000, func(EndpointID) bool { return false })
		if refusedCount := s.runTraffic(5000, 25000, inRefusingZone); refusedCount > 16 {
			t.Fatalf("%d balancers: %d attempts for 100 queries went to a zone that refuses connections", balancers, refusedCount)
		}
		s.runTraffic(25000, 37000, func(EndpointID) bool { return false })
		for _, e := range s.balancer.endpoints.sorted {
			if e.health.isEjected {
				t.Fatalf("%d balancers: endpoint %d still ejected 12 s after its zone is back", balancers, e.ID)
			}
		}
	}
}

// TestTwoDeadEndpointsDoNotEjectTheirZone checks that an answer from a failure domain clears the evidence against the
// complete domain.
func TestTwoDeadEndpointsDoNotEjectTheirZone(t *testing.T) {
	s := zonedScript(t, 300, 10)
	s.runTraffic(1000, 5000, func(EndpointID) bool { return false })
	s.runTraffic(5000, 25000, func(e EndpointID) bool { return e == 2 || e == 5 })
	for _, e := range s.balancer.endpoints.sorted {
		if e.health.isEjected && e.ID != 2 && e.ID != 5 {
			t.Fatalf("endpoint %d is ejected though it answers", e.ID)
		}
	}
}

// TestConnectFailureReportedByPeerEjects checks that a connection failure reported by a peer ejects the endpoint here
// without failures of this balancer's own. A report older than the endpoint's last activity, or of an unknown endpoint,
// changes nothing; a load report newer than the failure ends the ejection.
func TestConnectFailureReportedByPeerEjects(t *testing.T) {
	s := zonedScript(t, 300, 10)
	now := Millis(5000)
	ejectedCount := func() (n int) {
		for _, e := range s.balancer.endpoints.sorted {
			if e.health.isEjected {
				n++
			}
		}
		return n
	}
	receiveReport := func(id EndpointID, values ...float64) {
		s.at(now, GossipReceived{From: 1, Data: encodeGossip(gossipReports, []gossipLine{{gossipTag(id), values}}, maxMessageBytes)})
	}
	receiveReport(2, 2, 4, 0)
	receiveReport(2, 9, 0, 0)
	receiveReport(999, 1, 0, 0)
	if ejectedCount() != 0 {
		t.Fatal("an old report, or one of an unknown endpoint, ejects")
	}
	now += 1000
	receiveReport(2, 1, 0, 0)
	if ejectedCount() != 1 {
		t.Fatalf("%d endpoints ejected after one reported connection failure", ejectedCount())
	}
	now += 1000
	receiveReport(2, 1, 4, 0)
	if ejectedCount() != 0 {
		t.Fatal("still ejected though a peer has reported activity since")
	}
}

// TestConnectFailuresEverywhereLeaveCandidates checks that requests are still sent when all endpoints are ejected: an
// attempt is better than certain failure, and an endpoint that is back gets used at once.
func TestConnectFailuresEverywhereLeaveCandidates(t *testing.T) {
	for _, balancers := range []int{3, 300} {
		s := zonedScript(t, balancers, 4)
		s.runTraffic(1000, 9000, func(EndpointID) bool { return true })
		s.at(9000, RequestArrived{ID: "after", Group: 4, TimeLeft: 3000})
		if s.sentTo("after") == 0 {
			t.Fatalf("%d balancers: nothing is sent after all endpoints have refused", balancers)
		}
	}
}

// TestOneOverdueAttemptEjectsInSparseTraffic guards against requiring two overdue attempts where traffic is sparse. An
// endpoint that had stopped answering got 20 queries per second from 80 balancers for 11 s, as none of them ever had
// two attempts there at the same time. A balancer has to eject the endpoint after one lost attempt, try it again
// seldom, and use it once it answers.
func TestOneOverdueAttemptEjectsInSparseTraffic(t *testing.T) {
	settings := plainSettings()
	settings.Balancers = 80
	s := newScript(t, settings, 10)
	now := s.completeInSequence(10, 40, 5, 0, 50)
	sentCounts, start := map[bool]int{}, now // attempts at the unresponsive endpoint, by whether it is still unresponsive
	for i := 0; now < start+40000; i++ {
		id, unresponsive := RequestID(fmt.Sprint("q", i)), now < start+20000
		s.at(now, RequestArrived{ID: id, Group: uint64(i % 72), TimeLeft: 3000})
		e, attemptIndex := s.sentTo(id), 0
		if e == 3 {
			sentCounts[unresponsive]++
		}
		for retryUntil := now + 3000; e == 3 && unresponsive && now < retryUntil; now += 50 {
			s.at(now, TimerFired{"tick"})
			if s.cancelled(id) {
				s.at(now, AttemptEnded{ID: id, Endpoint: e, Outcome: OutcomeCancelled})
				e, attemptIndex = s.sentTo(id), 1
			}
		}
		s.at(now+50, AttemptEnded{ID: id, Endpoint: e, Attempt: attemptIndex, Outcome: OutcomeSucceeded, Latency: 50, RequestClosed: true})
		now += 200
		s.at(now, TimerFired{"tick"})
	}
	if sentCounts[true] > 6 || sentCounts[false] < 8 {
		t.Fatalf("%d of 100 queries to an unresponsive endpoint, %d of 100 once it answers", sentCounts[true], sentCounts[false])
	}
}

// TestSlowQueryEjectsOnlyWhenOverdue guards against too low a bound on overdue attempts. In sparse traffic one overdue
// attempt ejects an endpoint, and estimates are rough: with a bound of four times the expected latency, one query in
// twenty ejected a healthy endpoint. The bound is the largest ratio that a latency sample counts as.
func TestSlowQueryEjectsOnlyWhenOverdue(t *testing.T) {
	settings := plainSettings()
	settings.Balancers = 80
	s := newScript(t, settings, 10)
	now := s.completeInSequence(10, 40, 5, 0, 50)
	s.at(now, RequestArrived{ID: "long", Group: 3, TimeLeft: 3000})
	e := s.sentTo("long")
	for start := now; now < start+600; now += 50 {
		s.at(now, TimerFired{"tick"})
		switch isEjected := s.balancer.endpoints.byID[e].health.isEjected; {
		case isEjected && now < start+300:
			t.Fatalf("ejected after %.0f ms, expected latency 50 ms", now-start)
		case isEjected:
			return
		}
	}
	t.Fatal("not ejected after 600 ms, expected latency 50 ms")
}

// TestOneErrorEjectsInSparseTraffic guards against requiring three errors in a row where traffic is sparse: none of
// hundreds of balancers sends three requests to an endpoint while it fails, and of 75 endpoints each balancer has seen
// recent activity only of the few that it sent requests to.
func TestOneErrorEjectsInSparseTraffic(t *testing.T) {
	settings := plainSettings()
	settings.Balancers = 300
	s := newScript(t, settings, 60)
	for i := range 4 { // only few endpoints have recent activity
		id := RequestID(fmt.Sprint("ok", i))
		s.at(float64(1000+i), RequestArrived{ID: id, Group: uint64(i), TimeLeft: 3000})
		s.at(float64(1010+i), AttemptEnded{ID: id, Endpoint: s.sentTo(id), Outcome: OutcomeSucceeded, Latency: 9, RequestClosed: true})
	}
	s.at(1050, RequestArrived{ID: "bad", Group: 9, TimeLeft: 3000})
	failingID := s.sentTo("bad")
	s.at(1051, AttemptEnded{ID: "bad", Endpoint: failingID, Outcome: OutcomeError})
	if !s.balancer.endpoints.byID[failingID].health.isEjected {
		t.Fatal("an endpoint that fails while others answer stays in rotation")
	}
	for i := range 40 { // when all fail, most stay in rotation
		id := RequestID(fmt.Sprint("all", i))
		s.at(5000, RequestArrived{ID: id, Group: uint64(i), TimeLeft: 3000})
		s.at(5001, AttemptEnded{ID: id, Endpoint: s.sentTo(id), Outcome: OutcomeError, RequestClosed: true})
	}
	ejectedCount := 0
	for _, e := range s.balancer.endpoints.sorted {
		if e.health.isEjected {
			ejectedCount++
		}
	}
	if ejectedCount > len(s.balancer.endpoints.sorted)/2 {
		t.Fatalf("%d of %d endpoints ejected though all fail", ejectedCount, len(s.balancer.endpoints.sorted))
	}
}
