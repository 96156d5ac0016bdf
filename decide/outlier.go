package decide

import (
	"math"
	"math/rand/v2"
)

const (
	maxConsecutiveErrors = 2 // consecutive failures allowed to an endpoint; an error beyond them ejects it
	unresponsiveToEject  = 2 // unresponsive attempts that eject an endpoint; see overdueAttempts
	// Ratio of healthy cores, among those of healthy and ejected endpoints, that ejections for soft evidence
	// must leave.
	minHealthyRatio = 0.2
	// Time for which an endpoint counts as healthy after its last activity, in multiples of the shortest
	// latency objective.
	activityMaxAge = 2.0
	// Time from an ejection to the first trial request, in multiples of the shortest latency objective. It is
	// short because trial requests cost little.
	ejectionTime = 3.0
	// Largest factor on ejectionTime after failed trial requests; bounded, so that recovery is detected.
	maxEjectionGrowth     = 4.0
	attemptsPerTrial      = 20.0 // attempts per trial request, however many endpoints are ejected
	failuresToEjectDomain = 3    // unreachable endpoints of a failure domain that eject the complete domain

	overdueNoticeIntervals = 1.6 // progress intervals without a notice after which an attempt is overdue
	// Ratio of latency to unloaded latency as which a rejection for overload counts.
	overloadPenalty = maxSampleRatio
)

// failureDomainTypes is the number of types of failure domains: zone, kind and cell.
const failureDomainTypes = 3

// sharesDomain reports whether two endpoints are in the same failure domain of the given type.
func (e *endpoint) sharesDomain(other *endpoint, domain int) bool {
	return [failureDomainTypes]bool{e.Zone == other.Zone, e.Kind == other.Kind, e.Cell == other.Cell}[domain]
}

// outlierDetector ejects failing endpoints and returns them to rotation after a successful trial request.
// Soft evidence (errors, missing answers) ejects only while enough other endpoints answer, so that it never
// ejects the whole fleet, nor any endpoint when all fail at the same time. Hard evidence (a lost process)
// always ejects.
type outlierDetector struct {
	clock               *clock
	rng                 *rand.Rand
	log                 *rateLimitedLog
	endpoints           *endpointSet
	estimates           *estimator
	settings            *Settings
	attemptsAtLastTrial int // endpointSet.attemptsStarted at the last trial request
}

// trialDue reports whether the next short request may be a trial request to an ejected endpoint.
func (d *outlierDetector) trialDue() bool {
	return float64(d.endpoints.attemptsStarted-d.attemptsAtLastTrial) >= attemptsPerTrial
}

// attemptStarted records the last attempt as a trial request if its endpoint is ejected.
func (d *outlierDetector) attemptStarted(e *endpoint) {
	if e.health.isEjected {
		d.attemptsAtLastTrial = d.endpoints.attemptsStarted
	}
}

// observe handles the outcome of an attempt. OutcomeAnswerLost is ignored: it concerns only the network.
func (d *outlierDetector) observe(e *endpoint, outcome Outcome) {
	now, h := d.clock.now, &e.health
	switch outcome {
	case OutcomeSucceeded:
		h.consecutiveFailures, h.lastActivityAt = 0, now
		if h.isEjected && (now >= h.trialAfter || h.processDown) {
			d.restore(e, now)
		}
	case OutcomeOverloaded:
		e.overloadedAt = now
		d.estimates.observePressure(e, math.Log(overloadPenalty))
	case OutcomeConnectFailed, OutcomeReset:
		h.consecutiveFailures++
		h.localConnectFailureAt = now
		d.connectFailed(e, now)
	case OutcomeError:
		h.consecutiveFailures++
		// Sparse traffic hardly ever brings two errors in a row.
		if h.consecutiveFailures > maxConsecutiveErrors || h.isEjected || d.endpoints.sparse() {
			d.eject(e, EjectedErrors)
		}
	case OutcomeTimeout, OutcomeCancelled:
		if h.isEjected {
			d.eject(e, EjectedTrialFailed)
		}
	}
}

