package decide

import "slices"

const (
	probeBudget         = 0.01 // ratio of the total result that probes may cost
	maxProbesPerRequest = 3.0
	probeMaxAge         = 0.25 // age limit of a fresh probe, in multiples of the shortest latency objective
)

// prober probes the endpoints that a request prefers, if this balancer's traffic is too sparse to know their
// load. The cost of probes limits their number.
type prober struct {
	clock     *clock
	settings  *Settings
	outbox    *outbox
	endpoints *endpointSet
	estimates *estimator
	tokens    float64 // number of probes that the budget allows now
}

// probesPerRequest is the number of probes that each request adds to the budget.
func (p *prober) probesPerRequest() float64 {
	return probeBudget / max(p.settings.ProbeCost, probeBudget/maxProbesPerRequest)
}

// recordArrival adds a new request's probes to the budget.
func (p *prober) recordArrival() {
	p.tokens = min(p.tokens+p.probesPerRequest(), 2*maxProbesPerRequest)
}

// probeFor probes the first of the accepted endpoints for a request, once for each attempt, and reports
// whether the request has to wait for an answer.
func (p *prober) probeFor(r *request, accepted []*endpoint) (mustWait bool) {
	if !p.settings.ProbesEnabled || !p.settings.LoadReportsEnabled || !p.endpoints.sparse() {
		return false
	}
	if r.probed == nil {
		r.probed = accepted[:min(len(accepted), p.allowance(r))]
		for _, e := range r.probed {
			p.probe(e)
		}
	}
	return p.awaitsAnswer(r)
}

// allowance is the number of probes that the request may use. If the budget allows less than one probe per
// request, long requests take precedence, because they are nearly all of the load: a reserve of
// maxProbesPerRequest is kept for them.
func (p *prober) allowance(r *request) int {
	allowedProbes := min(maxProbesPerRequest, p.tokens)
	if !p.estimates.class(r).isLong && p.probesPerRequest() < 1 {
		allowedProbes = min(maxProbesPerRequest, max(p.tokens-maxProbesPerRequest, 0))
	}
	return int(allowedProbes)
}

func (p *prober) probe(e *endpoint) {
	if e.probe.inFlight || p.clock.now-e.probe.sentAt <= p.clock.objectives(probeMaxAge) {
		return
	}
	p.tokens--
	e.probe.inFlight, e.probe.sentAt = true, p.clock.now
	p.outbox.add(Probe{e.ID})
}

// awaitsAnswer reports whether the request still waits for the answer to a probe. It stops waiting after one
// housekeeping period.
func (p *prober) awaitsAnswer(r *request) bool {
	return slices.ContainsFunc(r.probed, func(e *endpoint) bool {
		return e.probe.inFlight && p.clock.now-e.probe.sentAt < p.clock.ticks(housekeepingTicks)
	})
}
