package decide

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
)

// TestRulesHoldOnRandomHistories feeds random valid histories under random settings to a Balancer and checks seven
// rules. It keeps its own records and reads no state of the Balancer.

// trackedAttempt is the checker's record of an attempt.
type trackedAttempt struct {
	endpoint  EndpointID
	startedAt Millis
	endAt     Millis  // time at which the checker will report the end
	outcome   Outcome // outcome that the checker will report
	ended     bool
	cancelled bool
}

// trackedRequest is the checker's record of a request.
type trackedRequest struct {
	ev            RequestArrived
	deadline      Millis
	closed        bool // answered, or its client has disconnected
	attempts      []*trackedAttempt
	arrivalNumber int
}

// inFlight reports whether the request's last attempt has not ended.
func (r *trackedRequest) inFlight() bool {
	n := len(r.attempts)
	return n > 0 && !r.attempts[n-1].ended
}

// firstPossibleRun returns the first attempt that may have run, of an earlier request under the same key or of the request
// itself; nil: none.
func (b *ruleChecker) firstPossibleRun(r *trackedRequest) *EarlierRun {
	if r.ev.EarlierRun != nil {
		return r.ev.EarlierRun
	}
	for _, a := range r.attempts {
		if !a.ended || a.outcome != OutcomeOverloaded && a.outcome != OutcomeConnectFailed && a.outcome != OutcomeNotSent {
			e := b.listedEndpoints[a.endpoint]
			return &EarlierRun{a.startedAt, e.Zone, e.Cell}
		}
	}
	return nil
}

// ruleChecker feeds a random history of events to a Balancer and checks its actions.
type ruleChecker struct {
	test            *testing.T
	rng             *rand.Rand
	settings        Settings
	classWork       []float64 // actual work of each class, ms on one core
	balancer        *Balancer
	now             Millis
	arrivalCount    int // number of requests that have arrived
	listedEndpoints map[EndpointID]EndpointInfo
	requests        map[RequestID]*trackedRequest
	arrivals        []*trackedRequest
	timerDueTimes   []Millis // times at which running timers expire
	arrivalTimes    []Millis // since the balancer's start
	retryTimes      []Millis // since the balancer's start
	slowStartSends  map[EndpointID][]sentWork
	bestThroughput  float64                    // best observed ratio of speed to full speed of any endpoint
	pendingProbes   []EndpointID               // endpoints whose probe has not ended
	blockedUntil    map[uint64]Millis          // time until which a key is blocked, by order key
	blockedBy       map[uint64]*trackedRequest // the request whose attempt blocks the key, by order key
	sendCount       int                        // number of attempts started
	answerCount     int                        // number of final answers
}

func randomSettings(rng *rand.Rand) Settings {
	s := Settings{
		Balancers: 1 + rng.IntN(6), TickInterval: []Millis{1, 5}[rng.IntN(2)], MaxAttempts: 1 + rng.IntN(5),
		CancellationEnabled: rng.IntN(4) > 0, GossipEnabled: rng.IntN(2) == 0, ProbesEnabled: rng.IntN(2) == 0,
		LoadReportsEnabled: rng.IntN(2) == 0, ProbeCost: 0.01 * float64(rng.IntN(2)),
		MaxRetryAfter: float64(500 * rng.IntN(2)), GossipCost: 0.01 * float64(rng.IntN(2)), SubscriptionRequired: rng.IntN(3) == 0,
		MemoryGrantsEnabled: rng.IntN(2) == 0, PrioritiesEnabled: rng.IntN(2) == 0, ActualCostReported: rng.IntN(2) == 0,
		MemoryExhaustion: MemoryExhaustion(rng.IntN(3)), MaxGrantRatio: 0.4, OverQuotaWeightRatio: 0.2,
		Kinds: []EndpointKind{{8, 16384}, {16, 32768}},
		Rules: Rules{AnswerSlack: 20, SlowStartCapacityRatio: 0.3, SlowStartDuration: 12000, OverloadRatio: 2.5, OverloadWindow: 1500,
			DrainGrace: 1000, SubscribeInterval: 10000, KeyOrderDelay: 200 * float64(rng.IntN(2))},
	}
	if rng.IntN(3) == 0 {
		s.Balancers = 200 + rng.IntN(200)
	}
	s.BalancerIndex = rng.IntN(s.Balancers)
	if rng.IntN(2) == 0 {
		s.ProgressInterval = 500
	}
	if rng.IntN(2) == 0 {
		s.Rules.RetryBudgetEnabled, s.Rules.RetryBudgetMin, s.Rules.RetryBudgetRatio, s.Rules.RetryBudgetWindow = true, 1, 0.1, 5000
	}
	for i := 0; i < 1+rng.IntN(4); i++ {
		c := Class{LatencyObjective: 300 + 1500*rng.Float64(), Deadline: 4000, ObjectivePerWork: 2, PriorityWeight: 1 + 9*rng.Float64(),
			LateWeightRatio: 0.2, Threads: 1 + rng.IntN(4), Idempotency: Idempotency(rng.IntN(3)), DedupScope: DedupScope(rng.IntN(3)),
			DedupWindow: 1500, OrderedByKey: rng.IntN(3) == 0, LocksGroup: rng.IntN(3) == 0, WaitsForLocks: rng.IntN(3) == 0}
		if rng.IntN(3) == 0 {
			c.Zones = []int{rng.IntN(2)}
		}
		if rng.IntN(4) == 0 {
			c.Kinds = []int{rng.IntN(2)}
		}
		s.Classes = append(s.Classes, c)
	}
	if rng.IntN(2) == 0 {
		s.Tenants = []Tenant{{20, 0.7}, {10, 0.3}}
	}
	return s
}