// connectFailed handles a connection that was refused or lost at the given time, here or at a peer, unless
// activity or a failure of the endpoint is known since. Enough failures in a failure domain eject the
// complete domain while nothing in it answers; otherwise, each of hundreds of balancers would lose attempts
// at each endpoint of a lost zone. A successful trial request or any other answer from the domain ends this
// ejection.
func (d *outlierDetector) connectFailed(e *endpoint, at Millis) {
	if at <= max(e.health.lastActivityAt, e.health.connectFailureAt) {
		return
	}
	e.health.connectFailureAt = at
	d.eject(e, EjectedConnectFailed)
	for domain := range failureDomainTypes {
		unreachableCount, othersReady := d.countUnreachable(e, domain)
		if !othersReady || unreachableCount < failuresToEjectDomain {
			continue
		}
		for _, o := range d.endpoints.sorted {
			if o.ready() && o.sharesDomain(e, domain) {
				d.eject(o, EjectedDomainUnreachable)
				o.health.ejectedWith[domain] = true
			}
		}
	}
}

// countUnreachable counts the endpoints of e's failure domain that failed connections after the last activity
// of any endpoint in the domain. othersReady reports whether there are ready endpoints outside it.
func (d *outlierDetector) countUnreachable(e *endpoint, domain int) (count int, othersReady bool) {
	lastActivity := never
	for _, o := range d.endpoints.sorted {
		if o.sharesDomain(e, domain) {
			lastActivity = max(lastActivity, o.health.lastActivityAt)
		}
		othersReady = othersReady || o.ready() && !o.sharesDomain(e, domain)
	}
	for _, o := range d.endpoints.sorted {
		if o.sharesDomain(e, domain) && o.health.connectFailureAt > lastActivity {
			count++
		}
	}
	return count, othersReady
}

// restore returns an endpoint to rotation, along with the endpoints of the failure domains that were ejected
// with it. If its process was down, it counts as restarted at the given time and is warming up.
func (d *outlierDetector) restore(e *endpoint, at Millis) {
	if e.health.processDown {
		e.StartedAt = max(e.StartedAt, at)
	}
	ejectedDomains := e.health.ejectedWith
	e.health.isEjected, e.health.processDown = false, false
	e.health.consecutiveFailures, e.health.failedTrials = 0, 0
	e.health.ejectedWith = [failureDomainTypes]bool{}
	e.latencyPressure = decayingMean{}
	d.log.add(Log{Message: LogEndpointRestored, Endpoint: e.ID})
	for domain := range failureDomainTypes {
		for _, o := range d.endpoints.sorted {
			if ejectedDomains[domain] && o.health.ejectedWith[domain] && o.sharesDomain(e, domain) {
				d.restore(o, at)
			}
		}
	}
}

// provesProcessDown reports whether the reason counts as proof that the endpoint's process is down. All other
// reasons are soft evidence.
func (r EjectionReason) provesProcessDown() bool {
	return r == EjectedConnectFailed || r == EjectedDomainUnreachable
}

// eject takes an endpoint out of rotation except for trial requests. If it is already ejected and the time of
// its next trial request has come, this counts as a failed one and delays the next.
func (d *outlierDetector) eject(e *endpoint, reason EjectionReason) {
	h, processDown := &e.health, reason.provesProcessDown()
	if !processDown && !h.isEjected && !d.enoughHealthy(e) {
		return
	}
	if h.isEjected && d.clock.now < h.trialAfter {
		h.processDown = h.processDown || processDown
		return
	}
	if h.isEjected {
		h.failedTrials++
	}
	h.isEjected, h.processDown = true, processDown
	trialDelay := d.clock.objectives(ejectionTime) *
		min(math.Exp2(float64(h.failedTrials)), maxEjectionGrowth)
	h.trialAfter = d.clock.now + trialDelay*(0.75+d.rng.Float64()/2)
	d.log.add(Log{LogEndpointEjected, e.ID, reason})
}

