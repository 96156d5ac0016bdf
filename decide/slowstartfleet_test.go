package decide

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

var slowStartSeeds = flag.Int("slow-start-seeds", 200, "number of simulations of slow start for each number of balancers")

// randomExcess returns by how many attempts a budget of n attempts may be exceeded at random.
func randomExcess(n float64) float64 { return 2*math.Sqrt(n) + 2 }

// scheduledEvent is a function to call at a simulated time. Events of the same time run in order of sequence.
type scheduledEvent struct {
	at       Millis
	sequence int
	do       func()
}

// eventQueue is a heap of events by time.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// warmingEndpoint is a simulated endpoint. It slows down evenly when overloaded, and its capacity grows with its age.
type warmingEndpoint struct {
	id        EndpointID
	startedAt Millis // 0: long before the simulation
	downUntil Millis // connections are refused before this time
	removed   bool
	threads   float64    // threads in use
	received  []sentWork // attempts received in the last overload window; work in multiples of a mean request
}

// slowStartFleet simulates balancers and endpoints, some of which start during the simulation.
type slowStartFleet struct {
	test          *testing.T
	rng           *rand.Rand
	settings      Settings
	meanWork      []float64 // actual mean work of each class, ms on one core
	trafficRatios []float64 // share of each class in the requests
	queue         eventQueue
	sequence      int
	now           Millis
	balancers     []*simulatedBalancer
	endpoints     map[EndpointID]*warmingEndpoint
	misconfigure  func(*Settings) // changes the settings of the balancers only; nil: no change
	worstExcess   float64         // largest excess over a budget, as a ratio of randomExcess
	receivedWork  float64         // work of the attempts at all warming endpoints, in multiples of a mean request's work
	budgetWork    float64         // budget of all warming endpoints, in multiples of a mean request's work
}

// simulatedBalancer is one balancer of the fleet with its open requests.
type simulatedBalancer struct {
	fleet        *slowStartFleet
	index        int
	balancer     *Balancer
	incarnation  int                   // number of starts; events of an earlier incarnation are dropped
	notifiedAt   map[EndpointID]Millis // time at which the balancer learned of an endpoint's start
	listDelay    Millis                // mean delay of the endpoint updates to this balancer
	openRequests map[RequestID]*simulatedRequest
	weight       float64 // weight of the balancer in the division of the traffic
}

// simulatedRequest is an open request of a balancer.
type simulatedRequest struct {
	class        int
	attemptCount int
	cancel       func()
}

// schedule schedules a call of a function after a delay.
func (f *slowStartFleet) schedule(d Millis, do func()) {
	f.sequence++
	heap.Push(&f.queue, scheduledEvent{f.now + max(d, 0), f.sequence, do})
}

// meanRequestWork is the mean work of a request over all classes, in ms on one core.
func (f *slowStartFleet) meanRequestWork() (mean float64) {
	for i, w := range f.meanWork {
		mean += w * f.trafficRatios[i]
	}
	return mean
}

// warming reports whether the endpoint is in slow start.
func (f *slowStartFleet) warming(e *warmingEndpoint) bool {
	return !e.removed && e.startedAt > 0 && f.now >= e.startedAt && f.now < e.startedAt+f.settings.Rules.SlowStartDuration
}

// budget is the number of requests of mean work that an endpoint withstands within an overload window now.
func (f *slowStartFleet) budget(e *warmingEndpoint) float64 {
	r := f.settings.Rules
	return r.OverloadRatio * f.capacityRatio(e) * f.settings.Kinds[0].Cores * usableCores * r.OverloadWindow / f.meanRequestWork()
}

// capacityRatio is the ratio of its full capacity that an endpoint has now.
func (f *slowStartFleet) capacityRatio(e *warmingEndpoint) float64 {
	r := f.settings.Rules
	if !f.warming(e) {
		return 1
	}
	return min(r.SlowStartCapacityRatio+(1-r.SlowStartCapacityRatio)*(f.now-e.startedAt)/r.SlowStartDuration, 1)
}

