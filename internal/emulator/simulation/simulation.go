// Package simulation simulates a scenario in virtual time: clients, coordinators that host a policy, engines, endpoint
// discovery and the network between them. It does no I/O, and a seed gives the same result on any number of cores.
package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"aniseloft/decide"
	"aniseloft/internal/emulator/clients"
	"aniseloft/internal/emulator/des"
	"aniseloft/internal/emulator/engine"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/policy"
	"aniseloft/internal/emulator/scenario"
)

// Options configure a simulation.
type Options struct {
	Seed   uint64
	Policy string
	// New creates the policy of one coordinator. If it is nil, Policy names the policy.
	New func(settings decide.Settings, seed uint64) (policy.Policy, error)
	// Progress is called with the virtual time at regular intervals. It may be nil.
	Progress func(nowMS, endMS float64)
}

// Simulation is a running simulation. Its event loop runs on one goroutine; only coordinators that handle their inputs
// run in parallel, and each accesses only its own state meanwhile.
type Simulation struct {
	scenario        *scenario.Scenario
	options         Options
	timeline        *scenario.Timeline
	arrivals        *scenario.Arrivals
	loop            des.Loop
	observer        *observer.Observer
	engines         []*engineProcess
	enginesByID     map[decide.EndpointID]*engineProcess
	coordinators    []*coordinator
	stepScheduled   bool // whether the next step of the coordinators is scheduled
	discovery       discovery
	frontProxy      *clients.FrontProxy
	networkRand     *rand.Rand
	reportNoiseRand *rand.Rand
	errorRand       *rand.Rand
	badPlanRand     *rand.Rand
	gossipRand      *rand.Rand
	reportDelayMS   float64 // additional delay of load reports
	engineRand      *rand.Rand
	endpointIDRand  *rand.Rand
	fleetSlowdown   float64           // factor of all engines' execution times; 1: normal speed
	jobs            uint64            // number of jobs started so far
	coreWorkRatio   float64           // part of all queries' work that is done on cores
	endedWork       engine.WorkTotals // work totals of engine processes that have ended
	tries           uint64            // number of clients' tries so far
}

// Run simulates a scenario to its end.
func Run(s *scenario.Scenario, opt Options) (*observer.Report, error) {
	sim, err := newSimulation(s, opt)
	if err != nil {
		return nil, err
	}
	const progressSteps = 100
	end := endMS(s)
	for i := range progressSteps {
		sim.loop.Run(end * float64(i+1) / progressSteps)
		if opt.Progress != nil {
			opt.Progress(sim.loop.Now(), end)
		}
	}
	return sim.report(end)
}

// endMS returns a time at which each client of a scenario has its result: the longest deadline after the last arrival.
func endMS(s *scenario.Scenario) float64 {
	const slackMS = 1000
	longest := 0.0
	for _, class := range s.Classes {
		longest = max(longest, class.DeadlineMS)
	}
	return s.DurationMS + longest + s.Rules.AnswerSlackMS + slackMS
}

// newSimulation creates the engines and coordinators of a scenario, and schedules its events and its first query.
func newSimulation(s *scenario.Scenario, opt Options) (*Simulation, error) {
	sim := &Simulation{scenario: s, options: opt, enginesByID: map[decide.EndpointID]*engineProcess{}, fleetSlowdown: 1, observer: observer.New(s, 0)}
	sim.timeline = s.Timeline(opt.Seed)
	sim.arrivals = s.Arrivals(opt.Seed, sim.timeline)
	sim.coreWorkRatio = sim.arrivals.CoreWorkRatio()
	stream := func(concern string) *rand.Rand { return des.Stream(opt.Seed, concern) }
	sim.networkRand, sim.reportNoiseRand, sim.errorRand = stream("network"), stream("report noise"), stream("errors")
	sim.badPlanRand, sim.gossipRand = stream("bad plans"), stream("datagrams")
	sim.engineRand, sim.endpointIDRand = stream("engines"), stream("engine ids")
	sim.discovery.rng, sim.frontProxy = stream("roster"), clients.NewFrontProxy(s, stream("front"))
	if sim.options.New == nil {
		sim.options.New = func(settings decide.Settings, seed uint64) (policy.Policy, error) {
			return policy.New(opt.Policy, settings, seed)
		}
	}
	sim.addEngines()
	if err := sim.addCoordinators(stream("coordinators")); err != nil {
		return nil, err
	}
	for _, event := range sim.timeline.Events {
		sim.loop.At(event.AtMS, func() { sim.handleEvent(event) })
	}
	sim.scheduleNextQuery()
	return sim, nil
}

// addEngines creates all engines of the timeline and starts those of the initial fleet, which are warm.
func (sim *Simulation) addEngines() {
	for place := range sim.timeline.EngineCount {
		sim.engines = append(sim.engines, sim.newEngine(place))
	}
	for _, proc := range sim.engines[:sim.scenario.Engines.Count] {
		proc.start(0, alreadyWarm)
		sim.discovery.setState(proc, decide.EndpointReady)
	}
}

func (sim *Simulation) addCoordinators(seeds *rand.Rand) error {
	for index := range sim.scenario.Coordinators.Count {
		settings, err := sim.scenario.Settings(index)
		if err != nil {
			return err
		}
		c := &coordinator{
			index: index, zone: sim.scenario.ZoneOf(index), settings: settings,
			seedRand: rand.New(rand.NewPCG(seeds.Uint64(), uint64(index))),
		}
		sim.coordinators = append(sim.coordinators, c)
		if err := sim.startCoordinator(c); err != nil {
			return err
		}
	}
	return nil
}

// workTolerance is the rounding error that the work totals may have, as a ratio of all work that engines received.
const workTolerance = 1e-6

// report finishes the observer and returns its report, after a check that work is conserved.
func (sim *Simulation) report(end float64) (*observer.Report, error) {
	sim.observer.Finish(end)
	totals := sim.observer.Totals()
	sum := sim.endedWork
	var workLeft float64
	for _, proc := range sim.engines {
		if proc.model != nil {
			proc.advance(func() {})
			work, left := proc.model.WorkTotals()
			sum.In, sum.Done, sum.Dropped, workLeft = sum.In+work.In, sum.Done+work.Done, sum.Dropped+work.Dropped, workLeft+left
		}
	}
	if imbalance := sum.In - sum.Done - sum.Dropped - workLeft; math.Abs(imbalance) > workTolerance*sum.In+1 {
		return nil, fmt.Errorf("work is not conserved: in %.1f, done %.1f, dropped %.1f, left %.1f ms", sum.In, sum.Done, sum.Dropped, workLeft)
	}
	totals.WorkIn, totals.Dropped, totals.Left = sum.In, sum.Dropped, workLeft
	totals.Wasted = max(sum.Done-totals.Served, 0)
	r := sim.observer.Report()
	r.Seed, r.Policy, r.Mode = sim.options.Seed, sim.options.Policy, "virtual"
	r.Faults = sim.timeline.Spans
	r.Events = sim.loop.Events()
	return r, nil
}
