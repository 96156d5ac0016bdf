// Package policy provides the policies that decide in an emulation: the decision module and,
// behind the same interface, simple policies as a baseline for its results.
package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"aniseloft/decide"
)

// Policy handles one event at a time and returns the actions to perform, as decide.Gateway does.
type Policy interface {
	Handle(now decide.Millis, ev decide.Event) []decide.Action
}

// Module is the name of the policy that runs the decision module, package decide.
const Module = "module"

// Names returns the names that New accepts.
func Names() []string {
	return []string{Module, "random", "round-robin", "least-outstanding", "two-choices", "home"}
}

// New returns the policy with the given name.
func New(name string, settings decide.Settings, seed uint64) (Policy, error) {
	if name == Module {
		g, err := decide.New(settings, seed)
		if err != nil {
			return nil, fmt.Errorf("module: %w", err)
		}
		return g, nil
	}
	choose := choosers[name]
	if choose == nil {
		return nil, fmt.Errorf("unknown policy %q: use one of %v", name, Names())
	}
	return &basicPolicy{settings: settings, choose: choose, rng: rand.New(rand.NewPCG(seed, 2)), endpoints: map[decide.EndpointID]*endpoint{},
		requests: map[decide.RequestID]*request{}}, nil
}

// basicPolicy sends each request at once to the engine that its choose function picks. After a
// failed attempt it retries on another engine if that is safe. It ignores health, load reports,
// grants and warm-up.
type basicPolicy struct {
	settings  decide.Settings
	choose    func(*basicPolicy, *request, []*endpoint) *endpoint
	rng       *rand.Rand
	endpoints map[decide.EndpointID]*endpoint
	order     []*endpoint // the endpoints, sorted by ID
	requests  map[decide.RequestID]*request
	next      int // counter of the round-robin policy
}

// endpoint is an engine in the endpoint list, with the number of attempts in flight to it.
type endpoint struct {
	decide.EndpointInfo
	inFlight int
}

// request is an open request, or one that is answered but still has an attempt in flight.
type request struct {
	decide.RequestArrived
	deadline   decide.Millis
	attempts   int
	mayHaveRun bool      // whether an attempt ended without proof that the engine never ran it
	current    *endpoint // endpoint of the attempt in flight; nil: none
	finished   bool
	lastFailed *endpoint // endpoint of the last failed attempt
}

// choosers holds the function of each policy that picks an engine among the candidates for a request.
var choosers = map[string]func(*basicPolicy, *request, []*endpoint) *endpoint{
	"random": func(p *basicPolicy, _ *request, candidates []*endpoint) *endpoint {
		return candidates[p.rng.IntN(len(candidates))]
	},
	"round-robin": func(p *basicPolicy, _ *request, candidates []*endpoint) *endpoint {
		p.next++
		return candidates[p.next%len(candidates)]
	},
	"least-outstanding": func(p *basicPolicy, _ *request, candidates []*endpoint) *endpoint {
		return leastOutstanding(candidates, p.rng.IntN(len(candidates)))
	},
	"two-choices": func(p *basicPolicy, _ *request, candidates []*endpoint) *endpoint {
		a, b := candidates[p.rng.IntN(len(candidates))], candidates[p.rng.IntN(len(candidates))]
		if b.inFlight < a.inFlight {
			return b
		}
		return a
	},
	"home": func(_ *basicPolicy, r *request, candidates []*endpoint) *endpoint {
		return slices.MaxFunc(candidates, func(a, b *endpoint) int {
			if x, y := weight(r.Group, a.ID), weight(r.Group, b.ID); x != y {
				if x > y {
					return 1
				}
				return -1
			}
			return 0
		})
	},
}

// leastOutstanding returns the endpoint with the fewest attempts in flight; among endpoints
// with equally few it returns the first one from index start on, cyclically.
func leastOutstanding(candidates []*endpoint, start int) *endpoint {
	best := candidates[start]
	for i := range candidates {
		if m := candidates[(start+i)%len(candidates)]; m.inFlight < best.inFlight {
			best = m
		}
	}
	return best
}

// weight returns the rendezvous hash of a group and an endpoint. The endpoint with the highest hash is the group's home.
func weight(group uint64, id decide.EndpointID) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(group>>(8*i)), byte(uint64(id)>>(8*i))
	}
	return xxhash.Sum64(b[:])
}

