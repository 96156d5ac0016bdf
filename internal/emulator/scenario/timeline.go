package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"aniseloft/internal/emulator/des"
)

// FaultSpan is the time span of a fault in a run, and its description.
type FaultSpan struct {
	Kind        string  `json:"kind"`
	FromMS      float64 `json:"from_ms"`
	ToMS        float64 `json:"to_ms"`
	Description string  `json:"tells"`
}

// Event is the start or end of a fault, or of a part of it.
type Event struct {
	AtMS        float64
	Kind        EventKind
	Engine      int // index of the engine
	Coordinator int
	Value       float64
	Description string
}

// EventKind is the kind of an event.
type EventKind int

// The kinds of events. Comments give the meaning of Event.Value where it has one.
const (
	EventStall          EventKind = iota // 1: stalls; 0: resumes
	EventSlowFleet                       // multiple of all engines' execution times
	EventSlowEngine                      // multiple of one engine's execution times
	EventDiscoveryDown                   // 1: down; 0: up
	EventDiscoveryDelay                  // additional time of each detection by the journal service, ms
	EventJoin                            // a new engine starts
	EventDrain                           // an engine drains
	EventLeave                           // a drained engine ends for good
	EventCrash                           // an engine ends at once
	EventReturn                          // an engine starts again
	EventUnresponsive                    // 1: an engine is cut off from the network; 0: connected again
	EventNoisyNeighbour                  // part of an engine that another program uses
	EventReportDelay                     // additional delay of load reports, ms
	EventCoordinatorCrash
	EventCoordinatorStart
)

// Timeline is the faults of a run, generated from its seed.
type Timeline struct {
	Spans       []FaultSpan
	Events      []Event // starts, changes and ends of faults, in order of time
	EngineCount int     // number of engines of the whole run; the initial fleet has the lowest indexes
	bursts      []burst // bursts of faults
	wavePhase   float64
	swing       float64
	scenario    *Scenario
	loadBursts  []burst // bursts of the load shape "bursts"
	tails       []heavyTail
}

// heavyTail is a span in which a part of a class's queries costs more.
type heavyTail struct {
	from, until, ratio, multiple float64
	class                        int
}

// WorkMultiple returns the factor by which heavy tails multiply a query's work. Draw is the query's random number in [0, 1).
func (t *Timeline) WorkMultiple(at float64, class int, draw float64) float64 {
	multiple := 1.0
	for _, tail := range t.tails {
		if tail.class == class && at >= tail.from && at < tail.until && draw < tail.ratio {
			multiple = max(multiple, tail.multiple)
		}
	}
	return multiple
}

// burst is a span in which the usual arrival rate is multiplied by a factor.
type burst struct{ from, until, multiple float64 }