// start starts a new Balancer, which knows nothing but the endpoint list.
func (b *ruleChecker) start() {
	restarted, err := New(b.settings, b.rng.Uint64())
	if err != nil {
		b.test.Fatal(err)
	}
	b.balancer = restarted
	b.requests, b.arrivals, b.timerDueTimes = map[RequestID]*trackedRequest{}, nil, nil
	b.arrivalTimes, b.retryTimes = nil, nil
	b.blockedUntil, b.blockedBy = map[uint64]Millis{}, map[uint64]*trackedRequest{}
	b.feed(EndpointUpdate{Kind: UpdateCached, Entries: b.list()})
}

func (b *ruleChecker) list() []EndpointInfo {
	var l []EndpointInfo
	for id := EndpointID(1); id < 40; id++ {
		if e, ok := b.listedEndpoints[id]; ok && e.State != EndpointRemoved {
			l = append(l, e)
		}
	}
	return l
}

// feed handles an event and checks the resulting actions.
func (b *ruleChecker) feed(ev Event) {
	for _, a := range b.balancer.Handle(b.now, ev) {
		b.check(a)
	}
}

func (b *ruleChecker) fail(format string, args ...any) {
	b.test.Helper()
	b.test.Fatalf("at %.1f: "+format, append([]any{b.now}, args...)...)
}

// check checks an action and records it.
func (b *ruleChecker) check(a Action) {
	switch a := a.(type) {
	case StartAttempt:
		b.checkSend(a)
	case Reject:
		r := b.finalAnswer(a.ID)
		if firstRun := b.firstPossibleRun(r); firstRun != nil {
			c := b.settings.Classes[r.ev.Class]
			if c.Idempotency == NotIdempotent || c.Idempotency == IdempotentByKey && (c.DedupScope != DedupFleet || b.now >= firstRun.StartedAt+c.DedupWindow) {
				b.fail("rule 2: %s rejected though it may have run and the client must not retry it", a.ID)
			}
		}
	case Fail:
		b.finalAnswer(a.ID)
	case CancelAttempt:
		r := b.requests[a.ID]
		if r == nil || a.Attempt >= len(r.attempts) || !b.settings.CancellationEnabled {
			b.fail("cancelled an attempt that was never started, or cancellation is disabled: %s", a.ID)
		}
		if attempt := r.attempts[a.Attempt]; !attempt.ended && !attempt.cancelled {
			attempt.cancelled, attempt.endAt, attempt.outcome = true, b.now+1, OutcomeCancelled
		}
	case StartTimer:
		b.timerDueTimes = append(b.timerDueTimes, b.now+a.After)
	case SendGossip:
		if !b.settings.GossipEnabled || len(a.Data) > 256 {
			b.fail("gossip message of %d bytes, gossip enabled: %v", len(a.Data), b.settings.GossipEnabled)
		}
	case Probe:
		if !b.settings.ProbesEnabled {
			b.fail("probe though probes are disabled")
		}
		b.pendingProbes = append(b.pendingProbes, a.Endpoint)
	}
}

// finalAnswer records the final answer of a request, which must be the only one.
func (b *ruleChecker) finalAnswer(id RequestID) *trackedRequest {
	r := b.requests[id]
	if r == nil || r.closed {
		b.fail("rule 1: a second final answer for %s", id)
	}
	r.closed = true
	b.answerCount++
	return r
}

