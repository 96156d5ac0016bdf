package decide

import "math/rand/v2"

// Balancer makes the decisions of one load balancer. It owns the clock, the open requests and the list of
// actions for the current event, and calls the components in order; each component owns its state. It is not
// safe for concurrent use.
type Balancer struct {
	settings Settings
	clock    *clock
	rng      *rand.Rand // shared by all components: the order of draws affects all results
	outbox   *outbox
	requests map[RequestID]*request
	sequence int // number of requests that have arrived; the last one's sequence number

	endpoints    *endpointSet
	subscription *subscription
	estimates    *estimator
	slowStart    *slowStart
	capacity     *capacity
	placement    *placement
	admission    *admission
	quota        *tenantQuota
	arrivalRate  arrivalRate
	retries      *retryPolicy
	keyOrder     *keyOrder
	outliers     *outlierDetector
	prober       *prober
	gossip       *gossip

	timerStarted bool   // the housekeeping timer is running
	timerDue     Millis // time at which the housekeeping timer expires
}

// New returns a balancer without endpoints and requests. For settings that can't be used, the error is a
// *SettingsError.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := checkSettings(&s); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:  normalizeSettings(s),
		clock:     &clock{tick: s.TickInterval, objective: shortestObjective(s.Classes), resumedAt: never},
		rng:       rand.New(rand.NewPCG(seed, 1)),
		outbox:    &outbox{},
		requests:  map[RequestID]*request{},
		endpoints: newEndpointSet(),
	}
	b.createComponents()
	return b, nil
}

// createComponents creates the components. Each gets references to the state that it reads and owns all its
// other state.
func (b *Balancer) createComponents() {
	settings, c := &b.settings, b.clock
	b.subscription = &subscription{
		clock: c, rng: b.rng, outbox: b.outbox,
		isRequired: settings.SubscriptionRequired, subscribeInterval: settings.Rules.SubscribeInterval,
		retryAt: never,
	}
	b.estimates = newEstimator(c, settings)
	b.slowStart = &slowStart{clock: c, settings: settings}
	b.gossip = &gossip{
		clock: c, settings: settings, rng: b.rng, outbox: b.outbox, endpoints: b.endpoints,
		peerMessages: map[int]peerMessage{},
	}
	b.capacity = &capacity{
		clock: c, settings: settings, estimates: b.estimates, slowStart: b.slowStart, gossip: b.gossip,
		fleet: fleetLoad{observedAt: never},
	}
	b.retries = &retryPolicy{
		clock: c, settings: settings, estimates: b.estimates, replanBudget: maxReplanBudget,
	}
	b.outliers = &outlierDetector{
		clock: c, settings: settings, rng: b.rng, endpoints: b.endpoints, estimates: b.estimates,
		log:                 &rateLimitedLog{clock: c, outbox: b.outbox, lastAt: never},
		attemptsAtLastTrial: -attemptsPerTrial,
	}
	b.placement = &placement{
		clock: c, balancerIndex: settings.BalancerIndex, endpoints: b.endpoints, subscription: b.subscription,
		estimates: b.estimates, slowStart: b.slowStart, capacity: b.capacity, retries: b.retries,
		outliers: b.outliers,
	}
	b.admission = &admission{clock: c, settings: settings, estimates: b.estimates, endpoints: b.endpoints}
	b.quota = &tenantQuota{
		clock: c, settings: settings,
		tokens: make([]float64, len(settings.Tenants)), updatedAt: never,
	}
	b.arrivalRate = arrivalRate{updatedAt: never}
	b.keyOrder = &keyOrder{
		clock: c, estimates: b.estimates, blockDuration: settings.Rules.KeyOrderDelay,
		queues: map[uint64]*keyQueue{},
	}
	b.prober = &prober{
		clock: c, settings: settings, outbox: b.outbox, endpoints: b.endpoints, estimates: b.estimates,
	}
}

func shortestObjective(classes []Class) Millis {
	shortest := classes[0].LatencyObjective
	for _, c := range classes {
		shortest = min(shortest, c.LatencyObjective)
	}
	return shortest
}

// Handle processes one event that happened at now, in ms, and returns the actions to carry out, in order. now
// must not decrease from call to call.
func (b *Balancer) Handle(now Millis, ev Event) []Action {
	b.clock.now, b.outbox.actions = now, nil
	housekeepingPeriod := b.clock.ticks(housekeepingTicks)
	if b.timerStarted && now > b.timerDue+housekeepingPeriod {
		b.clock.resumedAt = now
	}
	switch ev := ev.(type) {
	case RequestArrived:
		b.arrived(ev)
	case AttemptProgress:
		b.progressed(ev)
	case AttemptEnded:
		b.attemptEnded(ev)
	case ClientDisconnected:
		b.disconnected(ev)
	case EndpointUpdate:
		b.endpointsUpdated(ev)
	case ProbeEnded:
		b.probeEnded(ev)
	case GossipReceived:
		b.outliers.applyReports(b.gossip.receive(ev))
	case TimerFired:
		b.timerStarted = false
		b.housekeeping()
	}
	if !b.timerStarted {
		b.timerStarted, b.timerDue = true, now+housekeepingPeriod
		b.outbox.add(StartTimer{housekeepingPeriod, "tick"})
	}
	return b.outbox.actions
}

// endpointsUpdated applies an update of the endpoint list.
func (b *Balancer) endpointsUpdated(ev EndpointUpdate) {
	b.subscription.updated(ev.Kind)
	if ev.Kind == UpdateFailed {
		return
	}
	if ev.Kind == UpdateCached {
		b.gossip.sentAt = b.clock.now
	}
	b.endpoints.update(ev, b.settings.Kinds)
	b.dispatchPending(false)
}

// probeEnded records the outcome of a probe and dispatches the requests that waited for it.
func (b *Balancer) probeEnded(ev ProbeEnded) {
	e := b.endpoints.byID[ev.Endpoint]
	if e == nil || !e.probe.inFlight {
		return
	}
	e.probe.inFlight = false
	switch ev.Outcome {
	case OutcomeSucceeded:
		e.probe.answeredAt = b.clock.now
		if ev.Load != nil {
			e.report = loadReport{*ev.Load, b.clock.now}
		}
		if e.health.processDown {
			b.outliers.restore(e, b.clock.now)
		}
	case OutcomeConnectFailed, OutcomeReset:
		e.health.localConnectFailureAt = b.clock.now
		b.outliers.connectFailed(e, b.clock.now)
	case OutcomeTimeout:
		b.outliers.eject(e, EjectedProbeTimeout)
	}
	b.dispatchPending(false)
}

// housekeeping does the periodic work that no other event triggers.
func (b *Balancer) housekeeping() {
	b.subscription.renew()
	for _, e := range b.endpoints.sorted {
		if len(e.inFlight.attempts) > 0 {
			b.checkOverdue(e)
		}
	}
	b.expirePending()
	b.keyOrder.expire()
	b.gossip.sumPeers()
	wasAtLimit := b.admission.atLimit
	b.admission.atLimit = false
	b.dispatchPending(wasAtLimit)
	b.gossip.send(b.arrivalRate.perSecond)
}

// checkOverdue retries an endpoint's overdue attempts elsewhere and ejects an endpoint that is unresponsive.
func (b *Balancer) checkOverdue(e *endpoint) {
	overdueRequests, unresponsiveCount := b.outliers.overdueAttempts(e)
	for _, r := range overdueRequests {
		b.tryElsewhere(r)
	}
	b.outliers.ejectUnresponsive(e, unresponsiveCount)
}