// Handle implements Policy.
func (p *basicPolicy) Handle(now decide.Millis, ev decide.Event) []decide.Action {
	switch ev := ev.(type) {
	case decide.EndpointUpdate:
		p.updateEndpoints(ev)
	case decide.RequestArrived:
		r := &request{RequestArrived: ev, deadline: now + ev.TimeLeft}
		p.requests[ev.ID] = r
		return p.startAttempt(now, r)
	case decide.AttemptEnded:
		return p.attemptEnded(now, ev)
	case decide.ClientDisconnected:
		if r := p.requests[ev.ID]; r != nil {
			return p.finish(r, nil)
		}
	}
	return nil
}

// updateEndpoints applies a complete or an incremental update of the endpoint list.
func (p *basicPolicy) updateEndpoints(ev decide.EndpointUpdate) {
	isListed := map[decide.EndpointID]bool{}
	for _, e := range ev.Entries {
		isListed[e.ID] = true
		m := p.endpoints[e.ID]
		if m == nil {
			m = &endpoint{}
			p.endpoints[e.ID] = m
			p.order = append(p.order, m)
		}
		m.EndpointInfo = e
	}
	p.order = slices.DeleteFunc(p.order, func(m *endpoint) bool {
		isRemoved := m.State == decide.EndpointRemoved || ev.Kind != decide.UpdateIncremental && !isListed[m.ID]
		if isRemoved {
			delete(p.endpoints, m.ID)
		}
		return isRemoved
	})
	slices.SortFunc(p.order, func(a, b *endpoint) int { return int(int64(a.ID) - int64(b.ID)) })
}

// startAttempt sends a request to one of the engines that may take it, or gives up if there is none. It avoids the
// engine of the last failed attempt unless no other is ready.
func (p *basicPolicy) startAttempt(now decide.Millis, r *request) []decide.Action {
	c := p.settings.Classes[r.Class]
	var candidates []*endpoint
	for _, m := range p.order {
		if m.State == decide.EndpointReady && m != r.lastFailed && (c.Zones == nil || slices.Contains(c.Zones, m.Zone)) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 && r.lastFailed != nil && r.lastFailed.State == decide.EndpointReady {
		candidates = append(candidates, r.lastFailed)
	}
	if len(candidates) == 0 || r.attempts >= p.settings.MaxAttempts {
		return p.giveUp(r)
	}
	r.current = p.choose(p, r, candidates)
	r.current.inFlight++
	r.attempts++
	return []decide.Action{decide.StartAttempt{ID: r.ID, Endpoint: r.current.ID, Timeout: max(r.deadline-now, 0.001)}}
}

// giveUp fails a request that may have run and must not be retried, and rejects any other.
func (p *basicPolicy) giveUp(r *request) []decide.Action {
	if r.mayHaveRun && p.settings.Classes[r.Class].Idempotency != decide.IdempotentAlways {
		return p.finish(r, decide.Fail{ID: r.ID})
	}
	return p.finish(r, decide.Reject{ID: r.ID, RetryAfter: p.settings.MaxRetryAfter})
}

// finish returns the actions that end a request: its answer, if any, and the cancellation of its attempt in flight.
func (p *basicPolicy) finish(r *request, answer decide.Action) (acts []decide.Action) {
	if answer != nil {
		acts = append(acts, answer)
	}
	if r.finished = true; r.current == nil {
		delete(p.requests, r.ID)
	} else {
		acts = append(acts, decide.CancelAttempt{ID: r.ID, Attempt: r.attempts - 1})
	}
	return acts
}

// attemptEnded retries a request after a failed attempt if that is safe and its deadline allows it, or else gives up.
func (p *basicPolicy) attemptEnded(now decide.Millis, ev decide.AttemptEnded) []decide.Action {
	r := p.requests[ev.ID]
	if r == nil || r.current == nil {
		return nil
	}
	r.current.inFlight--
	r.lastFailed, r.current = r.current, nil
	if o := ev.Outcome; o != decide.OutcomeOverloaded && o != decide.OutcomeConnectFailed && o != decide.OutcomeNotSent {
		r.mayHaveRun = true
	}
	if ev.RequestClosed || r.finished {
		return p.finish(r, nil)
	}
	c := p.settings.Classes[r.Class]
	if now >= r.deadline-p.settings.TickInterval || r.mayHaveRun && c.Idempotency != decide.IdempotentAlways {
		return p.giveUp(r)
	}
	return p.startAttempt(now, r)
}
