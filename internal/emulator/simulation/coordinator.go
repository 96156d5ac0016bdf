package simulation

import (
	"math"
	"math/rand/v2"
	"runtime"
	"sync"

	"aniseloft/decide"
	"aniseloft/internal/emulator/policy"
)

// coordinator runs one policy with the event and action semantics of internal/routing. While it handles its inbox, it accesses
// only its own state and defers all other changes as effects, so that coordinators can run in parallel.
type coordinator struct {
	index       int
	zone        int
	settings    decide.Settings
	seedRand    *rand.Rand
	policy      policy.Policy
	incarnation int // number of starts
	running     bool
	inbox       []any // inputs that wait for the next step
	spareInbox  []any // emptied slice that becomes the inbox in the next step
	effects     []effect
	requests    map[decide.RequestID]*openRequest
	pools       map[*engineProcess]*connectionPool
}

// effect is a deferred change to state outside the coordinator. The effects of a step are applied in the order of the
// coordinators.
type effect func(sim *Simulation)

// startCoordinator starts a new incarnation of a coordinator with a new policy.
func (sim *Simulation) startCoordinator(c *coordinator) error {
	p, err := sim.options.New(c.settings, c.seedRand.Uint64())
	if err != nil {
		return err
	}
	c.policy, c.running = p, true
	c.incarnation++
	c.requests, c.pools, c.inbox, c.spareInbox = map[decide.RequestID]*openRequest{}, map[*engineProcess]*connectionPool{}, nil, nil
	sim.observer.CoordinatorStarted(c.index)
	c.deliver(sim, endpointInput{sim.discovery.snapshot()})
	return nil
}

// crashCoordinator ends a coordinator at once. Its clients lose their connections, and engines cancel its queries
// OrphanMS later, as no coordinator polls them.
func (sim *Simulation) crashCoordinator(c *coordinator) {
	if !c.running {
		return
	}
	c.running = false
	c.incarnation++
	sim.observer.CoordinatorCrashed(c.index)
	for _, r := range sortedRequests(c.requests) {
		if !r.answered {
			r.try.connectionLost()
		}
		for _, a := range r.attempts {
			if !a.ended {
				sim.loop.After(sim.scenario.Engines.OrphanMS, func() { a.engine.cancel(a) })
			}
		}
	}
	for _, proc := range sim.engines {
		proc.connections -= len(c.pool(proc).idle)
	}
	c.requests, c.pools, c.inbox, c.spareInbox = nil, nil, nil, nil
	sim.loop.After(sim.frontProxy.DetectionDelay(), func() { sim.frontProxy.SetAlive(c.index, c.running) })
}

// deliver adds an input to the inbox for the next step. A coordinator that is not running loses the input.
func (c *coordinator) deliver(sim *Simulation, in any) {
	if !c.running {
		return
	}
	c.inbox = append(c.inbox, in)
	sim.scheduleStep()
}

// scheduleStep schedules the next step at the end of the current quantum.
func (sim *Simulation) scheduleStep() {
	if sim.stepScheduled {
		return
	}
	sim.stepScheduled = true
	quantum := sim.scenario.Coordinators.QuantumMS
	sim.loop.At((math.Floor(sim.loop.Now()/quantum)+1)*quantum, sim.step)
}

// minParallelInputs is the number of inputs from which a step runs coordinators in parallel. With fewer inputs the
// goroutines cost more time than they save.
const minParallelInputs = 16

// step makes each coordinator handle its inbox, and then applies all effects.
func (sim *Simulation) step() {
	sim.stepScheduled = false
	now := sim.loop.Now()
	var due []*coordinator
	inputs := 0
	for _, c := range sim.coordinators {
		if c.running && len(c.inbox) > 0 {
			due = append(due, c)
			inputs += len(c.inbox)
		}
	}
	if len(due) > 1 && inputs >= minParallelInputs && runtime.GOMAXPROCS(0) > 1 {
		var wg sync.WaitGroup
		for _, c := range due {
			wg.Go(func() { c.handleInbox(now) })
		}
		wg.Wait()
	} else {
		for _, c := range due {
			c.handleInbox(now)
		}
	}
	for _, c := range due {
		effects := c.effects
		c.effects = c.effects[:0]
		for _, apply := range effects {
			apply(sim)
		}
		clear(effects)
		if len(c.inbox) > 0 {
			sim.scheduleStep()
		}
	}
}

// effect defers a change to state outside the coordinator until all coordinators have handled their inboxes.
func (c *coordinator) effect(e effect) { c.effects = append(c.effects, e) }

// handleInbox handles the inputs that are in the inbox when it is called. Inputs added meanwhile wait for the next step.
func (c *coordinator) handleInbox(now float64) {
	in := c.inbox
	c.inbox = c.spareInbox[:0]
	for _, input := range in {
		c.handle(now, input)
	}
	clear(in)
	c.spareInbox = in
}

// notifyPolicy passes an event to the policy and performs its actions.
func (c *coordinator) notifyPolicy(now float64, event decide.Event) {
	for _, action := range c.policy.Handle(now, event) {
		c.perform(now, action)
	}
}