// enoughHealthy reports whether, with e ejected, healthy endpoints have at least minHealthyRatio of the cores
// of healthy and ejected endpoints.
func (d *outlierDetector) enoughHealthy(e *endpoint) bool {
	ejectedCores, healthyCores := e.cores, 0.0
	for _, o := range d.endpoints.sorted {
		if !o.ready() || o == e {
			continue
		}
		lastActivityAt := max(o.health.lastActivityAt, o.probe.answeredAt)
		if o.health.isEjected {
			ejectedCores += o.cores
		} else if d.clock.now-lastActivityAt < d.clock.objectives(activityMaxAge) {
			healthyCores += o.cores
		}
	}
	return healthyCores >= minHealthyRatio*(ejectedCores+healthyCores)
}

// overdueAttempts returns the attempts at an endpoint about which nothing was received for too long.
// unresponsiveCount is the number of those that started no earlier than the endpoint's last activity. If
// running queries send progress notices, a missing notice decides; otherwise, a multiple of the unloaded
// latency under the endpoint's pressure does.
func (d *outlierDetector) overdueAttempts(e *endpoint) (overdueRequests []*request, unresponsiveCount int) {
	for _, r := range e.attemptsInOrder() {
		sinceActivity := d.clock.now - max(r.current.lastActivityAt, d.clock.resumedAt)
		noticeMissed := sinceActivity > overdueNoticeIntervals*d.settings.ProgressInterval
		slowdown := max(1, math.Exp(d.estimates.pressure(e)))
		answerLate := sinceActivity > maxSampleRatio*d.estimates.unloadedLatency(r)*slowdown
		if !noticeMissed || d.settings.ProgressInterval == 0 && !answerLate {
			continue
		}
		if e.health.lastActivityAt <= r.current.startedAt {
			unresponsiveCount++
		}
		overdueRequests = append(overdueRequests, r)
	}
	return overdueRequests, unresponsiveCount
}

// ejectUnresponsive ejects an endpoint with enough unresponsive attempts. In sparse traffic one is enough,
// since two attempts hardly ever run at an endpoint at the same time; a wrong ejection costs little, as trial
// requests are cheap and come soon.
func (d *outlierDetector) ejectUnresponsive(e *endpoint, unresponsiveCount int) {
	if unresponsiveCount >= unresponsiveToEject ||
		unresponsiveCount > 0 && (e.health.isEjected || d.endpoints.sparse()) {
		d.eject(e, EjectedUnresponsive)
	}
}

// applyReports applies a peer's reports about endpoints. A failed connection counts as one seen here. A newer
// load report replaces the one known here and counts as activity.
func (d *outlierDetector) applyReports(lines []gossipLine) {
	for _, line := range lines {
		at := d.clock.now - line.values[0]*d.clock.ticks(housekeepingTicks)
		e := d.endpoints.byTag[line.tag]
		if e == nil {
			continue
		}
		if line.values[1] == 0 {
			d.connectFailed(e, at)
		} else if at > e.report.receivedAt {
			report := LoadReport{InFlight: line.values[1] - 1, Memory: line.values[2]/100 - 0.01}
			e.report = loadReport{report, at}
			d.reportedAlive(e, at)
		}
	}
}

// reportedAlive handles activity of an endpoint that a peer has reported.
func (d *outlierDetector) reportedAlive(e *endpoint, at Millis) {
	h := &e.health
	h.lastActivityAt = max(h.lastActivityAt, at)
	if !h.processDown || at <= h.connectFailureAt {
		return
	}
	if h.consecutiveFailures == 0 {
		d.restore(e, at)
		return
	}
	// Connections from here failed, so a trial request has to show whether the network path works.
	h.trialAfter = min(h.trialAfter, d.clock.now)
}