func (b *ruleChecker) checkSend(a StartAttempt) {
	b.sendCount++
	r := b.requests[a.ID]
	if r == nil || r.closed {
		b.fail("rule 1: %s sent after its final answer", a.ID)
	}
	c := b.settings.Classes[r.ev.Class]
	e, ok := b.listedEndpoints[a.Endpoint]
	switch {
	case !ok || e.State != EndpointReady:
		b.fail("rule 3: %s sent to endpoint %d, which is listed in state %v", a.ID, a.Endpoint, e.State)
	case a.Timeout <= 0:
		b.fail("timeout %v is not above 0", a.Timeout)
	case r.inFlight():
		b.fail("two attempts of %s in flight", a.ID)
	case len(r.attempts) >= b.settings.MaxAttempts:
		b.fail("attempt %d of %s, above MaxAttempts", len(r.attempts), a.ID)
	case c.Zones != nil && c.Zones[0] != e.Zone, c.Kinds != nil && c.Kinds[0] != e.Kind:
		b.fail("rule 6: %s sent to zone %d, kind %d", a.ID, e.Zone, e.Kind)
	}
	b.checkDedupScope(r, c, e)
	b.checkKeyOrder(r, c)
	b.checkRetryBudget(r)
	b.checkSlowStart(r, e)
	newAttempt := &trackedAttempt{endpoint: a.Endpoint, startedAt: b.now, endAt: r.deadline, outcome: OutcomeTimeout}
	r.attempts = append(r.attempts, newAttempt)
	if b.rng.IntN(12) > 0 { // 1 of 12 attempts gets no answer
		minLatency := 0.0
		newAttempt.outcome = Outcome(b.rng.IntN(8))
		if b.rng.IntN(3) > 0 {
			newAttempt.outcome = OutcomeSucceeded
		}
		if newAttempt.outcome == OutcomeSucceeded { // the latency is at least that of the work alone
			minLatency = b.classWork[r.ev.Class] / float64(c.Threads)
		}
		newAttempt.endAt = b.now + minLatency + b.rng.ExpFloat64()*200
		if newAttempt.endAt >= r.deadline {
			newAttempt.endAt, newAttempt.outcome = r.deadline, OutcomeTimeout
		}
	}
}

func (b *ruleChecker) checkDedupScope(r *trackedRequest, c Class, e EndpointInfo) {
	firstRun := b.firstPossibleRun(r)
	if firstRun == nil || c.Idempotency == IdempotentAlways {
		return
	}
	inScope := c.DedupScope == DedupFleet || c.DedupScope == DedupZone && firstRun.Zone == e.Zone || c.DedupScope == DedupCell && firstRun.Cell == e.Cell
	if c.Idempotency == NotIdempotent || !inScope || b.now-firstRun.StartedAt > c.DedupWindow {
		b.fail("rule 2: %s sent again outside its deduplication scope or window", r.ev.ID)
	}
}

func (b *ruleChecker) checkKeyOrder(r *trackedRequest, c Class) {
	if !c.OrderedByKey || !r.ev.HasKey {
		return
	}
	for _, o := range b.arrivals {
		if o.arrivalNumber < r.arrivalNumber && o.ev.HasKey && o.ev.Key == r.ev.Key && b.settings.Classes[o.ev.Class].OrderedByKey &&
			(!o.closed || o.inFlight()) {
			b.fail("rule 5: %s sent before %s of the same key", r.ev.ID, o.ev.ID)
		}
	}
	if b.now < b.blockedUntil[r.ev.Key] && b.blockedBy[r.ev.Key] != r {
		b.fail("rule 5: key %d is still blocked by another request", r.ev.Key)
	}
}

func (b *ruleChecker) checkRetryBudget(r *trackedRequest) {
	rules := b.settings.Rules
	if len(r.attempts) == 0 || !rules.RetryBudgetEnabled {
		return
	}
	b.retryTimes = append(b.retryTimes, b.now)
	countInWindow := func(l []Millis) (n float64) {
		for _, t := range l {
			if t > b.now-rules.RetryBudgetWindow {
				n++
			}
		}
		return n
	}
	if retries, t := countInWindow(b.retryTimes), countInWindow(b.arrivalTimes); retries > rules.RetryBudgetMin+rules.RetryBudgetRatio*t {
		b.fail("rule 7: %v retries for %v requests exceed the retry budget", retries, t)
	}
}