// Timeline generates the events of all faults. Each fault has a random stream of its own, so that changing a fault
// does not change the other faults or the arrivals.
func (s *Scenario) Timeline(seed uint64) *Timeline {
	t := &Timeline{scenario: s, EngineCount: s.Engines.Count}
	shape := des.Stream(seed, "load shape")
	t.wavePhase, t.swing = shape.Float64()*2*math.Pi, s.Load.Swing.Draw(shape)
	if s.Load.Shape == "bursts" {
		for at := shape.ExpFloat64() * s.Load.PeriodMS; at < s.DurationMS; at += shape.ExpFloat64() * s.Load.PeriodMS {
			t.loadBursts = append(t.loadBursts, burst{at, at + s.Load.PeriodMS/4, 1 + 2*t.swing})
		}
	}
	for i, fault := range s.Faults {
		t.addFault(fault, des.Stream(seed, fmt.Sprint("trouble ", i)))
	}
	slices.SortStableFunc(t.Events, func(a, b Event) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return t
}

func (t *Timeline) addEvent(at float64, kind EventKind, engine int, value float64) {
	t.Events = append(t.Events, Event{AtMS: at, Kind: kind, Engine: engine, Value: value})
}

// faultValues are the random values of one fault.
type faultValues struct {
	start, duration, end   float64 // in ms; start and end count from the start of the run
	magnitude, magnitudeMS float64
	affectedRatio          float64
	intervalMS             float64
}

// drawValues draws all values, whether or not the fault's kind uses them.
func (f Fault) drawValues(rng *rand.Rand) (v faultValues) {
	v.start, v.duration = f.AtMS.Draw(rng), f.DurationMS.Draw(rng)
	v.magnitude, v.magnitudeMS, v.affectedRatio = f.Magnitude.Draw(rng), f.MagnitudeMS.Draw(rng), f.AffectedRatio.Draw(rng)
	v.intervalMS = f.IntervalMS.Draw(rng)
	v.end = v.start + v.duration
	return v
}

// addFault adds a fault's events and its span.
func (t *Timeline) addFault(f Fault, rng *rand.Rand) {
	v := f.drawValues(rng)
	description := t.addFaultEvents(f, &v, rng)
	t.Spans = append(t.Spans, FaultSpan{f.Kind, math.Round(v.start), math.Round(max(v.end, v.start)), description})
}

// addFaultEvents adds a fault's events and returns its description. It sets v.end if the events determine the fault's end.
func (t *Timeline) addFaultEvents(f Fault, v *faultValues, rng *rand.Rand) (description string) {
	switch f.Kind {
	case FaultTrafficBurst:
		t.bursts = append(t.bursts, burst{v.start, v.end, v.magnitude})
		return fmt.Sprintf("%.2f times the arrivals", v.magnitude)
	case FaultHeavyTail:
		t.tails = append(t.tails, heavyTail{v.start, v.end, v.affectedRatio, v.magnitude, f.Class})
		return fmt.Sprintf("%.3f of the queries of class %d cost %.1f times the usual work", v.affectedRatio, f.Class, v.magnitude)
	case FaultSlowFleet:
		t.addPair(v, EventSlowFleet, v.magnitude, 1)
		return fmt.Sprintf("all engines are %.2f times slower", v.magnitude)
	case FaultReportsDelayed:
		t.addPair(v, EventReportDelay, v.magnitudeMS, 0)
		return fmt.Sprintf("load reports are %.0f ms later", v.magnitudeMS)
	case FaultDiscoveryDown:
		t.addPair(v, EventDiscoveryDown, 1, 0)
		return "the journal service is unavailable"
	case FaultDiscoveryDelayed:
		t.addPair(v, EventDiscoveryDelay, v.magnitudeMS, 0)
		return fmt.Sprintf("the journal service detects changes %.0f ms later", v.magnitudeMS)
	case FaultStalls:
		return t.addStalls(v, rng)
	case FaultNoisyNeighbour:
		return t.addNoisyNeighbours(v, rng)
	case FaultJoin:
		for range f.Count {
			t.addJoin(v.start)
		}
		return fmt.Sprintf("%d engines join", f.Count)
	case FaultRollingReplace:
		return t.addRollingReplace(v)
	case FaultCoordinatorCrash:
		return t.addCoordinatorCrashes(f, v)
	}
	for _, engine := range f.Engines {
		t.addEngineFault(f.Kind, engine, v)
	}
	return fmt.Sprintf("%s: engines %v", f.Kind, f.Engines)
}

// addPair adds an event at a fault's start, and an event of the same kind at the fault's end.
func (t *Timeline) addPair(v *faultValues, kind EventKind, startValue, endValue float64) {
	t.addEvent(v.start, kind, 0, startValue)
	t.addEvent(v.end, kind, 0, endValue)
}

// addJoin adds the start of a new engine.
func (t *Timeline) addJoin(at float64) {
	t.addEvent(at, EventJoin, t.EngineCount, 0)
	t.EngineCount++
}

// drawAffected draws the engines of the initial fleet that a fault affects, at least one engine.
func (t *Timeline) drawAffected(ratio float64, rng *rand.Rand) []int {
	engines := t.scenario.Engines.Count
	affected := max(int(math.Round(ratio*float64(engines))), 1)
	return rng.Perm(engines)[:affected]
}

// addStalls makes a part of the initial fleet stall again and again, each engine at times of its own.
func (t *Timeline) addStalls(v *faultValues, rng *rand.Rand) (description string) {
	affected := t.drawAffected(v.affectedRatio, rng)
	for _, engine := range affected {
		for at := v.start + rng.Float64()*v.intervalMS; at < v.end; at += v.intervalMS * (0.75 + 0.5*rng.Float64()) {
			t.addEvent(at, EventStall, engine, 1)
			t.addEvent(at+v.magnitudeMS, EventStall, engine, 0)
		}
	}
	return fmt.Sprintf("%d engines stall for %.0f ms, about every %.0f ms", len(affected), v.magnitudeMS, v.intervalMS)
}

// addNoisyNeighbours makes another program use a part of the initial fleet, on and off, at times of its own on each
// engine.
func (t *Timeline) addNoisyNeighbours(v *faultValues, rng *rand.Rand) (description string) {
	affected := t.drawAffected(v.affectedRatio, rng)
	interval := v.intervalMS
	if interval <= 0 {
		interval = v.duration
	}
	for _, engine := range affected {
		neighbourActive := true
		for at := v.start; at < v.end; at += interval * (0.5 + rng.Float64()) {
			ratio := 0.0
			if neighbourActive {
				ratio = v.magnitude
			}
			t.addEvent(at, EventNoisyNeighbour, engine, ratio)
			neighbourActive = !neighbourActive
		}
		t.addEvent(v.end, EventNoisyNeighbour, engine, 0)
	}
	return fmt.Sprintf("another program uses %.2f of %d engines", v.magnitude, len(affected))
}

// addRollingReplace replaces the engines of the initial fleet one by one. The fault ends one interval after the last
// replacement starts.
func (t *Timeline) addRollingReplace(v *faultValues) (description string) {
	at := v.start
	for engine := range t.scenario.Engines.Count {
		t.addJoin(at)
		t.addEvent(at, EventDrain, engine, 0)
		t.addEvent(at+max(v.duration, v.intervalMS), EventLeave, engine, 0)
		at += v.intervalMS
	}
	v.end = at
	return "all engines are replaced, one by one"
}

// addCoordinatorCrashes adds the crashes of the coordinators that a fault lists. If the fault has a duration, it adds
// their starts at its end.
func (t *Timeline) addCoordinatorCrashes(f Fault, v *faultValues) (description string) {
	for _, coordinator := range f.Coordinators {
		t.Events = append(t.Events, Event{AtMS: v.start, Kind: EventCoordinatorCrash, Coordinator: coordinator})
		if v.duration > 0 {
			t.Events = append(t.Events, Event{AtMS: v.end, Kind: EventCoordinatorStart, Coordinator: coordinator})
		}
	}
	return fmt.Sprintf("coordinators %v crash", f.Coordinators)
}

// restartDrainMS is the time for which a restarting engine drains, and the minimum time for an engine that drains for
// good.
const restartDrainMS = 3000.0

// addEngineFault adds the events of a fault of one engine.
func (t *Timeline) addEngineFault(kind string, engine int, v *faultValues) {
	switch kind {
	case FaultDrain:
		t.addEvent(v.start, EventDrain, engine, 0)
		t.addEvent(v.start+max(v.duration, restartDrainMS), EventLeave, engine, 0)
	case FaultRestart:
		t.addEvent(v.start, EventDrain, engine, 0)
		t.addEvent(v.start+restartDrainMS, EventCrash, engine, 0)
		t.addEvent(v.start+restartDrainMS+v.duration, EventReturn, engine, 0)
	case FaultCrash:
		t.addEvent(v.start, EventCrash, engine, 0)
		if v.duration > 0 {
			t.addEvent(v.end, EventReturn, engine, 0)
		}
	case FaultReplace:
		t.addEvent(v.start, EventCrash, engine, 0)
		t.addJoin(v.end)
	case FaultSlowEngine:
		t.addEvent(v.start, EventSlowEngine, engine, v.magnitude)
		t.addEvent(v.end, EventSlowEngine, engine, 1)
	case FaultUnresponsive:
		t.addEvent(v.start, EventUnresponsive, engine, 1)
		t.addEvent(v.end, EventUnresponsive, engine, 0)
	}
}

// Rate returns the arrival rate of first tries at a time, per second.
func (t *Timeline) Rate(at float64) float64 {
	rate := t.scenario.Load.PerSecond
	if t.scenario.Load.Shape == "wave" {
		rate *= 1 + t.swing*math.Sin(2*math.Pi*at/t.scenario.Load.PeriodMS+t.wavePhase)
	}
	for _, b := range t.loadBursts {
		if at >= b.from && at < b.until {
			rate *= b.multiple
		}
	}
	for _, b := range t.bursts {
		if at >= b.from && at < b.until {
			rate *= b.multiple
		}
	}
	return rate
}
