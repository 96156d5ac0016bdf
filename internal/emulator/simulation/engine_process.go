package simulation

import (
	"math"

	"aniseloft/decide"
	"aniseloft/internal/emulator/engine"
)

// alreadyWarm is the start time of an engine that is warm when the simulation starts.
const alreadyWarm = -1

// engineProcess is an engine's place in the fleet: the process that runs there, if any, and its network connections.
type engineProcess struct {
	sim             *Simulation
	place           int // index in the fleet
	endpoint        decide.EndpointID
	zone            int
	config          engine.Config
	model           *engine.Engine
	incarnation     int // number of starts
	running         bool
	draining        bool
	removed         bool // the engine does not start again
	overloaded      bool // a process of this engine has ended of overload
	unresponsive    bool // the engine is cut off from the network
	stalled         bool
	slowdown        float64  // factor of the execution times, relative to the other engines
	neighbourRatio  float64  // part of the cores and disks that another program uses
	startedAt       float64  // start of the warm-up of the current process, ms
	connections     int      // number of open connections from all coordinators
	nextWakeAt      float64  // time of the scheduled call of advance; +Inf: none
	callsAfterStall []func() // calls that wait while the process is stalled
}

// newEngine returns an engine that does not run yet, with a configuration and an ID drawn from the random streams.
func (sim *Simulation) newEngine(place int) *engineProcess {
	proc := &engineProcess{sim: sim, place: place, zone: sim.scenario.ZoneOf(place), endpoint: decide.EndpointID(sim.endpointIDRand.Uint32()),
		slowdown: 1, config: engine.Draw(sim.scenario, sim.engineRand, sim.coreWorkRatio)}
	sim.enginesByID[proc.endpoint] = proc
	return proc
}

// start starts a new incarnation of the process; startedAt is the start of its warm-up.
func (proc *engineProcess) start(now, startedAt float64) {
	proc.collectWork()
	proc.model = engine.New(proc.config, now, startedAt)
	proc.model.SetSlowdown(now, proc.sim.fleetSlowdown*proc.slowdown)
	proc.model.SetNeighbourRatio(now, proc.neighbourRatio)
	proc.model.SetReportDelay(now, proc.sim.reportDelayMS)
	proc.incarnation++
	proc.running = true
	proc.draining, proc.unresponsive, proc.stalled = false, false, false
	proc.startedAt = max(startedAt, 0)
	proc.connections = 0
	proc.nextWakeAt = math.Inf(1)
}

// collectWork adds the work totals of an incarnation that ends to those of the simulation. Work not done counts as dropped.
func (proc *engineProcess) collectWork() {
	if proc.model == nil {
		return
	}
	work, workLeft := proc.model.WorkTotals()
	total := &proc.sim.endedWork
	total.In += work.In
	total.Done += work.Done
	total.Dropped = total.Dropped + work.Dropped + workLeft
	proc.model = nil
}

// terminate ends the process. Its connections are reset unless it is unresponsive. A process that ends of
// overload does not start again.
func (proc *engineProcess) terminate(overloaded bool) {
	now := proc.sim.loop.Now()
	jobs := proc.model.Terminate(now)
	proc.running = false
	proc.overloaded = proc.overloaded || overloaded
	proc.removed = proc.removed || overloaded
	proc.callsAfterStall = nil
	proc.collectWork()
	for _, c := range proc.sim.coordinators {
		c.pool(proc).idle = nil
	}
	if proc.unresponsive {
		return
	}
	for _, j := range jobs {
		proc.reply(j.Owner.(*attempt), decide.OutcomeReset, nil)
	}
}

// advance moves the model to the present time, handles the jobs that ended, calls f and schedules the next call.
func (proc *engineProcess) advance(f func()) {
	if !proc.running {
		f()
		return
	}
	now := proc.sim.loop.Now()
	for _, e := range proc.model.Advance(now) {
		proc.jobEnded(e)
	}
	f()
	if !proc.running {
		return
	}
	if next := proc.model.Next(); next < proc.nextWakeAt {
		proc.nextWakeAt = next
		incarnation := proc.incarnation
		proc.sim.loop.At(next, func() {
			if proc.incarnation == incarnation && proc.running && proc.nextWakeAt == next {
				proc.nextWakeAt = math.Inf(1)
				proc.advance(func() {})
			}
		})
	} else if next > proc.nextWakeAt {
		proc.nextWakeAt = math.Inf(1) // the scheduled call will do nothing
		proc.advance(func() {})
	}
}

// stall stalls the process, or resumes it and makes the calls that waited.
func (proc *engineProcess) stall(stalled bool) {
	if !proc.running || proc.stalled == stalled {
		return
	}
	proc.stalled = stalled
	proc.advance(func() { proc.model.Stall(proc.sim.loop.Now(), stalled) })
	if !stalled {
		waiting := proc.callsAfterStall
		proc.callsAfterStall = nil
		for _, f := range waiting {
			f()
		}
	}
}