// list returns the endpoint list as it is now.
func (f *slowStartFleet) list() (l []EndpointInfo) {
	for _, e := range f.endpoints {
		if !e.removed && f.now >= e.downUntil {
			l = append(l, e.listEntry())
		}
	}
	slices.SortFunc(l, func(a, b EndpointInfo) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// epoch is the Unix time in ms at which simulations begin.
const epoch = 1.7e12

// listEntry returns the entry of the endpoint in the endpoint list.
func (e *warmingEndpoint) listEntry() EndpointInfo {
	l := EndpointInfo{ID: e.id, State: EndpointReady, Cell: int(e.id) % 3}
	if e.startedAt > 0 {
		l.StartedAt = epoch + e.startedAt
	}
	return l
}

// notify sends an entry to all balancers, each after a random delay around its listDelay.
func (f *slowStartFleet) notify(entry EndpointInfo) {
	for _, b := range f.balancers {
		atIncarnation := b.incarnation
		f.schedule(b.listDelay*(0.5+f.rng.Float64()), func() {
			if b.incarnation != atIncarnation {
				return
			}
			if entry.State == EndpointReady && entry.StartedAt > 0 {
				b.notifiedAt[entry.ID] = f.now
			}
			b.handle(EndpointUpdate{Kind: UpdateIncremental, Entries: []EndpointInfo{entry}})
		})
	}
}

// start starts or restarts the balancer with the current endpoint list.
func (b *simulatedBalancer) start() {
	adjusted := b.fleet.settings
	adjusted.BalancerIndex = b.index
	if b.fleet.misconfigure != nil {
		b.fleet.misconfigure(&adjusted)
	}
	restarted, err := New(adjusted, b.fleet.rng.Uint64())
	if err != nil {
		b.fleet.test.Fatal(err)
	}
	for _, r := range b.openRequests {
		r.cancel()
	}
	b.balancer, b.incarnation, b.openRequests, b.notifiedAt = restarted, b.incarnation+1, map[RequestID]*simulatedRequest{}, map[EndpointID]Millis{}
	l := b.fleet.list()
	for _, e := range l {
		if e.StartedAt > 0 {
			b.notifiedAt[e.ID] = b.fleet.now
		}
	}
	b.handle(EndpointUpdate{Kind: UpdateCached, Entries: l})
}

// handle passes an event to the balancer and carries out its actions.
func (b *simulatedBalancer) handle(ev Event) {
	f, atIncarnation := b.fleet, b.incarnation
	scheduleUnlessRestarted := func(d Millis, do func()) {
		f.schedule(d, func() {
			if b.incarnation == atIncarnation {
				do()
			}
		})
	}
	for _, a := range b.balancer.Handle(epoch+f.now, ev) {
		switch a := a.(type) {
		case StartTimer:
			scheduleUnlessRestarted(a.After, func() { b.handle(TimerFired{a.Token}) })
		case Probe:
			probedEndpoint, outcome := f.endpoints[a.Endpoint], OutcomeSucceeded
			var load *LoadReport
			if probedEndpoint == nil || probedEndpoint.removed || f.now < probedEndpoint.downUntil {
				outcome = OutcomeConnectFailed
			} else if f.settings.LoadReportsEnabled {
				load = &LoadReport{InFlight: probedEndpoint.threads / 2, Queue: -1, Utilization: -1, Latency: -1, Memory: -1, Disk: -1}
			}
			scheduleUnlessRestarted(2, func() { b.handle(ProbeEnded{Endpoint: a.Endpoint, Outcome: outcome, Load: load, Latency: 2}) })
		case StartAttempt:
			b.send(a, scheduleUnlessRestarted)
		case CancelAttempt:
			if r := b.openRequests[a.ID]; r != nil && a.Attempt == r.attemptCount-1 {
				r.cancel()
				scheduleUnlessRestarted(1, func() { b.handle(AttemptEnded{ID: a.ID, Attempt: a.Attempt, Outcome: OutcomeCancelled, Latency: 1}) })
			}
		}
	}
}

// send carries out an attempt. It records the attempt at a warming endpoint of whose start the balancer has been
// notified.
func (b *simulatedBalancer) send(a StartAttempt, scheduleUnlessRestarted func(Millis, func())) {
	f, r, e := b.fleet, b.openRequests[a.ID], b.fleet.endpoints[a.Endpoint]
	if r == nil {
		return
	}
	attemptIndex, sentAt := r.attemptCount, f.now
	r.attemptCount++
	reportEnd := func(outcome Outcome, work float64) {
		b.handle(AttemptEnded{ID: a.ID, Attempt: attemptIndex, Endpoint: a.Endpoint, Outcome: outcome, Latency: f.now - sentAt, RequestClosed: outcome == OutcomeSucceeded, ActualWork: work})
	}
	r.cancel = func() {}
	if e == nil || e.removed || f.now < e.downUntil {
		scheduleUnlessRestarted(1, func() { reportEnd(OutcomeConnectFailed, 0) })
		return
	}
	if notifiedAt, notified := b.notifiedAt[e.id]; notified && notifiedAt >= e.startedAt && f.warming(e) {
		f.recordAttempt(e, r.class)
	}
	c := f.settings.Classes[r.class]
	work := f.meanWork[r.class] * math.Exp(f.rng.NormFloat64()*0.8-0.32)
	threads := float64(c.Threads)
	e.threads += threads
	endpointStart := e.startedAt
	slowdown := max(e.threads/(f.settings.Kinds[0].Cores*usableCores*f.capacityRatio(e)), 1)
	isCancelled, threadsReleased := false, false
	releaseThreads := func() {
		if !threadsReleased {
			threadsReleased = true
			e.threads -= threads
		}
	}
	r.cancel = func() { isCancelled = true; releaseThreads() }
	f.schedule(work/threads*slowdown, func() {
		releaseThreads()
		if isCancelled {
			return
		}
		scheduleUnlessRestarted(0, func() {
			if e.removed || e.startedAt != endpointStart {
				reportEnd(OutcomeReset, 0)
			} else {
				reportEnd(OutcomeSucceeded, work)
			}
		})
	})
}

// recordAttempt compares the attempts at a warming endpoint within an overload window, in requests of mean work, with
// its budget.
func (f *slowStartFleet) recordAttempt(e *warmingEndpoint, class int) {
	requestEquivalents := f.meanWork[class] / f.meanRequestWork()
	e.received = append(slices.DeleteFunc(e.received, func(s sentWork) bool { return s.sentAt <= f.now-f.settings.Rules.OverloadWindow }), sentWork{f.now, requestEquivalents})
	windowWork := 0.0
	for _, s := range e.received {
		windowWork += s.work
	}
	budget := f.budget(e)
	f.worstExcess = max(f.worstExcess, (windowWork-budget)/randomExcess(budget))
	f.receivedWork += requestEquivalents
}

// arrive lets a request of a random class arrive.
func (b *simulatedBalancer) arrive(id int) {
	f := b.fleet
	classDraw, class := f.rng.Float64(), 0
	for class < len(f.trafficRatios)-1 && classDraw > f.trafficRatios[class] {
		classDraw, class = classDraw-f.trafficRatios[class], class+1
	}
	requestID := RequestID(fmt.Sprint(b.incarnation, "-", id))
	b.openRequests[requestID] = &simulatedRequest{class: class, cancel: func() {}}
	estimatedWork := f.meanWork[class] * math.Exp(f.rng.NormFloat64()*0.4)
	b.handle(RequestArrived{ID: requestID, Class: class, Group: f.rng.Uint64N(40), TimeLeft: f.settings.Classes[class].Deadline, EstimatedWork: estimatedWork})
}

// simulateSlowStartFleet draws random settings, traffic and starts of endpoints, and simulates 26 s. It returns the
// largest excess over a budget as a ratio of randomExcess (above 1: a violation) and the ratio of all budgets that was
// used. misconfiguration changes the settings of the balancers, but not those of the simulated endpoints.
func simulateSlowStartFleet(t *testing.T, balancerCount int, seed uint64, misconfiguration func(*Settings)) (excess, usedRatio float64) {
	rng := rand.New(rand.NewPCG(seed, uint64(balancerCount)))
	randomBetween := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	f := &slowStartFleet{test: t, rng: rng, endpoints: map[EndpointID]*warmingEndpoint{}, misconfigure: misconfiguration, worstExcess: math.Inf(-1)}
	f.meanWork = []float64{randomBetween(50, 230), randomBetween(2500, 5900), randomBetween(2800, 7800)}
	f.trafficRatios = []float64{randomBetween(10, 18), randomBetween(2, 2.9), randomBetween(0.5, 1.3)}
	sumOfRatios := f.trafficRatios[0] + f.trafficRatios[1] + f.trafficRatios[2]
	for i := range f.trafficRatios {
		f.trafficRatios[i] /= sumOfRatios
	}
	f.settings = Settings{Balancers: balancerCount, TickInterval: 5, MaxAttempts: 3, CancellationEnabled: true, MaxRetryAfter: 500, ActualCostReported: rng.IntN(2) == 0,
		Kinds: []EndpointKind{{Cores: float64(8 + 4*rng.IntN(3))}}, ProbesEnabled: rng.IntN(2) == 0, LoadReportsEnabled: rng.IntN(2) == 0, ProbeCost: 0.01,
		Classes: []Class{{LatencyObjective: 500, Deadline: 2500, Threads: 1, PriorityWeight: 1, LateWeightRatio: 0.1, ObjectivePerWork: 1.5},
			{LatencyObjective: 1500, Deadline: 15000, Threads: 4, PriorityWeight: 20, LateWeightRatio: 0.4, ObjectivePerWork: 2.5},
			{LatencyObjective: 4000, Deadline: 20000, Threads: 2, PriorityWeight: 25, LateWeightRatio: 0.6, ObjectivePerWork: 3, Idempotency: NotIdempotent, LocksGroup: true}},
		Rules: Rules{SlowStartCapacityRatio: randomBetween(0.3, 0.5), SlowStartDuration: randomBetween(8000, 15000), OverloadRatio: randomBetween(2, 3), OverloadWindow: randomBetween(1000, 3000)}}
	endpointCount := 6 + rng.IntN(5)
	for i := range endpointCount {
		f.endpoints[EndpointID(i+1)] = &warmingEndpoint{id: EndpointID(i + 1)}
	}
	for i := range balancerCount {
		b := &simulatedBalancer{fleet: f, index: i, listDelay: randomBetween(50, 4000), weight: rng.ExpFloat64() + 0.05}
		f.balancers = append(f.balancers, b)
		b.start()
	}
	totalWeight := 0.0
	for _, b := range f.balancers {
		totalWeight += b.weight
	}
	requestRate := randomBetween(0.6, 1.3) * float64(endpointCount) * f.settings.Kinds[0].Cores * usableCores / f.meanRequestWork() // requests per ms, all balancers together
	lastID := 0
	for _, b := range f.balancers {
		var arriveAndScheduleNext func()
		arriveAndScheduleNext = func() {
			lastID++
			b.arrive(lastID)
			f.schedule(rng.ExpFloat64()/(requestRate*b.weight/totalWeight), arriveAndScheduleNext)
		}
		f.schedule(rng.ExpFloat64()/(requestRate*b.weight/totalWeight), arriveAndScheduleNext)
	}
	for i := range 1 + rng.IntN(endpointCount*7/10) { // half of them are replaced, the others restart
		e, at := f.endpoints[EndpointID(i+1)], randomBetween(3000, 7000)
		if rng.IntN(2) == 0 {
			f.schedule(at, func() {
				e.removed = true
				f.notify(EndpointInfo{ID: e.id, State: EndpointRemoved})
				replacement := &warmingEndpoint{id: e.id + 1000, startedAt: f.now}
				f.endpoints[replacement.id] = replacement
				f.notify(replacement.listEntry())
			})
			continue
		}
		f.schedule(at, func() {
			e.startedAt = f.now + randomBetween(300, 4000)
			e.downUntil = e.startedAt
			f.schedule(e.downUntil-f.now, func() {
				f.notify(e.listEntry())
			})
		})
	}
	for range rng.IntN(balancerCount/2 + 1) { // balancers that restart during slow start
		b := f.balancers[rng.IntN(balancerCount)]
		f.schedule(randomBetween(5000, 15000), b.start)
	}
	const step = 100
	var sumBudgets func()
	sumBudgets = func() {
		for _, e := range f.endpoints {
			if f.warming(e) {
				f.budgetWork += f.budget(e) * step / f.settings.Rules.OverloadWindow
			}
		}
		f.schedule(step, sumBudgets)
	}
	sumBudgets()
	for f.now < 26000 && len(f.queue) > 0 {
		ev := heap.Pop(&f.queue).(scheduledEvent)
		f.now = ev.at
		ev.do()
	}
	return f.worstExcess, f.receivedWork / max(f.budgetWork, 1)
}

// TestSlowStartHoldsForTheFleet checks that the attempts of all balancers that know of an endpoint's start stay within
// its budget, apart from a random excess, for several numbers of balancers, with unequal traffic, different
// notification times and restarts of balancers, and that warming endpoints still get work.
func TestSlowStartHoldsForTheFleet(t *testing.T) {
	for _, balancers := range []int{3, 20, 30} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			t.Parallel()
			worstExcess, sumUsedRatios, violationCount := math.Inf(-1), 0.0, 0
			for seed := range *slowStartSeeds {
				excess, usedRatio := simulateSlowStartFleet(t, balancers, uint64(seed+1), nil)
				if excess > 1 {
					violationCount++
					t.Errorf("seed %d: a budget was exceeded by %.2f times randomExcess", seed+1, excess)
				}
				worstExcess, sumUsedRatios = max(worstExcess, excess), sumUsedRatios+usedRatio
			}
			meanUsedRatio := sumUsedRatios / float64(*slowStartSeeds)
			t.Logf("%d balancers, %d simulations: %d with violations, worst excess %.2f times randomExcess, ratio of the budget used %.2f", balancers, *slowStartSeeds, violationCount, worstExcess, meanUsedRatio)
			if meanUsedRatio < 0.05 {
				t.Errorf("warming endpoints get only %.3f of their budget", meanUsedRatio)
			}
		})
	}
}

// TestFleetCheckerDetectsMissingSlowStart checks that the simulation detects balancers without slow start, and
// balancers that each use the complete budget.
func TestFleetCheckerDetectsMissingSlowStart(t *testing.T) {
	for name, misconfigure := range map[string]func(*Settings){
		"no slow start":                       func(s *Settings) { s.Rules.SlowStartDuration = 0 },
		"each balancer uses the whole budget": func(s *Settings) { s.Balancers, s.BalancerIndex = 1, 0 },
	} {
		violationCount := 0
		for seed := range uint64(30) {
			if excess, _ := simulateSlowStartFleet(t, 20, seed+1, misconfigure); excess > 1 {
				violationCount++
			}
		}
		if t.Logf("%s: violations in %d of 30 simulations", name, violationCount); violationCount < 3 {
			t.Errorf("%s: violations in only %d of 30 simulations", name, violationCount)
		}
	}
}