func (b *ruleChecker) checkSlowStart(r *trackedRequest, e EndpointInfo) {
	rules := b.settings.Rules
	if e.StartedAt <= 0 || b.now >= e.StartedAt+rules.SlowStartDuration {
		return
	}
	b.slowStartSends[e.ID] = append(b.slowStartSends[e.ID], sentWork{b.now, b.classWork[r.ev.Class]})
	windowWork := 0.0
	for _, s := range b.slowStartSends[e.ID] {
		if s.sentAt > b.now-rules.OverloadWindow {
			windowWork += s.work
		}
	}
	fullCapacity := 0.85 * b.settings.Kinds[e.Kind].Cores * rules.OverloadWindow
	// One balancer may use half of the capacity that warming endpoints have at the start or have shown since. That all
	// balancers together stay below the complete budget is checked by
	// TestWarmingEndpointsOfSparseFleetCarryLongQueries.
	if allowedWork := rules.OverloadRatio * fullCapacity / 2 * max(rules.SlowStartCapacityRatio, b.bestThroughput); windowWork > allowedWork {
		b.fail("rule 4: %.0f ms of work sent to warming endpoint %d, %.0f ms allowed", windowWork, e.ID, allowedWork)
	}
}

// step advances the time to the next event: the end of an attempt, a timer or a random event.
func (b *ruleChecker) step() {
	nextAt := b.now + b.rng.ExpFloat64()*20
	timerDue := false
	sort.Float64s(b.timerDueTimes)
	if len(b.timerDueTimes) > 0 && b.timerDueTimes[0] <= nextAt {
		nextAt, timerDue = b.timerDueTimes[0], true
	}
	var endingRequest *trackedRequest
	for _, r := range b.arrivals {
		if r.inFlight() && r.attempts[len(r.attempts)-1].endAt <= nextAt {
			endingRequest, timerDue, nextAt = r, false, r.attempts[len(r.attempts)-1].endAt
		}
	}
	b.now = max(b.now, nextAt)
	for _, r := range b.arrivals {
		if !r.closed && b.now > r.deadline+b.settings.Rules.AnswerSlack {
			b.fail("rule 1: %s has no final answer after its deadline %.1f", r.ev.ID, r.deadline)
		}
	}
	switch {
	case endingRequest != nil:
		b.endAttempt(endingRequest)
	case timerDue:
		b.timerDueTimes = b.timerDueTimes[1:]
		b.feed(TimerFired{"tick"})
	default:
		b.randomEvent()
	}
}

// endAttempt ends the request's last attempt with its planned outcome.
func (b *ruleChecker) endAttempt(r *trackedRequest) {
	attemptIndex := len(r.attempts) - 1
	a := r.attempts[attemptIndex]
	a.ended = true
	c := b.settings.Classes[r.ev.Class]
	if c.OrderedByKey && r.ev.HasKey && (a.outcome == OutcomeTimeout || a.outcome == OutcomeReset || a.outcome == OutcomeCancelled) {
		b.blockedUntil[r.ev.Key], b.blockedBy[r.ev.Key] = b.now+b.settings.Rules.KeyOrderDelay, r
	}
	if a.outcome == OutcomeSucceeded && !r.closed {
		r.closed = true
		b.answerCount++
	}
	ev := AttemptEnded{ID: r.ev.ID, Attempt: attemptIndex, Endpoint: a.endpoint, Outcome: a.outcome, Latency: b.now - a.startedAt, RequestClosed: r.closed}
	if a.outcome == OutcomeSucceeded && b.settings.ActualCostReported {
		ev.ActualWork, ev.ActualMemoryMB = b.classWork[r.ev.Class], 100
		b.bestThroughput = max(b.bestThroughput, min(ev.ActualWork/float64(c.Threads)/ev.Latency, 1))
	}
	if b.rng.IntN(2) == 0 {
		ev.Load = &LoadReport{InFlight: b.rng.Float64() * 60, Queue: -1, Utilization: b.rng.Float64(), Latency: -1, Memory: -1, Disk: -1}
	}
	b.feed(ev)
}

// randomEvent feeds a random event, most often the arrival of a request.
func (b *ruleChecker) randomEvent() {
	switch eventDraw := b.rng.IntN(40); {
	case eventDraw == 0:
		b.changeList()
	case eventDraw == 1:
		b.feed(GossipReceived{From: b.rng.IntN(8) - 1, Data: []byte{byte(b.rng.IntN(3)), byte(b.rng.IntN(256)), 200, 3}})
	case eventDraw == 2:
		b.feed(EndpointUpdate{Kind: UpdateFailed})
	case eventDraw == 3 && len(b.arrivals) > 0:
		if r := b.arrivals[b.rng.IntN(len(b.arrivals))]; !r.closed {
			r.closed = true
			b.feed(ClientDisconnected{r.ev.ID})
		}
	case eventDraw < 8 && len(b.arrivals) > 0:
		r := b.arrivals[b.rng.IntN(len(b.arrivals))]
		b.feed(AttemptProgress{ID: r.ev.ID, Attempt: len(r.attempts) - 1, Kind: ProgressKind(1 + b.rng.IntN(3)), Value: b.rng.Float64()})
	case eventDraw < 14 && eventDraw > 8 && len(b.pendingProbes) > 0: // some probes never end
		ev := ProbeEnded{Endpoint: b.pendingProbes[0], Outcome: Outcome(b.rng.IntN(8)), Latency: 3}
		if b.rng.IntN(2) == 0 {
			ev.Load = &LoadReport{InFlight: b.rng.Float64() * 60, Queue: -1, Utilization: -1, Latency: -1, Memory: -1, Disk: -1}
		}
		b.pendingProbes = b.pendingProbes[1:]
		b.feed(ev)
	case eventDraw == 8 && b.rng.IntN(20) == 0:
		b.start() // restarted without its state
	default:
		b.arrive()
	}
}

func (b *ruleChecker) arrive() {
	b.arrivalCount++
	class := b.rng.IntN(len(b.settings.Classes))
	ev := RequestArrived{ID: RequestID(fmt.Sprint("r", b.arrivalCount)), Class: class, Group: uint64(b.rng.IntN(9)), TimeLeft: 4000 * b.rng.Float64(),
		Key: uint64(b.rng.IntN(5)), HasKey: b.rng.IntN(2) == 0}
	if len(b.settings.Tenants) > 0 {
		ev.Tenant = b.rng.IntN(2)
	}
	if b.rng.IntN(2) == 0 {
		ev.EstimatedWork, ev.EstimatedMemoryMB = b.classWork[class]*(0.5+b.rng.Float64()), 200
	}
	if c := b.settings.Classes[class]; c.Idempotency == IdempotentByKey && b.rng.IntN(3) == 0 { // a client's retry under its key
		ev.EarlierRun = &EarlierRun{b.now - 1.2*c.DedupWindow*b.rng.Float64(), b.rng.IntN(2), b.rng.IntN(3)}
	}
	r := &trackedRequest{ev: ev, deadline: b.now + ev.TimeLeft, arrivalNumber: b.arrivalCount}
	b.requests[ev.ID] = r
	b.arrivals = append(b.arrivals, r)
	b.arrivalTimes = append(b.arrivalTimes, b.now)
	b.feed(ev)
}

// changeList changes the state of one endpoint and sends the complete list or that entry.
func (b *ruleChecker) changeList() {
	id := EndpointID(1 + b.rng.IntN(8))
	e, ok := b.listedEndpoints[id]
	if !ok || e.State != EndpointReady {
		e = b.initialEntry(id)
		e.StartedAt = b.now + 0.001
		e.State = EndpointReady
		delete(b.slowStartSends, id)
	} else {
		e.State = EndpointState(b.rng.IntN(3))
	}
	b.listedEndpoints[id] = e
	if b.rng.IntN(3) == 0 {
		b.feed(EndpointUpdate{Kind: UpdateSnapshot, Entries: b.list()})
	} else {
		b.feed(EndpointUpdate{Kind: UpdateIncremental, Entries: []EndpointInfo{e}})
	}
}

func (b *ruleChecker) initialEntry(id EndpointID) EndpointInfo {
	return EndpointInfo{ID: id, Zone: int(id) % 2, Kind: int(id) / 2 % 2, Cell: int(id) / 3, State: EndpointReady}
}

func TestRulesHoldOnRandomHistories(t *testing.T) {
	for seed := uint64(1); seed <= 250; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 77))
			b := &ruleChecker{test: t, rng: rng, settings: randomSettings(rng), now: 1000, listedEndpoints: map[EndpointID]EndpointInfo{},
				slowStartSends: map[EndpointID][]sentWork{}}
			for _, c := range b.settings.Classes {
				b.classWork = append(b.classWork, c.LatencyObjective*float64(c.Threads)*(0.1+0.5*rng.Float64()))
			}
			for id := EndpointID(1); id <= 6; id++ {
				b.listedEndpoints[id] = b.initialEntry(id)
			}
			b.start()
			for i := 0; i < 2500; i++ {
				b.step()
			}
			if b.sendCount == 0 || b.answerCount == 0 {
				t.Fatalf("%d sends, %d answers: the history checks nothing", b.sendCount, b.answerCount)
			}
		})
	}
}
